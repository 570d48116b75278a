package traffic

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
)

// CallerListener accepts connections from callers. It bounds the memory for the heads of their
// requests.
type CallerListener struct {
	net.Listener
	// heads limits the memory for heads. If it is nil, heads are not measured, as below TLS.
	heads *caller.Memory
}

// NewCallerListener returns a listener for the server of NewServer. A nil heads sets no limit.
func NewCallerListener(l net.Listener, heads *caller.Memory) *CallerListener {
	return &CallerListener{Listener: l, heads: heads}
}

// Accept implements net.Listener.
func (l *CallerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, heads: l.heads}
	c.beginHead()
	return c, nil
}

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	heads *caller.Memory

	// refused is set once the caller has got the response to a head that cannot be read.
	refused atomic.Bool
	// mu guards the fields below.
	mu sync.Mutex
	// head measures the head that is being read. What comes after a head, up to the next call of
	// beginHead, is not measured.
	head headMeter
}

// beginHead makes the connection measure the next head. The server calls it when a connection is
// idle after a response. Up to one buffer of the server may have been read before that.
func (c *callerConn) beginHead() {
	if c.heads == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.http2 {
		return
	}
	c.head.held.Free()
	held, _ := c.heads.NewReservation(0) // nothing is reserved yet
	c.head = headMeter{held: held}
}

// Read implements net.Conn. A caller whose head is too large gets a response at once. The server's
// own response to what it has read of the head is not written any more.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.heads == nil {
		return n, err
	}
	c.mu.Lock()
	headErr := c.head.scan(p[:n])
	c.mu.Unlock()
	if headErr == nil {
		return n, err
	}
	c.refuseHead(headErr)
	c.refused.Store(true)
	return 0, headErr
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// headRetryAfter is the Retry-After of a request whose head finds no memory, in seconds. The heads
// that fill it are given up within seconds.
const headRetryAfter = 1

// refuseHead writes the response to a request whose head cannot be read. The request is certain not
// to run.
func (c *callerConn) refuseHead(reason error) {
	status, fields := http.StatusRequestHeaderFieldsTooLarge, ""
	if errors.Is(reason, errHeadMemory) {
		status, fields = http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %d\r\n", headRetryAfter)
	}
	_ = c.SetWriteDeadline(time.Now().Add(discardTimeout))
	// A write error is ignored: the connection is closed anyway.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), fields, len(reason.Error())+1, reason)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	c.head.held.Free()
	c.mu.Unlock()
	return c.Conn.Close()
}

// measureNextHead is called by a server when the state of a connection changes.
func measureNextHead(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.beginHead()
	}
}
