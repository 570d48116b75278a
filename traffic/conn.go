package traffic

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// errSealed is returned by a write on a sealed connection.
var errSealed = errors.New("connection sealed: the request was given up")

// sealed is the count of writes of a connection that may not write any more.
const sealed = -1

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// trackDial wraps a dialer so that its connections tell whether a request can
// have been sent and whether its answer can be its own. It is for HTTP/1.1,
// where one request at a time owns a connection. They close themselves when they have
// rested for as long as the limits allow.
func trackDial(dial Dial, limits *restLimits) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn, address: address, limits: limits}, nil
	}
}

// trackedConn counts the writes and the bytes read of a connection.
type trackedConn struct {
	net.Conn
	address string
	limits  *restLimits
	// stated is how long the target lets the connection rest, as far as it says.
	stated atomic.Int64
	// turn is held while the connection passes from one request to the next, and
	// restsSince is when it came to rest; zero while a request has it.
	turn       sync.Mutex
	restsSince time.Time
	// closed is set by Close: an answer may end its connection before the request ends.
	closed bool
	// writes counts the calls of Write, or is sealed.
	writes atomic.Int64
	// use is the request that the connection carries, or carried last.
	use atomic.Pointer[use]
}

// use is what one request has seen of its connection. It outlives the request's
// turn: the transport may give the connection to the next request before the
// handler of this one looks at its answer.
type use struct {
	// sent is set with the first write.
	sent atomic.Bool
	// received is set with the first bytes received after that.
	received atomic.Bool
}

// begin gives the connection to a request.
func (c *trackedConn) begin(u *use) {
	c.turn.Lock()
	defer c.turn.Unlock()
	c.use.Store(u)
	c.restsSince = time.Time{}
	c.limits.remove(c)
	// A connection that has ended says so when it is used.
	_ = c.SetReadDeadline(time.Time{})
}

// rest lets the connection wait for the next request, unless that has it already.
func (c *trackedConn) rest(u *use, now time.Time) {
	c.turn.Lock()
	defer c.turn.Unlock()
	if c.closed || c.use.Load() != u {
		return
	}
	c.restsSince = now
	c.limits.add(c)
	c.limitRest(now)
}

// limitRest ends the rest when the limits say so. The transport reads on a connection that
// rests, and drops it at the deadline.
func (c *trackedConn) limitRest(now time.Time) {
	limit := time.Duration(c.stated.Load())
	if learned := c.limits.learned(c.address, now); learned > 0 && (limit == 0 || learned < limit) {
		limit = learned
	}
	if limit > 0 {
		_ = c.SetReadDeadline(c.restsSince.Add(limit))
	}
}

// shortenRest applies limits that were learned while the connection rests.
func (c *trackedConn) shortenRest(now time.Time) {
	c.turn.Lock()
	defer c.turn.Unlock()
	if !c.restsSince.IsZero() {
		c.limitRest(now)
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.turn.Lock()
	c.closed = true
	c.limits.remove(c)
	c.turn.Unlock()
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	for {
		n := c.writes.Load()
		if n == sealed {
			return 0, errSealed
		}
		if c.writes.CompareAndSwap(n, n+1) {
			break
		}
	}
	if u := c.use.Load(); u != nil {
		u.sent.Store(true)
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if u := c.use.Load(); u != nil && n > 0 && u.sent.Load() {
		u.received.Store(true)
	}
	return n, err
}

// connUse follows one request over the connections that the transport chooses
// for it.
type connUse struct {
	// asked is set once the transport looked for a connection, which shows
	// that it reports to the trace at all.
	asked bool
	// found is set once the transport had a connection.
	found bool
	// conn is the HTTP/1.1 connection, or nil.
	conn   *trackedConn
	use    *use
	writes int64
	// rested is how long the connection had rested, 0 for a new one.
	rested time.Duration
	// repeated is set when the transport took a second connection after
	// something may have been sent on the first.
	repeated bool
}

// trace returns the hooks by which the transport reports its connections, and
// the interim answers on them to the given function.
func (u *connUse) trace(interim func(int, textproto.MIMEHeader) error) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		Got1xxResponse: interim,
		GetConn:        func(string) { u.asked = true },
		GotConn: func(info httptrace.GotConnInfo) {
			if u.found && !u.nothingSent() {
				u.repeated = true
			}
			u.found = true
			u.conn, _ = info.Conn.(*trackedConn)
			if u.conn == nil {
				return
			}
			u.writes = u.conn.writes.Load()
			u.use = &use{}
			u.rested = info.IdleTime
			u.conn.begin(u.use)
		},
	}
}

// nothingSent reports whether no byte of the request was sent. When it returns
// true, none can be sent later either: the connection is sealed.
func (u *connUse) nothingSent() bool {
	if u.repeated {
		return false
	}
	if !u.found {
		return u.asked
	}
	if u.conn == nil {
		return false
	}
	return u.conn.writes.Load() == sealed || u.conn.writes.CompareAndSwap(u.writes, sealed)
}

// answeredEarly reports whether the answer was received before the request was
// sent, so that it belongs to an earlier request on the connection.
func (u *connUse) answeredEarly() bool {
	return u.use != nil && !u.use.received.Load()
}

// ended notes the end of the request after a time, with the head of its answer if there
// is one.
func (u *connUse) ended(took time.Duration, resp *http.Response) {
	if u.conn == nil {
		return
	}
	now := time.Now()
	switch {
	case resp != nil:
		if rest := statedRest(resp.Header); rest > 0 {
			u.conn.stated.Store(int64(rest))
		}
		u.conn.rest(u.use, now)
	case u.rested > 0 && took < staleWithin && u.use.sent.Load() && !u.use.received.Load():
		u.conn.limits.foundStale(u.conn.address, u.rested, now)
	}
}
