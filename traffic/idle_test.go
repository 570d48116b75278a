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

// restingTarget adds a target that gives up connections that rest for some time: without
// a notice, so that what is sent next is reset, or by a close that is reported. Each
// connection's rests go to the channel when it ends.
func (b *testGateway) addIdleClosingTarget(name, keepAlive string, forgets time.Duration, ended chan<- time.Duration) {
	b.addConnTarget(name, func(conn net.Conn) { serveIdleClosing(conn.(*net.TCPConn), name, keepAlive, forgets, ended) })
}

func serveIdleClosing(conn *net.TCPConn, name, keepAlive string, forgets time.Duration, ended chan<- time.Duration) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		rested := time.Now()
		if _, err := in.Peek(1); err != nil {
			ended <- time.Since(rested)
			return
		}
		if forgets > 0 && time.Since(rested) > forgets {
			_ = conn.SetLinger(0)
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", r.Header.Get("X-Id"), len(name), keepAlive, name)
	}
}

// TestConnectionsRestNoLongerThanTheTargetStates closes a connection before the target does,
// as a request that crosses its close is lost where it may not be repeated.
func TestIdleConnectionsCloseBeforeKeepAliveTimeout(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	ended := make(chan time.Duration, 10)
	b.addIdleClosingTarget("t", "Keep-Alive: timeout=2\r\n", 0, ended)
	b.start()
	is.Equal(b.send(http.MethodPost, "/write/x", "a").status, http.StatusOK)
	select {
	case rested := <-ended:
		is.True(rested < 2*time.Second-advertisedMargin/2)
	case <-time.After(2 * time.Second):
		t.Fatal("the connection rests for as long as the target states")
	}
	is.Equal(b.send(http.MethodPost, "/write/x", "a").status, http.StatusOK)
}

// TestForgottenConnectionsAreLearned: targets forget connections without a notice. One
// request a target is lost until that is known, and none after.
func TestIdleLimitAdaptsToDroppedConnections(t *testing.T) {
	is := is.New(t)
	const forgets, pause = 150 * time.Millisecond, 200 * time.Millisecond
	b := newTestGateway(t)
	for i := range staleTargetThreshold {
		b.addIdleClosingTarget(fmt.Sprintf("t%d", i), "", forgets, make(chan time.Duration, 100))
	}
	b.start()
	lost := 0
	for range 20 {
		if got := b.send(http.MethodPost, "/write/x", "a"); got.status != http.StatusOK {
			lost++
		}
		time.Sleep(pause)
	}
	is.True(lost <= staleTargetThreshold) // each target shows it once
	is.True(lost >= 1)            // the targets do forget
}

func TestLearnedIdleLimits(t *testing.T) {
	is := is.New(t)
	l := newIdleLimits()
	now := time.Now()
	is.Equal(l.learnedLimit("a", now), time.Duration(0))
	l.recordStale("a", 400*time.Millisecond, now)
	is.Equal(l.learnedLimit("a", now), 200*time.Millisecond)
	is.Equal(l.learnedLimit("b", now), time.Duration(0)) // one target may have crashed
	l.recordStale("b", 300*time.Millisecond, now)
	l.recordStale("c", 20*time.Millisecond, now)
	is.Equal(l.learnedLimit("d", now), minIdleLimit)
	later := now.Add(staleRetention + time.Second)
	is.Equal(l.learnedLimit("a", later), time.Duration(0))
	is.Equal(len(l.stale), 0)
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

// TestClosedConnectionDoesNotRest: the transport closes a connection with the last answer on it,
// before the request counts as ended.
func TestClosedConnectionIsNotMarkedIdle(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	limits := newIdleLimits()
	c := &trackedConn{Conn: near, idleLimits: limits}
	u := &connExchange{}
	c.assign(u)
	is.NoErr(c.Close())
	c.markIdle(u, time.Now())
	is.Equal(len(limits.idle), 0)
}
