package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/traffic"
)

// Timeouts given to the net/http server, which cannot be changed while it runs.
// deadlineConn recognizes the resulting deadlines by how far they are in the future,
// and replaces them by the limits of the configuration in force at that moment.
const (
	idlePlaceholder   = 20_000 * time.Hour
	headerPlaceholder = 10_000 * time.Hour
)

// Timeouts that apply when the configuration states none.
const (
	defaultIdleTimeout   = 2 * time.Minute
	defaultHeaderTimeout = 5 * time.Second
)

// idleMargin is how much longer than the configured time an idle connection is kept
// open, so that no request is lost because it was sent just as the connection closed.
const idleMargin = time.Second

// deadlineListener accepts connections from callers and applies the idle and header
// timeouts of the configuration in force to them.
type deadlineListener struct {
	net.Listener
	limits func() discovery.Limits
}

// Accept implements net.Listener.
func (l *deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deadlineConn{Conn: conn, limits: l.limits}, nil
}

// server returns the HTTP server for this listener.
func (l *deadlineListener) server(h http.Handler) *http.Server {
	s := traffic.NewServer(h)
	s.IdleTimeout = idlePlaceholder
	s.ReadHeaderTimeout = headerPlaceholder
	return s
}

// deadlineConn is a connection from a caller that replaces the placeholder deadlines.
type deadlineConn struct {
	net.Conn
	limits func() discovery.Limits
}

// SetReadDeadline implements net.Conn. Deadlines other than the placeholders are kept.
func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	remaining := time.Until(t)
	limits := c.limits()
	switch {
	case t.IsZero() || remaining < headerPlaceholder/2:
	case remaining > (idlePlaceholder+headerPlaceholder)/2:
		t = time.Now().Add(positiveOr(limits.IdleTimeout, defaultIdleTimeout) + idleMargin)
	default:
		t = time.Now().Add(positiveOr(limits.HeaderTimeout, defaultHeaderTimeout))
	}
	return c.Conn.SetReadDeadline(t)
}

// NetConn returns the wrapped connection.
func (c *deadlineConn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending side of the connection.
func (c *deadlineConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return errors.New("the connection has no sending side to end")
}

// positiveOr returns value if it is positive, and fallback otherwise.
func positiveOr(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// callerLimits returns the limits of the configuration in force, or none before there
// is one.
func (g *Gateway) callerLimits() discovery.Limits {
	if c := g.control.snapshot.Load().Configuration; c != nil {
		return c.Limits
	}
	return discovery.Limits{}
}
