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

// pipeListener is a listener for in-memory connections without a buffer: a write blocks
// until the other side reads. Unlike sockets, they work with the virtual clock of
// synctest.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (pipeListener) Close() error   { return nil }
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p <- far
	return near, nil
}

// testOverPipes runs a test on a virtual clock with a host whose targets have the given
// addresses. The test dials callers to connect to the host. newDial returns the function
// by which the host connects to the targets' listener.
func testOverPipes(t *testing.T, addresses []string, target http.HandlerFunc, newDial func(targets pipeListener) DialFunc, test func(t *testing.T, callers pipeListener)) {
	synctest.Test(t, func(t *testing.T) {
		callers, targets := make(pipeListener), make(pipeListener)
		h := newHostWithoutServer(t, memory.New(), "a")
		h.handler.cfg.Transport = NewTargetTransport(newDial(targets))
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
		h.handler.cfg.Transport.(*TargetTransport).CloseIdleConnections()
		// After closing a connection, the server keeps reading from it for a while. All
		// goroutines must have ended before synctest.Test returns.
		time.Sleep(time.Second)
	})
}

// testOneConnection runs a test with a connection of a caller to a host with one target.
func testOneConnection(t *testing.T, target http.HandlerFunc, test func(t *testing.T, conn net.Conn)) {
	newDial := func(targets pipeListener) DialFunc { return targets.dial }
	testOverPipes(t, []string{"target:80"}, target, newDial, func(t *testing.T, callers pipeListener) {
		conn, _ := callers.dial(t.Context(), "", "")
		test(t, conn)
		conn.Close()
	})
}

func TestHeaderTimeoutDisconnectsCaller(t *testing.T) {
	testOneConnection(t, echo, func(t *testing.T, conn net.Conn) {
		is := is.New(t)
		start := time.Now()
		_, err := io.WriteString(conn, "GET /prices HTTP/1.1\r\nHost: shop\r\n")
		is.NoErr(err)
		_, err = io.ReadAll(conn)
		is.NoErr(err)
		is.Equal(time.Since(start), readHeaderTimeout)
	})
}

func TestBodyTimeoutDisconnectsCaller(t *testing.T) {
	for _, test := range []struct {
		path   string
		length int
		// timeout is how long the host waits for the body.
		timeout time.Duration
	}{
		// The deadline of both routes is 5 s.
		{"/prices", 1 << 16, 5 * time.Second},
		{"/prices", 1 << 10, 5 * time.Second},
		{"/orders", 1 << 16, 5 * time.Second},
		// A request that is refused because of its header gets its response at once.
		{"/orders", 1 << 20, 0},
		{"/nowhere", 1 << 10, 0},
	} {
		testOneConnection(t, echo, func(t *testing.T, conn net.Conn) {
			is := is.New(t)
			start := time.Now()
			_, err := io.WriteString(conn, rawRequest("POST "+test.path, fmt.Sprint("Content-Length: ", test.length))+"abc")
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.True(resp.StatusCode >= http.StatusBadRequest)
			is.True(resp.Header.Get(HeaderResult) != "completed")
			is.True(resp.Close)
			is.Equal(time.Since(start), test.timeout)
		})
	}
}

func TestWriteTimeoutDisconnectsCaller(t *testing.T) {
	large := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
	}
	testOneConnection(t, large, func(t *testing.T, conn net.Conn) {
		is := is.New(t)
		_, err := io.WriteString(conn, rawRequest("GET /prices"))
		is.NoErr(err)
		time.Sleep(callerIOTimeout + time.Second)
		// The host has closed the connection although a write was in progress.
		data, err := io.ReadAll(conn)
		is.NoErr(err)
		is.Equal(len(data), 0)
	})
}

// TestBodyIsNotReadAfterHandlerReturns checks that a transport that still reads a body
// after the handler has returned gets an error: net/http does not allow such reads.
func TestBodyIsNotReadAfterHandlerReturns(t *testing.T) {
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
