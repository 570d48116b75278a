package traffic

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
)

// earlyAnswer is how a target answers an upload that it has not read.
type earlyAnswer struct {
	name string
	// protocol is the version in the status line.
	protocol string
	bytes    int
	// end ends the connection after the answer.
	end func(conn *net.TCPConn, upload *bufio.Reader)
	// whole says that the answer is complete.
	whole bool
	// uploadBytes is the size of the upload.
	uploadBytes int
}

// reset ends a connection with a reset after a pause.
func reset(pause time.Duration) func(*net.TCPConn, *bufio.Reader) {
	return func(conn *net.TCPConn, _ *bufio.Reader) {
		time.Sleep(pause)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// uploadLength is the size of the uploads that no target's kernel takes as a whole.
const uploadLength = 16 << 20

var earlyAnswers = []earlyAnswer{
	{"reset after 50 ms", "HTTP/1.1", 5000, reset(50 * time.Millisecond), false, uploadLength},
	{"reset after 200 ms", "HTTP/1.1", 5000, reset(200 * time.Millisecond), false, uploadLength},
	{"long, reset after 50 ms", "HTTP/1.1", 200_000, reset(50 * time.Millisecond), false, uploadLength},
	{"HTTP/1.0, reset after 50 ms", "HTTP/1.0", 5000, reset(50 * time.Millisecond), false, uploadLength},
	{"reset at once", "HTTP/1.1", 5000, reset(0), false, uploadLength},
	{"upload written, reset after 50 ms", "HTTP/1.1", 5000, reset(50 * time.Millisecond), false, 100_000},
	{"half-closed, reads on", "HTTP/1.1", 5000, func(conn *net.TCPConn, upload *bufio.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, upload)
	}, true, uploadLength},
	{"long, half-closed, reads on", "HTTP/1.1", 200_000, func(conn *net.TCPConn, upload *bufio.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, upload)
	}, true, uploadLength},
	{"closed with the upload read", "HTTP/1.1", 5000, func(conn *net.TCPConn, upload *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, upload, uploadLength)
		_ = conn.Close()
	}, true, uploadLength},
	{"HTTP/1.0, closed with the upload read", "HTTP/1.0", 5000, func(conn *net.TCPConn, upload *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, upload, uploadLength)
		_ = conn.Close()
	}, true, uploadLength},
}

// addEarlyTarget adds a target that answers each request at once, without a length.
func (g *testGateway) addEarlyTarget(name string, answer earlyAnswer) {
	g.addConnTarget(name, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		head := prove(answer.protocol+" 200 OK\r\nConnection: close\r\n\r\n", r.Header.Get("X-Id"))
		if _, err := io.WriteString(conn, head+strings.Repeat("x", answer.bytes)); err != nil {
			return
		}
		answer.end(conn.(*net.TCPConn), reader)
	})
}

// TestAnswersThatAreResetAreNotWhole guards against a part of an answer that a caller takes for all of it:
// the target resets the connection while the upload is being written, and the writer of the upload gets
// the kernel's only report of that.
func TestAnswersThatAreResetAreNotWhole(t *testing.T) {
	for _, answer := range earlyAnswers {
		for _, path := range []string{"/read/x", "/write/x"} {
			t.Run(fmt.Sprintf("%s, %s", answer.name, path), func(t *testing.T) {
				g := newTestGateway(t)
				g.bodies = caller.NewMemory(1 << 30)
				for i := range g.routes {
					g.routes[i].Timeout = time.Minute // the uploads are long
				}
				g.addEarlyTarget("only", answer)
				g.start()
				var mu sync.Mutex
				var all sync.WaitGroup
				whole, broken := 0, 0
				const requests, atOnce = 12, 4
				upload := strings.Repeat("u", answer.uploadBytes)
				slots := make(chan struct{}, atOnce)
				for range requests {
					all.Go(func() {
						slots <- struct{}{}
						defer func() { <-slots }()
						got := g.send(http.MethodPost, path, upload)
						mu.Lock()
						defer mu.Unlock()
						if got.err == nil && got.status == http.StatusOK {
							whole++
							if len(got.body) != answer.bytes {
								t.Errorf("a complete response with %d of %d bytes", len(got.body), answer.bytes)
							}
						} else {
							broken++
						}
					})
				}
				all.Wait()
				is := is.New(t)
				if answer.whole {
					is.Equal(whole, requests)
				} else {
					is.Equal(broken, requests)
				}
			})
		}
	}
}

// TestBrokenResponseToHTTP10IsNotWhole guards against callers of HTTP/1.0 that take a part of a response for
// all of it: for them, the end of the connection is the end of a response without a length.
func TestBrokenResponseToHTTP10IsNotWhole(t *testing.T) {
	for _, breaks := range []bool{false, true} {
		for _, path := range []string{"/read/x", "/write/x"} {
			is := is.New(t)
			g := newTestGateway(t)
			const length = 3 * maxBufferedBytes
			g.addRawTarget("only", func(id string) string {
				text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", length, strings.Repeat("x", length))
				if !breaks {
					text += "0\r\n\r\n"
				}
				return prove(text, id)
			}, true)
			g.start()
			conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
			is.NoErr(err)
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: shop.example\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n", path)
			is.NoErr(err)
			data, err := io.ReadAll(conn)
			is.Equal(err != nil, breaks) // reset
			is.True(breaks || strings.Count(string(data), "x") >= length)
			_ = conn.Close()
		}
	}
}
