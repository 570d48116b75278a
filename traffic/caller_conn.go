package traffic

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/crocushinge/crocushinge/caller"
)

// Limits of what is read from a connection after its last response, so that the close does not
// discard that response: the kernel resets a connection that is closed while bytes of the caller
// are unread, and drops what it has not sent yet.
const (
	lingerTimeout = 3 * time.Second
	maxLingerRead = 4 << 20
)

// CallerListener accepts connections from callers. It bounds the memory for the heads of their
// requests, and closes connections so that callers receive the last response.
type CallerListener struct {
	net.Listener
	// heads limits the memory for heads. If it is nil, heads are not measured, as below TLS.
	heads *caller.Memory
	// sendBuffer is the size of a connection's send buffer in the kernel; 0 for the kernel's
	// choice. If it is set, callers that read slowly keep their connection.
	sendBuffer int

	// mu guards lingering, the connections that are being closed.
	mu        sync.Mutex
	lingering map[*callerConn]bool
	// closed is signaled when one of them is closed.
	closed changeNotifier
}

// NewCallerListener returns a listener for the server of NewServer. A nil heads sets no limit.
func NewCallerListener(l net.Listener, heads *caller.Memory) *CallerListener {
	return &CallerListener{Listener: l, heads: heads, lingering: make(map[*callerConn]bool)}
}

// AllowSlowReaders makes a write fail only when its caller takes nothing for callerIOTimeout, and
// bounds what the kernel holds for a connection. The server must cut off slow callers in another
// way. It must be called before Accept.
func (l *CallerListener) AllowSlowReaders(sendBuffer int) { l.sendBuffer = sendBuffer }

// Accept implements net.Listener.
func (l *CallerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, listener: l, tcp: tcpConnOf(conn)}
	if c.tcp != nil && l.sendBuffer > 0 {
		_ = c.tcp.SetWriteBuffer(l.sendBuffer) // fails only if the connection is broken
	}
	c.beginMessage()
	return c, nil
}

// AwaitClosed waits until the connections that have been closed have sent their last response.
// When ctx ends, it closes those that remain. A stopping process calls it before it exits.
func (l *CallerListener) AwaitClosed(ctx context.Context) {
	for {
		changed := l.closed.next()
		remaining := l.lingeringConns()
		if len(remaining) == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			for _, c := range remaining {
				_ = c.Conn.Close() // the caller has had its time
			}
			return
		}
	}
}

func (l *CallerListener) lingeringConns() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.lingering))
}

func (l *CallerListener) beginLinger(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering[c] = true
}

func (l *CallerListener) endLinger(c *callerConn) {
	l.mu.Lock()
	delete(l.lingering, c)
	l.mu.Unlock()
	l.closed.notify()
}

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	listener *CallerListener
	// tcp is the TCP connection, or nil for another kind.
	tcp *net.TCPConn
	// cancel ends the contexts of the connection's requests; nil below TLS.
	cancel context.CancelFunc

	// refused is set once the caller has got the response to a head that cannot be read.
	refused atomic.Bool
	// reading is held during a read.
	reading sync.Mutex
	// next holds what has been read behind the end of a message. The server gets it when it reads the
	// next message, so that it never has bytes that belong to two of them. reading guards it.
	next []byte
	// mu guards the fields below.
	mu sync.Mutex
	// closing is set by Close.
	closing bool
	// responses is the part of the memory for responses that the requests of this connection use;
	// nil until it is needed.
	responses *caller.Memory
	// extends is set when the deadline for writes allows callerIOTimeout, as for responses.
	extends bool
	watch   closeWatch
	// framing finds the head of each message and measures it. It is not used if the listener measures
	// no heads.
	framing requestFraming
	// served is the memory of the head of the request that is being served, once its message has been
	// read to its end; nil otherwise.
	served *caller.Reservation
}

// beginMessage begins to measure the next message. The memory of the head before it is held until its
// request has been served.
func (c *callerConn) beginMessage() {
	if c.listener.heads == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served.Free()
	c.served = c.framing.meter.held
	held, _ := c.listener.heads.NewReservation(0) // nothing is reserved yet
	c.framing = newRequestFraming(held)
}

// endRequest frees the memory of the head of a request that has been served. The server calls it when the
// connection is idle after a response.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served.Free()
	c.served = nil
}

// freeHeads frees the memory of all heads. The caller holds mu.
func (c *callerConn) freeHeads() {
	c.served.Free()
	c.framing.meter.held.Free()
}

// Read implements net.Conn. It returns bytes of one message only. A caller whose head is too large gets a
// response when the server reads that head, which is after the responses to the requests before it. The
// server's own response to what it has read of the head is not written any more.
func (c *callerConn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.stopWatch()
	if c.isClosing() || c.refused.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.readMessage(p)
	if n == 1 && len(p) == 1 {
		c.startWatch() // the server looks for the close in this way, and has found a further request
	}
	return n, err
}

