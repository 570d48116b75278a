package traffic

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/storage/memory"
)

// pipes is a network in memory whose connections hold no data: a write waits
// for its read. It runs on a virtual clock.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	conn, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (pipes) Close() error   { return nil }
func (pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p <- far
	return near, nil
}

// pipeBench runs a test with callers' connections to a host before targets at
// addresses, on a virtual clock. The host reaches them by the dial that dialer
// makes of their listener.
func pipeBench(t *testing.T, addresses []string, target http.HandlerFunc, dialer func(targets pipes) Dial, test func(t *testing.T, callers pipes)) {
	synctest.Test(t, func(t *testing.T) {
		callers, targets := make(pipes), make(pipes)
		h := newHostCore(t, memory.New(), "a")
		h.handler.cfg.Transport = NewTargets(dialer(targets))
		h.snapshot.Store(h.newSnapshot(addresses))
		servers := []*http.Server{NewServer(h.handler), {Handler: target}}
		go servers[0].Serve(callers)
		go servers[1].Serve(targets)
		test(t, callers)
		close(callers)
		close(targets)
		for _, s := range servers {
			s.Close()
		}
		h.handler.cfg.Transport.(*Targets).CloseIdleConnections()
		// The server lingers for a while after it has closed a connection.
		time.Sleep(time.Second)
	})
}

// stallBench runs a test with one connection to a host before one target.
func stallBench(t *testing.T, target http.HandlerFunc, test func(t *testing.T, conn net.Conn)) {
	dialer := func(targets pipes) Dial { return targets.dial }
	pipeBench(t, []string{"target:80"}, target, dialer, func(t *testing.T, callers pipes) {
		conn, _ := callers.dial(t.Context(), "", "")
		test(t, conn)
		conn.Close()
	})
}

func TestCallerThatStallsInTheHeadIsCutOff(t *testing.T) {
	stallBench(t, echo, func(t *testing.T, conn net.Conn) {
		is := is.New(t)
		start := time.Now()
		_, err := io.WriteString(conn, "GET /prices HTTP/1.1\r\nHost: shop\r\n")
		is.NoErr(err)
		_, err = io.ReadAll(conn)
		is.NoErr(err)
		is.Equal(time.Since(start), readHeaderTimeout)
	})
}

func TestCallerThatStallsInTheBodyIsCutOff(t *testing.T) {
	for _, test := range []struct {
		path   string
		length int
		// waits is how long the host waits for the body.
		waits time.Duration
	}{
		// The deadline of both routes is 5 s.
		{"/prices", 1 << 16, 5 * time.Second},
		{"/prices", 1 << 10, 5 * time.Second},
		{"/orders", 1 << 16, 5 * time.Second},
		// A refused request gets its answer at once.
		{"/orders", 1 << 20, 0},
		{"/nowhere", 1 << 10, 0},
	} {
		stallBench(t, echo, func(t *testing.T, conn net.Conn) {
			is := is.New(t)
			start := time.Now()
			_, err := io.WriteString(conn, withKey("POST "+test.path, fmt.Sprint("Content-Length: ", test.length))+"abc")
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.True(resp.StatusCode >= http.StatusBadRequest)
			is.True(resp.Header.Get(HeaderResult) != "completed")
			is.True(resp.Close)
			is.Equal(time.Since(start), test.waits)
		})
	}
}

func TestCallerThatReceivesNothingIsCutOff(t *testing.T) {
	large := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
	}
	stallBench(t, large, func(t *testing.T, conn net.Conn) {
		is := is.New(t)
		_, err := io.WriteString(conn, withKey("GET /prices"))
		is.NoErr(err)
		time.Sleep(callerIOTimeout + time.Second)
		// The host has closed the connection, also in the middle of a write.
		data, err := io.ReadAll(conn)
		is.NoErr(err)
		is.Equal(len(data), 0)
	})
}

// A transport may read a body for longer than the handler runs; net/http must
// not see that.
func TestBodyIsNotReadAfterTheHandlerHasReturned(t *testing.T) {
	is := is.New(t)
	w := newCallerWriter(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	r := w.wrapRequest(httptest.NewRequest(http.MethodPost, "/", strings.NewReader("abc")))
	buf := make([]byte, 1)
	n, err := r.Body.Read(buf)
	is.NoErr(err)
	is.Equal(n, 1)
	w.finish()
	_, err = r.Body.Read(buf)
	is.Equal(err, http.ErrBodyReadAfterClose)
}
