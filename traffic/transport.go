package traffic

import (
	"context"
	"hash/maphash"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocushinge/crocushinge/contract"
)

// Timeouts and sizes of the connections to targets and hosts.
const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	// idlePerPeer is how many idle connections to one peer are kept, and to a
	// target whose contract states no bound.
	idlePerPeer  = 16
	maxHeadBytes = 64 << 10
	// pingAfter is the silence on an HTTP/2 connection with open requests
	// after which a ping is sent; pingTimeout is how long it may take.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
)

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

// targetKind is what the connections to a target have in common.
type targetKind struct {
	protocol contract.Protocol
	// connections is how many this host may have to each target.
	connections int
}

// kindKey is the context key under which a request carries its targetKind.
type kindKey struct{}

// withKind tells Targets how to reach the target of a request.
func withKind(ctx context.Context, kind targetKind) context.Context {
	return context.WithValue(ctx, kindKey{}, kind)
}

// transportShards is how many transports there are for each kind of target. A
// transport takes one lock for each request's connection; targets of different
// shards don't wait for each other's.
const transportShards = 32

// Targets is the transport to targets. It speaks the protocol of the request's
// contract and keeps this host's share of a target's connections. It is safe
// for concurrent use.
type Targets struct {
	dial Dial
	// kinds is replaced as a whole when a kind is added under mu.
	kinds atomic.Pointer[map[targetKind]*shards]
	mu    sync.Mutex
	seed  maphash.Seed
	rests *restLimits
}

// shards are the transports to targets of one kind. All requests to one target
// go by the same, which counts the target's connections.
type shards [transportShards]*http.Transport

var _ http.RoundTripper = (*Targets)(nil)

// NewTargets returns the transport to targets.
func NewTargets(dial Dial) *Targets {
	t := &Targets{dial: dial, seed: maphash.MakeSeed(), rests: newRestLimits()}
	t.kinds.Store(&map[targetKind]*shards{})
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *Targets) RoundTrip(r *http.Request) (*http.Response, error) {
	kind, _ := r.Context().Value(kindKey{}).(targetKind)
	return t.transport(kind, r.URL.Host).RoundTrip(r)
}

// transport returns the transport to a target at an address.
func (t *Targets) transport(kind targetKind, address string) *http.Transport {
	return t.shards(kind)[maphash.String(t.seed, address)%transportShards]
}

func (t *Targets) shards(kind targetKind) *shards {
	if s, ok := (*t.kinds.Load())[kind]; ok {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := (*t.kinds.Load())[kind]; ok {
		return s
	}
	s := new(shards)
	for i := range s {
		s[i] = newTargetTransport(t.dial, kind, t.rests)
	}
	kinds := maps.Clone(*t.kinds.Load())
	kinds[kind] = s
	t.kinds.Store(&kinds)
	return s
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Targets) CloseIdleConnections() {
	for _, s := range *t.kinds.Load() {
		for _, transport := range s {
			transport.CloseIdleConnections()
		}
	}
}

func newTargetTransport(dial Dial, kind targetKind, rests *restLimits) *http.Transport {
	t := NewPeerTransport(dial)
	t.MaxConnsPerHost = kind.connections
	// All that may be open are kept while idle: a burst that opened them is
	// often followed by the next.
	t.MaxIdleConnsPerHost = max(idlePerPeer, kind.connections)
	t.Protocols = new(http.Protocols)
	if kind.protocol != contract.H2C {
		// Only an HTTP/1.1 connection belongs to one request at a time.
		t.DialContext = trackDial(dial, rests)
		t.Protocols.SetHTTP1(true)
		return t
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout}
	return t
}

// NewPeerTransport returns the transport to the other hosts.
func NewPeerTransport(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    idlePerPeer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
}
