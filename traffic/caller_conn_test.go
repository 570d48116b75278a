package traffic

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lingerServer is a server whose responses are larger than what a caller's socket takes.
type lingerServer struct {
	*http.Server
	listener *CallerListener
}

const lingerBody = 400 << 10

func startLingerServer(t *testing.T, handler http.HandlerFunc) *lingerServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &lingerServer{Server: NewServer(handler), listener: NewCallerListener(l, nil)}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(s.listener) }()
	return s
}

// dialSlow returns a connection that takes little before it is read.
func (s *lingerServer) dialSlow(t *testing.T) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	tcp := conn.(*net.TCPConn)
	if err := tcp.SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	return tcp
}

// lingerRequest is a request to lingerServer. A further request may lie behind it.
const lingerRequest = "GET / HTTP/1.1\r\nHost: shop\r\n\r\n"

// TestCloseDeliversTheLastResponse guards against a close that cuts the last response because
// bytes of the caller lie unread behind it.
func TestCloseDeliversTheLastResponse(t *testing.T) {
	write := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", lingerBody))
	}
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		request string
		// status is that of the only response.
		status, body int
	}{
		"a request behind the last response": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			write(w, r)
		}, strings.Repeat(lingerRequest, 200), http.StatusOK, lingerBody},
		"the caller asks for the close": {write, strings.Replace(lingerRequest, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1) + strings.Repeat(lingerRequest, 200), http.StatusOK, lingerBody},
		"an unread body":                {write, "POST / HTTP/1.1\r\nHost: shop\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("b", 600_000), http.StatusOK, lingerBody},
		"a malformed request":           {write, "what is this\r\n\r\n" + strings.Repeat("b", 600_000), http.StatusBadRequest, -1},
		"a head that is too large":      {write, "GET / HTTP/1.1\r\nHost: shop\r\nX-A: " + strings.Repeat("a", 600_000), http.StatusRequestHeaderFieldsTooLarge, -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startLingerServer(t, test.handler)
			conn := s.dialSlow(t)
			sent := make(chan error, 1)
			go func() {
				_, err := io.WriteString(conn, test.request)
				sent <- err
			}()
			time.Sleep(200 * time.Millisecond) // the server has written what the sockets take, and closes
			in := bufio.NewReader(conn)
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, test.status)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.True(test.body < 0 || len(body) == test.body)
			_, err = in.ReadByte()
			is.Equal(err, io.EOF) // the connection ends without a reset
			is.NoErr(conn.Close())
			<-sent
		})
	}
}

// TestShutdownDeliversTheLastResponses guards against a planned stop that cuts responses: idle
// connections are closed while their last response is on its way.
func TestShutdownDeliversTheLastResponses(t *testing.T) {
	is := is.New(t)
	s := startLingerServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", lingerBody))
	})
	const conns = 8
	results := make(chan error, conns)
	for range conns {
		conn := s.dialSlow(t)
		_, err := io.WriteString(conn, lingerRequest)
		is.NoErr(err)
		go func() {
			time.Sleep(300 * time.Millisecond)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				var n int64
				if n, err = io.Copy(io.Discard, resp.Body); err == nil && n != lingerBody {
					err = fmt.Errorf("%d bytes", n)
				}
			}
			_ = conn.Close()
			results <- err
		}()
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(s.Shutdown(ctx))
	s.listener.AwaitClosed(ctx)
	is.NoErr(ctx.Err())
	for range conns {
		is.NoErr(<-results)
	}
}

// TestStopIsNotHeldByCallers guards against a stop that waits for callers that neither read nor
// close.
func TestStopIsNotHeldByCallers(t *testing.T) {
	is := is.New(t)
	s := startLingerServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "ok")
	})
	for range 20 {
		_, err := io.WriteString(s.dialSlow(t), lingerRequest)
		is.NoErr(err)
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	began := time.Now()
	is.NoErr(s.Shutdown(ctx))
	s.listener.AwaitClosed(ctx)
	is.True(time.Since(began) < time.Second)
}

// TestCloseIsBounded guards against a caller that sends without end and keeps its connection from
// being closed.
func TestCloseIsBounded(t *testing.T) {
	is := is.New(t)
	s := startLingerServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	conn := s.dialSlow(t)
	began := time.Now()
	for sent := 0; ; {
		n, err := io.WriteString(conn, strings.Repeat(lingerRequest, 1000))
		sent += n
		if err != nil {
			is.True(sent < 4*maxLingerRead)
			break
		}
	}
	is.True(time.Since(began) < 2*lingerTimeout)
}
