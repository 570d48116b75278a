package traffic

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/link"
)

// newSlowPeerGateway returns a gateway whose memory is that of a number of streamed responses.
// Its target sends as many bytes as the query says.
func newSlowPeerGateway(t *testing.T, requests int64) *testGateway {
	g := newTestGateway(t)
	for i := range g.routes {
		g.routes[i].Timeout, g.routes[i].Attempts = 30*time.Second, 1
	}
	g.responses = caller.NewMemory(requests * (responseAllowance + streamAllowance))
	g.addTarget("t1", func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.Atoi(r.URL.RawQuery)
		w.Header().Set("Content-Length", strconv.Itoa(n))
		_, _ = io.WriteString(w, strings.Repeat("x", n))
	})
	return g
}

// setSlowSocket makes a socket take 8 kB in segments of Ethernet's size. The segments of loopback
// are so large that the receiver would hide its progress.
func setSlowSocket(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10)
		if err == nil {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1460)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// request sends a request for a response of n bytes on a connection of its own.
func (g *testGateway) request(dialer net.Dialer, method, path string, n int, body string) *net.TCPConn {
	g.t.Helper()
	conn, err := dialer.Dial("tcp", g.server.Listener.Addr().String())
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprintf(conn, "%s %s?%d HTTP/1.1\r\nHost: shop.example\r\nX-Id: slow\r\nContent-Length: %d\r\n\r\n%s", method, path, n, len(body), body)
	return conn.(*net.TCPConn)
}

var slowDialer = net.Dialer{Control: setSlowSocket}

// slowPeersCut returns the slow peers cut off so far, by reason.
func (g *testGateway) slowPeersCut() map[string]int64 {
	cut := make(map[string]int64)
	g.gateway.Counters().SlowPeersCutByReason(func(reason string, count int64) {
		if count > 0 {
			cut[reason] = count
		}
	})
	return cut
}

// waitForCut waits until a slow peer is counted as cut off, which is after its connection ended.
func (g *testGateway) waitForCut() {
	for end := time.Now().Add(10 * time.Second); len(g.slowPeersCut()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// TestSlowestReaderIsCutForOthers guards against ordinary callers that are refused because slow
// ones hold the memory for responses, and against a cut response that looks complete.
func TestSlowestReaderIsCutForOthers(t *testing.T) {
	is := is.New(t)
	const body = 3 << 20
	g := newSlowPeerGateway(t, 4).start()
	slowest := g.request(slowDialer, http.MethodGet, "/read/x", body, "")
	steady := make(chan error, 3)
	for range cap(steady) {
		time.Sleep(100 * time.Millisecond) // the response before has given its buffer back
		conn := g.request(net.Dialer{}, http.MethodGet, "/read/x", body, "")
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			for err == nil {
				_, err = io.CopyN(io.Discard, resp.Body, 64<<10)
				time.Sleep(50 * time.Millisecond)
			}
			steady <- err
		}()
	}
	time.Sleep(2 * slowWriteTime)
	is.Equal(g.send(http.MethodGet, "/read/ordinary?10", "").status, http.StatusOK)
	_, err := io.Copy(io.Discard, slowest)
	is.True(errors.Is(err, syscall.ECONNRESET))
	g.waitForCut()
	is.Equal(g.slowPeersCut(), map[string]int64{"process_memory": 1})
	for range cap(steady) {
		is.Equal(<-steady, io.EOF) // the whole response
	}
	is.Equal(g.send(http.MethodGet, "/read/ordinary?10", "").status, http.StatusOK)
	for _, o := range g.outcomes() {
		is.True(o == link.Succeeded || o == link.Canceled) // the target is not at fault
	}
	is.Equal(g.unserved, 0)
	is.Equal(g.responses.Used(), int64(0))
	g.mu.Lock()
	defer g.mu.Unlock()
	logged := 0
	for _, d := range g.decisions {
		if d.Event == SlowCallerCut {
			logged++
			is.Equal(d.Reason, slowPeerTexts[slowProcessMemory].text)
		}
	}
	is.Equal(logged, 1)
}

// TestSlowStreamOfHTTP2IsCutForOthers guards against streams that hold the memory because their
// connection cannot be aborted, and against a cut of the whole connection.
func TestSlowStreamOfHTTP2IsCutForOthers(t *testing.T) {
	is := is.New(t)
	const body = 6 << 20 // more than the client takes unread
	g := newSlowPeerGateway(t, 2).start()
	client := newClient(t, true)
	var unread []*http.Response
	for range 2 {
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("%s/read/x?%d", g.server.URL, body), nil)
		is.NoErr(err)
		req.Host = "shop.example"
		req.Header.Set("X-Id", "slow")
		resp, err := client.Do(req)
		is.NoErr(err)
		unread = append(unread, resp)
		time.Sleep(2 * slowWriteTime)
	}
	is.Equal(g.send(http.MethodGet, "/read/ordinary?10", "").status, http.StatusOK)
	whole := 0
	for _, resp := range unread {
		if n, err := io.Copy(io.Discard, resp.Body); err == nil && n == body {
			whole++
		}
	}
	is.Equal(whole, 1)
	is.Equal(g.slowPeersCut(), map[string]int64{"process_memory": 1})
}

// slowWriteTime is longer than a write must have waited until its caller counts as slow.
const slowWriteTime = 600 * time.Millisecond

