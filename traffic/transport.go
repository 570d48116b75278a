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
	// maxIdlePerPeer is how many idle connections are kept to a host, and to a
	// target whose contract sets no limit on connections.
	maxIdlePerPeer         = 16
	maxResponseHeaderBytes = 64 << 10
	// pingIdleTimeout is how long an HTTP/2 connection with open requests may
	// receive nothing before a ping is sent. The connection is closed when there
	// is no response to the ping within pingTimeout.
	pingIdleTimeout = 2 * time.Second
	pingTimeout     = time.Second
)

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

// connSettings are the settings of the connections to a target. Targets with equal
// settings share transports.
type connSettings struct {
	protocol contract.Protocol
	// maxConns is how many connections this host may have to each target; 0 for no
	// limit.
	maxConns int
}

// connSettingsKey is the context key of a request's connSettings.
type connSettingsKey struct{}

// withConnSettings sets the settings that Targets uses for a request.
func withConnSettings(ctx context.Context, settings connSettings) context.Context {
	return context.WithValue(ctx, connSettingsKey{}, settings)
}

// shardCount is the number of transports for each connSettings. A transport locks
// a mutex for each request; sharding by target keeps requests to targets of
// different shards from contending for it.
const shardCount = 32

// Targets is the transport to targets. It uses the protocol of the request's
// contract and limits this host's connections to each target. It is safe for
// concurrent use.
type Targets struct {
	dial Dial
	// shardSets is copied on write, under mu.
	shardSets  atomic.Pointer[map[connSettings]*transportShards]
	mu         sync.Mutex
	seed       maphash.Seed
	idleLimits *idleLimits
}

// transportShards are the transports for targets with the same settings. All
// requests to one target use the same transport, which counts the target's
// connections.
type transportShards [shardCount]*http.Transport

var _ http.RoundTripper = (*Targets)(nil)

// NewTargets returns a transport to targets that opens connections with dial.
func NewTargets(dial Dial) *Targets {
	t := &Targets{dial: dial, seed: maphash.MakeSeed(), idleLimits: newIdleLimits()}
	t.shardSets.Store(&map[connSettings]*transportShards{})
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *Targets) RoundTrip(r *http.Request) (*http.Response, error) {
	settings, _ := r.Context().Value(connSettingsKey{}).(connSettings)
	return t.transportFor(settings, r.URL.Host).RoundTrip(r)
}

// transportFor returns the transport to the target at an address.
func (t *Targets) transportFor(settings connSettings, address string) *http.Transport {
	return t.shardsFor(settings)[maphash.String(t.seed, address)%shardCount]
}

// shardsFor returns the transports with the given settings and creates them if
// they do not exist yet.
func (t *Targets) shardsFor(settings connSettings) *transportShards {
	if s, ok := (*t.shardSets.Load())[settings]; ok {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := (*t.shardSets.Load())[settings]; ok {
		return s
	}
	s := new(transportShards)
	for i := range s {
		s[i] = newTransport(t.dial, settings, t.idleLimits)
	}
	shardSets := maps.Clone(*t.shardSets.Load())
	shardSets[settings] = s
	t.shardSets.Store(&shardSets)
	return s
}

// CloseIdleConnections closes all idle connections.
func (t *Targets) CloseIdleConnections() {
	for _, s := range *t.shardSets.Load() {
		for _, transport := range s {
			transport.CloseIdleConnections()
		}
	}
}

func newTransport(dial Dial, settings connSettings, limits *idleLimits) *http.Transport {
	t := NewPeerTransport(dial)
	t.MaxConnsPerHost = settings.maxConns
	// Keep all connections that a burst opened: often another burst follows.
	t.MaxIdleConnsPerHost = max(maxIdlePerPeer, settings.maxConns)
	t.Protocols = new(http.Protocols)
	if settings.protocol != contract.H2C {
		// Tracking requires that a connection carries one request at a time, which
		// holds for HTTP/1.1 only.
		t.DialContext = trackConnections(dial, limits)
		t.Protocols.SetHTTP1(true)
		return t
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingIdleTimeout, PingTimeout: pingTimeout}
	return t
}

// NewPeerTransport returns a transport to other hosts that opens connections with
// dial.
func NewPeerTransport(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdlePerPeer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}
