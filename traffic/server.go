package traffic

import (
	"net/http"
	"time"
)

// Limits of the connections from callers.
const (
	// readHeaderTimeout limits how long a caller may take to send the header of a
	// request.
	readHeaderTimeout = 5 * time.Second
	// callerIdleTimeout is how long a connection may be idle.
	callerIdleTimeout = 2 * time.Minute
	// maxRequestHeaderBytes limits the size of the request line and header.
	maxRequestHeaderBytes = 64 << 10
	// maxConcurrentStreams limits the requests in flight on one HTTP/2 connection.
	maxConcurrentStreams = 250
)

// NewServer returns the server for callers. It supports HTTP/1.1 and HTTP/2 without
// TLS.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams, SendPingTimeout: pingIdleTimeout, PingTimeout: callerIOTimeout},
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxRequestHeaderBytes,
		ConnState:         connStateChanged,
		ConnContext:       withCallerConn,
	}
}
