package traffic

import (
	"net/http"
	"time"
)

// Limits of the connections from callers.
const (
	// readHeaderTimeout is how long a caller may take to send a request's
	// head.
	readHeaderTimeout = 5 * time.Second
	// keepAliveTimeout is how long a connection may be idle.
	keepAliveTimeout = 2 * time.Minute
	// maxRequestHead limits a request's head, in bytes.
	maxRequestHead = 64 << 10
	// maxStreams is how many requests one HTTP/2 connection may carry at once.
	maxStreams = 250
)

// NewServer returns the server for callers. It speaks HTTP/1.1 and HTTP/2
// without TLS.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: pingIdleTimeout, PingTimeout: callerIOTimeout},
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    maxRequestHead,
	}
}