// TestSlowReaderThatMakesProgressIsNotCut guards against a write that fails although its caller
// reads: the kernel accepts more only when a third of its buffer is free.
func TestSlowReaderThatMakesProgressIsNotCut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newSlowPeerGateway(t, 4).start()
	conn := g.request(slowDialer, http.MethodGet, "/read/x", 1<<20, "")
	stalled := g.request(slowDialer, http.MethodGet, "/read/x", 1<<20, "")
	end := time.Now().Add(2*callerIOTimeout + time.Second) // a write that began with progress gets the time once more
	for time.Now().Before(end) {
		_, err := conn.Read(make([]byte, 1<<10))
		is.NoErr(err)
		time.Sleep(500 * time.Millisecond)
	}
	is.Equal(g.slowPeersCut(), map[string]int64{"stalled": 1})
	_, err := io.Copy(io.Discard, stalled)
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = io.CopyN(io.Discard, conn, 500<<10)
	is.NoErr(err)
}

// TestLongResponseHoldsNoBufferOnceSent guards against slow callers that hold the buffered start of
// their response, or the body of their request, until the end.
func TestLongResponseHoldsNoBufferOnceSent(t *testing.T) {
	is := is.New(t)
	g := newSlowPeerGateway(t, 100).start()
	conn := g.request(slowDialer, http.MethodPut, "/write/x", 3<<20, strings.Repeat("b", 200<<10))
	const held = responseAllowance + streamAllowance
	sent := func() bool { return g.responses.Used() == held && g.bodies.Used() == 0 }
	for end := time.Now().Add(10 * time.Second); !sent() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond) // the request is on its way, or the response in its buffer
	}
	time.Sleep(slowWriteTime) // and stays so
	is.Equal(g.responses.Used(), int64(held))
	is.Equal(g.bodies.Used(), int64(0))
	_ = conn.Close()
}

// TestBodyIsFreedOnceItsUploadEnds guards against a body that stays in memory until a slow caller has read
// the response, because the head of the response came before the end of the upload.
func TestBodyIsFreedOnceItsUploadEnds(t *testing.T) {
	for _, headFirst := range []bool{true, false} {
		is := is.New(t)
		bodies := caller.NewMemory(1 << 20)
		g := &Gateway{slowPeers: newSlowPeers(caller.NewMemory(1<<20), bodies)}
		b, err := readBody(httptest.NewRequest(http.MethodPut, "/", strings.NewReader(strings.Repeat("b", 200<<10))), 1<<20, bodies)
		is.NoErr(err)
		out := &http.Request{}
		u := g.slowPeers.beginUpload(out, b, func(error) {})
		d := &dispatcher{gateway: g, request: &gatewayRequest{body: b}}
		a := &gatewayAttempt{response: &http.Response{Request: out}, upload: u}
		if headFirst {
			d.freeBodyOf(a)
			is.True(bodies.Used() > 0)
		}
		_, err = io.Copy(io.Discard, out.Body)
		is.NoErr(err)
		if !headFirst {
			d.freeBodyOf(a)
		}
		is.Equal(bodies.Used(), int64(0))
	}
}

// TestTargetThatReadsSlowlyIsCutForOthers guards against requests that are refused because the
// bodies of others wait for a target that does not read them.
func TestTargetThatReadsSlowlyIsCutForOthers(t *testing.T) {
	is := is.New(t)
	g := newSlowPeerGateway(t, 100)
	g.bodies = caller.NewMemory(12 << 20)
	g.targets = nil
	g.addConnTarget("deaf", func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		time.Sleep(3 * time.Second)
		_ = conn.Close()
	})
	g.start()
	results := make(chan gatewayResponse, 1)
	go func() { results <- g.send(http.MethodPut, "/write/x", strings.Repeat("b", 11<<20)) }()
	for g.bodies.Used() < 11<<20 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * slowWriteTime) // the kernel has taken what it takes
	go g.send(http.MethodPut, "/short/x", strings.Repeat("b", 4<<20))
	got := <-results
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusBadGateway) // it may have run
	is.True(strings.Contains(got.body, errSlowTarget.Error()))
	is.Equal(g.slowPeersCut(), map[string]int64{"target_memory": 1})
	is.Equal(g.outcomes()[0], link.Broken)
}

// TestReadyResponseIsDeliveredAtTheDeadline guards against a whole response that is dropped because
// the deadline passed at the same moment.
func TestReadyResponseIsDeliveredAtTheDeadline(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	g.addTarget("t1", nil)
	g.start()
	ctx, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	ready := &gatewayAttempt{target: g.service.Targets()[0], response: &http.Response{StatusCode: http.StatusOK}, complete: true, finished: true}
	d := &dispatcher{gateway: g.gateway, request: &gatewayRequest{}, ctx: ctx, results: make(chan *gatewayAttempt, 1), inFlight: 1}
	is.Equal(d.readyResult(), nil)
	d.results <- ready
	is.Equal(d.readyResult(), ready)
}

// TestConnectionOfARequestIsKnown guards against a bound per connection that does not hold for
// HTTP/2, where one connection has many requests.
func TestConnectionOfARequestIsKnown(t *testing.T) {
	for _, h2c := range []bool{false, true} {
		t.Run(fmt.Sprint("h2c ", h2c), func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var known atomic.Pointer[callerConn]
			server := NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { known.Store(callerConnOf(r.Context())) }))
			t.Cleanup(func() { _ = server.Close() })
			go func() { _ = server.Serve(NewCallerListener(l, nil)) }()
			resp, err := newClient(t, h2c).Get("http://" + l.Addr().String())
			is.NoErr(err)
			_ = resp.Body.Close()
			is.True(known.Load() != nil)
			memory := caller.NewMemory(100)
			part := known.Load().responseMemory(memory, 10)
			is.True(part.Reserve(10))
			is.True(!known.Load().responseMemory(memory, 10).Reserve(1))
		})
	}
}
