package traffic

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
)

// errWritesBlocked is returned by a write after the connection was blocked for
// writing.
var errWritesBlocked = errors.New("connection blocked for writing: the request was abandoned")

// errOutOfStep is returned by a write after a response that did not belong to its request.
var errOutOfStep = errors.New("connection out of step: an earlier answer on it was not that of its request")

// writesBlocked is the write count of a connection on which all further writes
// fail.
const writesBlocked = -1

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// trackConnections wraps a dialer. Each connection records whether any part of its
// current request was sent, and whether a response can belong to that request. An idle
// connection closes itself after the time that limits allows. This works only for
// HTTP/1.1, where a connection carries one request at a time.
func trackConnections(dial DialFunc, limits *idleLimits) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn, address: address, idleLimits: limits}, nil
	}
}

// trackedConn records writes and reads of a connection, and how long it has been
// idle.
type trackedConn struct {
	net.Conn
	address    string
	idleLimits *idleLimits
	// advertisedLimit is the idle limit from the target's Keep-Alive header, in
	// nanoseconds; 0 if the target has sent none.
	advertisedLimit atomic.Int64
	// mu guards idleSince, closed and the assignment of the connection to a
	// request. idleSince is zero while a request uses the connection.
	mu        sync.Mutex
	idleSince time.Time
	// closed is set by Close. The transport may close a connection after its
	// response but before the request has finished.
	closed bool
	// writes counts the calls of Write, or is writesBlocked.
	writes atomic.Int64
	// writeFailed is set once a write has failed.
	writeFailed atomic.Bool
	// outOfStep is set once a response did not belong to its request. All further writes fail.
	outOfStep atomic.Bool
	// exchange records the I/O of the request that uses the connection. If the
	// connection is idle, it is that of the last request.
	exchange atomic.Pointer[connExchange]
}

// connExchange records the I/O of one request on its connection. It is separate
// from the connection because the transport may assign the connection to the next
// request before the handler of this one checks its response.
type connExchange struct {
	// sent is set by the first write.
	sent atomic.Bool
	// received is set when bytes are read after the first write.
	received atomic.Bool
	// settled is closed once the response has been checked or the request has failed. inStep
	// is set before that if the response belongs to the request.
	settled chan struct{}
	inStep  bool
	// head measures the head of the response. The transport's reader alone uses it.
	head headMeter
}

// newConnExchange returns the exchange of a request. The head of its response grows held.
func newConnExchange(held *caller.Reservation) *connExchange {
	return &connExchange{settled: make(chan struct{}), head: headMeter{held: held, interims: true}}
}

// awaitInStep waits until the exchange is settled and reports whether its response belonged to
// its request. The transport may assign a connection to the next request before the response of
// this one has been checked; the check follows at once.
func (e *connExchange) awaitInStep() bool {
	<-e.settled
	return e.inStep
}

