package traffic

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessResponses are responses that go on without end: a beginning and what is repeated
// after it. Their bytes are no answer, so that the request fails at once. If a part of the
// body comes before, a response that is streamed has begun when it fails.
var endlessResponses = map[string]struct {
	begin, repeat string
	bodyBegins    bool
}{
	"100 Continue":     {"", "HTTP/1.1 100 Continue\r\n\r\n", false},
	"103 Early Hints":  {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", false},
	"status line":      {"HTTP/1.1 200 ", "OK and more ", false},
	"header line":      {"HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaaaaaaaaaa", false},
	"header fields":    {"HTTP/1.1 200 OK\r\n", "X-A: aaaaaaaaaaaaaaaa\r\n", false},
	"no line ends":     {"", "what is this", false},
	"chunk size":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0000000000000000", false},
	"chunk extensions": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a=b;a=b;a=b;", false},
	"tiny chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\na\r\n", true},
	"trailers":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-A: aaaaaaaaaaaaaaaa\r\n", true},
	"trailer line":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: ", "aaaaaaaaaaaaaaaa", true},
}

// endlessTarget responds with bytes without end until its connection is closed.
type endlessTarget struct {
	begin, repeat string
	// closed receives the number of bytes sent on a connection that the host has closed.
	closed chan int
}

func newEndlessTarget(begin, repeat string) *endlessTarget {
	return &endlessTarget{begin: begin, repeat: repeat, closed: make(chan int, 16)}
}

// respond is called when the header of a request has been received.
func (e *endlessTarget) respond(conn net.Conn) {
	sent, _ := io.WriteString(conn, e.begin)
	block := strings.Repeat(e.repeat, 1+1024/len(e.repeat))
	for {
		n, err := io.WriteString(conn, block)
		sent += n
		if err != nil {
			e.closed <- sent
			return
		}
	}
}

// endlessLimit is how soon a request must fail whose response goes on without end. It is
// well below the deadline of the requests, which is 2 s.
const endlessLimit = time.Second

// maxEndlessBytes bounds what a target can send before the connection is closed. Most of it
// are the buffers of the two sockets.
const maxEndlessBytes = 16 << 20

// expectClosed waits until the host has closed the connection to the target.
func (e *endlessTarget) expectClosed(t *testing.T) {
	t.Helper()
	select {
	case sent := <-e.closed:
		if sent > maxEndlessBytes {
			t.Errorf("%d bytes were sent before the connection was closed", sent)
		}
	case <-time.After(endlessLimit):
		t.Error("the connection to the target is still open")
	}
}

func TestEndlessResponsesFailAtOnce(t *testing.T) {
	for name, test := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			endless := newEndlessTarget(test.begin, test.repeat)
			target := newRawHeaderTarget(t, func(conn net.Conn, _ string) { endless.respond(conn) })
			h := newTestHost(t, "a", target)
			for _, path := range []string{"/orders", "/prices"} {
				began := time.Now()
				got := h.send(t.Context(), http.MethodPost, path, "", "")
				is.True(time.Since(began) < endlessLimit)
				endless.expectClosed(t)
				if path == "/prices" && test.bodyBegins {
					is.True(got.err != nil) // the caller sees that the response broke off
					continue
				}
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(got.result, "unknown")
			}
		})
	}
}

func TestGatewayEndlessResponsesFailAtOnce(t *testing.T) {
	for name, test := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			endless := newEndlessTarget(prove(test.begin, "id-/write/x"), test.repeat)
			g := newTestGateway(t)
			g.addConnTarget("bad", func(conn net.Conn) {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					endless.respond(conn)
				}
			})
			g.start()
			began := time.Now()
			got := g.send(http.MethodPost, "/write/x", "")
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			is.True(time.Since(began) < endlessLimit)
			endless.expectClosed(t)
		})
	}
}

// TestGatewayBytesAfterResponseEndTheConnection covers bytes without end after a complete
// response. The response counts, and its connection is not used again.
func TestGatewayBytesAfterResponseEndTheConnection(t *testing.T) {
	is := is.New(t)
	endless := newEndlessTarget(prove("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "id-/write/x"), "more")
	var connections atomic.Int64
	g := newTestGateway(t)
	g.addConnTarget("bad", func(conn net.Conn) {
		defer conn.Close()
		connections.Add(1)
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			endless.respond(conn)
		}
	})
	g.start()
	for i := range 3 {
		got := g.send(http.MethodPost, "/write/x", "")
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "ok")
		endless.expectClosed(t)
		is.Equal(connections.Load(), int64(i+1))
	}
}
