package traffic

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// addDroppingTarget adds a target that responds with its name and the given Keep-Alive
// header line. If dropAfter is not 0, the target drops connections that were idle for
// longer: it does not close them, and resets them on the next request. When the gateway
// closes a connection, the target sends the connection's idle time to closedAfter.
func (g *testGateway) addDroppingTarget(name, keepAlive string, dropAfter time.Duration, closedAfter chan<- time.Duration) {
	g.addConnTarget(name, func(conn net.Conn) { serveDropping(conn.(*net.TCPConn), name, keepAlive, dropAfter, closedAfter) })
}

func serveDropping(conn *net.TCPConn, name, keepAlive string, dropAfter time.Duration, closedAfter chan<- time.Duration) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		idleSince := time.Now()
		if _, err := in.Peek(1); err != nil {
			closedAfter <- time.Since(idleSince)
			return
		}
		if dropAfter > 0 && time.Since(idleSince) > dropAfter {
			_ = conn.SetLinger(0)
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(name), keepAlive, name)
		_, _ = io.WriteString(conn, prove(response, r.Header.Get("X-Id")))
	}
}

// TestIdleConnectionsCloseBeforeKeepAliveTimeout checks that the gateway closes an
// idle connection before the target does. A request sent while the target closes the
// connection fails, and it cannot be retried if it is not idempotent.
func TestIdleConnectionsCloseBeforeKeepAliveTimeout(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	closedAfter := make(chan time.Duration, 10)
	g.addDroppingTarget("t", "Keep-Alive: timeout=2\r\n", 0, closedAfter)
	g.start()
	is.Equal(g.send(http.MethodPost, "/write/x", "a").status, http.StatusOK)
	select {
	case idleTime := <-closedAfter:
		is.True(idleTime < 2*time.Second-advertisedMargin/2)
	case <-time.After(2 * time.Second):
		t.Fatal("the connection stays idle for as long as the target allows")
	}
	is.Equal(g.send(http.MethodPost, "/write/x", "a").status, http.StatusOK)
}

// TestIdleLimitAdaptsToDroppedConnections uses targets that drop idle connections
// without closing them. At most one request per target fails until the gateway has
// learned the limit, and none after that.
func TestIdleLimitAdaptsToDroppedConnections(t *testing.T) {
	is := is.New(t)
	const dropAfter, pause = 150 * time.Millisecond, 200 * time.Millisecond
	g := newTestGateway(t)
	for i := range staleTargetThreshold {
		g.addDroppingTarget(fmt.Sprintf("t%d", i), "", dropAfter, make(chan time.Duration, 100))
	}
	g.start()
	failed := 0
	for range 20 {
		if got := g.send(http.MethodPost, "/write/x", "a"); got.status != http.StatusOK {
			failed++
		}
		time.Sleep(pause)
	}
	is.True(failed <= staleTargetThreshold) // at most one request per target
	is.True(failed >= 1)                    // the targets do drop connections
}

func TestLearnedIdleLimits(t *testing.T) {
	is := is.New(t)
	limits := newIdleLimits()
	now := time.Now()
	is.Equal(limits.learnedLimit("a", now), time.Duration(0))
	limits.recordStale("a", 400*time.Millisecond, now)
	is.Equal(limits.learnedLimit("a", now), 200*time.Millisecond)
	is.Equal(limits.learnedLimit("b", now), time.Duration(0)) // a single target may have crashed
	limits.recordStale("b", 300*time.Millisecond, now)
	limits.recordStale("c", 20*time.Millisecond, now)
	is.Equal(limits.learnedLimit("d", now), minIdleLimit)
	later := now.Add(staleRetention + time.Second)
	is.Equal(limits.learnedLimit("a", later), time.Duration(0))
	is.Equal(len(limits.stale), 0)
}

func TestAdvertisedIdleLimit(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]time.Duration{
		"timeout=10": 9 * time.Second, "max=3, timeout=10": 9 * time.Second, "timeout=1": time.Second,
		"": 0, "timeout": 0, "timeout=x": 0, "timeout=0": 0, "timeout=-4": 0, "max=5": 0,
	} {
		is.Equal(advertisedIdleLimit(http.Header{"Keep-Alive": {text}}), want)
	}
}

// TestClosedConnectionIsNotMarkedIdle covers a transport that closes a connection
// after its last response, before the request has finished. The closed connection
// must not stay registered as idle.
func TestClosedConnectionIsNotMarkedIdle(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	limits := newIdleLimits()
	c := &trackedConn{Conn: near, idleLimits: limits}
	e := &connExchange{}
	c.assign(e)
	is.NoErr(c.Close())
	c.markIdle(e, time.Now())
	is.Equal(len(limits.idle), 0)
}