// assign marks the connection as used by a request. If the response of the previous request did
// not belong to that request, the connection is out of step: nothing is written to it any more.
func (c *trackedConn) assign(e *connExchange) {
	if previous := c.exchange.Load(); previous != nil && !previous.awaitInStep() {
		c.outOfStep.Store(true)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.Store(e)
	c.idleSince = time.Time{}
	c.idleLimits.remove(c)
	// An error is ignored: if the connection is closed, its next use fails.
	_ = c.SetReadDeadline(time.Time{})
}

// markIdle marks the connection as idle, unless the next request already uses it.
func (c *trackedConn) markIdle(e *connExchange, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.exchange.Load() != e {
		return
	}
	c.idleSince = now
	c.idleLimits.add(c)
	c.setIdleDeadline(now)
}

// setIdleDeadline limits how long the connection stays idle. The transport always
// reads from an idle connection and drops it when the read deadline passes. The
// caller holds mu.
func (c *trackedConn) setIdleDeadline(now time.Time) {
	limit := time.Duration(c.advertisedLimit.Load())
	if learned := c.idleLimits.learnedLimit(c.address, now); learned > 0 && (limit == 0 || learned < limit) {
		limit = learned
	}
	if limit > 0 {
		_ = c.SetReadDeadline(c.idleSince.Add(limit))
	}
}

// refreshIdleDeadline applies limits that were learned after the connection
// became idle.
func (c *trackedConn) refreshIdleDeadline(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleSince.IsZero() {
		c.setIdleDeadline(now)
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.idleLimits.remove(c)
	c.mu.Unlock()
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.outOfStep.Load() {
		return 0, errOutOfStep
	}
	for {
		n := c.writes.Load()
		if n == writesBlocked {
			return 0, errWritesBlocked
		}
		if c.writes.CompareAndSwap(n, n+1) {
			break
		}
	}
	if e := c.exchange.Load(); e != nil {
		e.sent.Store(true)
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// Read implements net.Conn. The end of a connection that was reset is an error, so that it does not count
// as the end of a response.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && (c.writeFailed.Load() || wasReset(c.Conn)) {
		return n, errConnectionReset
	}
	if e := c.exchange.Load(); e != nil && n > 0 && e.sent.Load() {
		e.received.Store(true)
		if headErr := e.head.scan(p[:n]); headErr != nil {
			return 0, headErr
		}
	}
	return n, err
}

// connTrace records which connections the transport uses for one request, and what was
// sent and received on them.
type connTrace struct {
	// requested is set when the transport asks for a connection. If it is not set, the
	// transport may not call the hooks of clientTrace at all.
	requested bool
	// acquired is set when the transport has obtained a connection.
	acquired bool
	// conn is the HTTP/1.1 connection, or nil for another protocol.
	conn     *trackedConn
	exchange *connExchange
	// writesBefore is the write count of conn when the request obtained it.
	writesBefore int64
	// idleTime is how long the connection was idle before this request; 0 for a
	// new one.
	idleTime time.Duration
	// mayBeResent is set when the transport obtained a second connection after
	// something may have been sent on the first.
	mayBeResent bool
	// interimResponses counts the responses with status 1xx.
	interimResponses int
	// held is the memory that the request holds for its responses; nil for no limit.
	held *caller.Reservation
}

// maxInterimResponses limits the responses with status 1xx to one request. Without a limit, a
// target that sends nothing else would hold the request until its deadline.
const maxInterimResponses = 16

// errTooManyInterimResponses means that a target sent more than maxInterimResponses.
var errTooManyInterimResponses = errors.New("too many interim responses (1xx)")

// clientTrace returns hooks that record the connections of a request and pass its
// interim responses to the given function.
func (t *connTrace) clientTrace(writeInterim func(int, textproto.MIMEHeader) error) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		Got1xxResponse: func(status int, fields textproto.MIMEHeader) error {
			if t.interimResponses++; t.interimResponses > maxInterimResponses {
				return errTooManyInterimResponses
			}
			if status == http.StatusSwitchingProtocols {
				// The server would forward it as a final response. The transport of HTTP/2
				// takes it for an interim one.
				return errors.Wrapf(errInvalidStatus, "status %d", status)
			}
			return writeInterim(status, fields)
		},
		GetConn: func(string) { t.requested = true },
		GotConn: func(info httptrace.GotConnInfo) {
			if t.acquired && !t.nothingSent() {
				t.mayBeResent = true
			}
			t.settle(false) // the previous connection has failed
			t.acquired = true
			t.conn, _ = info.Conn.(*trackedConn)
			if t.conn == nil {
				return
			}
			t.exchange = newConnExchange(t.held)
			t.idleTime = info.IdleTime
			t.conn.assign(t.exchange)
			t.writesBefore = t.conn.writes.Load()
		},
	}
}

// nothingSent reports whether no byte of the request was sent. If it returns
// true, it has also blocked further writes on the connection, so that nothing can
// be sent later.
func (t *connTrace) nothingSent() bool {
	if t.mayBeResent {
		return false
	}
	if !t.acquired {
		return t.requested
	}
	if t.conn == nil {
		return false
	}
	return t.conn.writes.Load() == writesBlocked || t.conn.writes.CompareAndSwap(t.writesBefore, writesBlocked)
}

// respondedBeforeSend reports whether the response was received before the
// request was sent, so that it belongs to an earlier request on the connection.
func (t *connTrace) respondedBeforeSend() bool {
	return t.exchange != nil && !t.exchange.received.Load()
}

// settle records whether the response on the connection belongs to the request. If it does not,
// or if there is none, the connection is closed: further bytes on it may belong to any request.
// Only the first call for a connection has an effect.
func (t *connTrace) settle(inStep bool) {
	if t.exchange == nil {
		return
	}
	select {
	case <-t.exchange.settled:
		return
	default:
	}
	t.exchange.inStep = inStep
	if !inStep {
		t.conn.outOfStep.Store(true)
		_ = t.conn.Close() // the error of a connection that is given up
	}
	close(t.exchange.settled)
}

// finish updates the idle state of the connection when a request ends. elapsed is
// the duration of the request; resp is nil if there was no response. A response that does not
// belong to the request says nothing about the connection.
func (t *connTrace) finish(elapsed time.Duration, resp *http.Response) {
	if t.conn == nil || resp != nil && !t.exchange.inStep {
		return
	}
	now := time.Now()
	switch {
	case resp != nil:
		if limit := advertisedIdleLimit(resp.Header); limit > 0 {
			t.conn.advertisedLimit.Store(int64(limit))
		}
		t.conn.markIdle(t.exchange, now)
	case t.idleTime > 0 && elapsed < staleResetWindow && t.exchange.sent.Load() && !t.exchange.received.Load():
		t.conn.idleLimits.recordStale(t.conn.address, t.idleTime, now)
	}
}
