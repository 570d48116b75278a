package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/traffic"
)

// Placeholders that the server of net/http sets as deadlines, and which a
// limitedConn replaces by the limits of the configuration in force then.
const (
	idlePlaceholder   = 20_000 * time.Hour
	headerPlaceholder = 10_000 * time.Hour
)

// Limits where the configuration states none.
const (
	defaultIdle   = 2 * time.Minute
	defaultHeader = 5 * time.Second
)

// idleMargin is how much longer than stated an idle connection is kept, so that
// a request that crosses its close is not lost.
const idleMargin = time.Second

// limitedListener bounds how long callers may take by the configuration in
// force.
type limitedListener struct {
	net.Listener
	limits func() discovery.Limits
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: conn, limits: l.limits}, nil
}

// server returns the server for callers on this listener.
func (l *limitedListener) server(h http.Handler) *http.Server {
	s := traffic.NewServer(h)
	s.IdleTimeout = idlePlaceholder
	s.ReadHeaderTimeout = headerPlaceholder
	return s
}

// limitedConn is a connection from a caller.
type limitedConn struct {
	net.Conn
	limits func() discovery.Limits
}

// SetReadDeadline implements net.Conn.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	left := time.Until(t)
	limits := c.limits()
	switch {
	case t.IsZero() || left < headerPlaceholder/2:
	case left > (idlePlaceholder+headerPlaceholder)/2:
		t = time.Now().Add(or(limits.IdleTimeout, defaultIdle) + idleMargin)
	default:
		t = time.Now().Add(or(limits.HeaderTimeout, defaultHeader))
	}
	return c.Conn.SetReadDeadline(t)
}

func or(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

// callerLimits returns the limits in force.
func (g *Gateway) callerLimits() discovery.Limits {
	if c := g.control.snapshot.Load().Configuration; c != nil {
		return c.Limits
	}
	return discovery.Limits{}
}