// readMessage reads bytes of one message.
func (c *callerConn) readMessage(p []byte) (int, error) {
	if c.listener.heads == nil {
		return c.Conn.Read(p)
	}
	var n int
	if len(c.next) > 0 {
		n = copy(p, c.next)
		c.next = c.next[n:]
	} else {
		var err error
		if n, err = c.Conn.Read(p); n == 0 {
			return 0, err // an error beside bytes comes again at the next read
		}
	}
	c.mu.Lock()
	used, ended, err := c.framing.scan(p[:n])
	c.mu.Unlock()
	if err != nil {
		return 0, c.endReading(err)
	}
	if used < n {
		c.next = append(bytes.Clone(p[used:n]), c.next...)
	}
	if ended {
		c.beginMessage()
	}
	return used, nil
}

// endReading answers a head that cannot be read. Behind a body it answers nothing: the request has been
// begun, and its response says what became of it.
func (c *callerConn) endReading(reason error) error {
	if errors.Is(reason, errTrailerLines) {
		return reason
	}
	c.refuseHead(reason)
	c.refused.Store(true)
	return reason
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	written := 0
	for {
		unsent := c.unsent()
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if received := unsent + n - c.unsent(); received <= 0 {
			c.abortStalled()
			return written, err
		}
		if !c.extendWrite() {
			return written, err
		}
	}
}

// unsent returns the number of bytes in the kernel that the caller has not received yet. A write may
// wait while it falls: the kernel accepts more only when a third of its buffer is free.
func (c *callerConn) unsent() int {
	if c.listener.sendBuffer == 0 || c.tcp == nil {
		return 0
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return 0
	}
	unsent := 0
	if raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil || err != nil {
		return 0
	}
	return unsent
}

// extendWrite gives a write that makes progress callerIOTimeout more. It returns false if the write
// must end.
func (c *callerConn) extendWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && c.extends && c.Conn.SetWriteDeadline(time.Now().Add(callerIOTimeout)) == nil
}

// abortStalled aborts the connection if it is a response that waits for its caller. The server would
// end it like one whose response is complete.
func (c *callerConn) abortStalled() {
	c.mu.Lock()
	stalled := c.extends
	c.mu.Unlock()
	if stalled {
		c.abort()
	}
}

// SetWriteDeadline implements net.Conn.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.extends = c.listener.sendBuffer > 0 && time.Until(t) > callerIOTimeout/2
	return c.Conn.SetWriteDeadline(t)
}

// abort closes the connection at once. The caller gets a reset, so that it takes no response for
// complete, and the kernel drops what it has not sent.
func (c *callerConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return
	}
	c.closing = true
	c.freeHeads()
	if c.tcp != nil {
		_ = c.tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// responseMemory returns the part of a memory that the requests of this connection use.
func (c *callerConn) responseMemory(memory *caller.Memory, limit int64) *caller.Memory {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responses == nil {
		c.responses = memory.NewPart(limit)
	}
	return c.responses
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

func (c *callerConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// SetReadDeadline implements net.Conn. It has no effect after Close.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return net.ErrClosed
	}
	c.watch.deadline = t
	if c.watch.stopping {
		return nil // set when the watch has ended
	}
	return c.Conn.SetReadDeadline(t)
}

// past is a deadline that ends reads and writes in progress.
var past = time.Unix(1, 0)

// Close implements net.Conn. It ends reads and writes at once. What has been written is delivered
// in the background, within lingerTimeout.
func (c *callerConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	c.closing = true
	c.freeHeads()
	sender, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return c.Conn.Close()
	}
	_ = c.SetDeadline(past) // if it fails, the connection is broken, and the reads below fail
	c.listener.beginLinger(c)
	go c.linger(sender)
	return nil
}

// linger ends the sending side and drops what the caller still sends, until the caller has closed
// its side or the limits are reached.
func (c *callerConn) linger(sender interface{ CloseWrite() error }) {
	defer c.listener.endLinger(c)
	c.reading.Lock() // a read in progress has ended
	defer c.reading.Unlock()
	c.stopWatch()
	if err := sender.CloseWrite(); err == nil && c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerRead))
	}
	_ = c.Conn.Close() // all has been sent, or the caller is gone
}

// tcpConnOf returns the TCP connection below a connection, or nil.
func tcpConnOf(conn net.Conn) *net.TCPConn {
	for {
		switch c := conn.(type) {
		case *net.TCPConn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// callerConnKey is the context key of a connection's *callerConn.
type callerConnKey struct{}

// withCallerConn is called by a server for each connection.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapper.NetConn() // below TLS
	} else if c, ok := conn.(*callerConn); ok {
		ctx, c.cancel = context.WithCancel(ctx)
	}
	if c, ok := conn.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, c)
	}
	return ctx
}

// callerConnOf returns the connection of a request, or nil if it is not known.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// connStateChanged is called by a server when the state of a connection changes.
func connStateChanged(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.endRequest()
	}
}
