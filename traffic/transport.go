package traffic

import (
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

// NewTransport returns the transport to targets that speak HTTP/1.1. It tells
// the handler whether a request can have been sent.
func NewTransport() *http.Transport {
	t := NewPeerTransport()
	t.DialContext = trackDial(t.DialContext)
	return t
}

// NewPeerTransport returns the transport to the other hosts.
func NewPeerTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    idlePerPeer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
}
