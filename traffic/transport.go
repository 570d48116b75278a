package traffic

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Timeouts and sizes of the connections to targets and hosts.
const (
	dialTimeout  = time.Second
	idleTimeout  = 90 * time.Second
	idlePerPeer  = 16
	maxHeadBytes = 64 << 10
)

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

// NewTransport returns the transport to targets that speak HTTP/1.1. It tells
// the handler whether a request can have been sent.
func NewTransport(dial Dial) *http.Transport {
	t := NewPeerTransport(dial)
	t.DialContext = trackDial(t.DialContext)
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
