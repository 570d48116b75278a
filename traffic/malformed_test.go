package traffic

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// raw sends bytes on a connection of their own, closes its sending side, and
// returns all that comes back until the host closes the connection.
func raw(t *testing.T, address, text string) string {
	t.Helper()
	return exchange(t, address, text, (*net.TCPConn).CloseWrite)
}

// exchange sends bytes, calls sent, and returns all that comes back until the
// host closes the connection.
func exchange(t *testing.T, address, text string, sent func(*net.TCPConn) error) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The host may refuse and close before it has got everything.
	_, _ = io.WriteString(conn, text)
	_ = sent(conn.(*net.TCPConn))
	data, _ := io.ReadAll(conn)
	return string(data)
}

// statuses returns the status codes of the answers in a raw exchange.
func statuses(t *testing.T, text string) []int {
	t.Helper()
	var out []int
	in := bufio.NewReader(strings.NewReader(text))
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return out
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		out = append(out, resp.StatusCode)
	}
}

// withKey writes a request of the test account.
func withKey(line string, headers ...string) string {
	return line + " HTTP/1.1\r\nHost: shop\r\n" + HeaderKey + ": " + testKey + "\r\n" +
		strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

func TestMalformedRequestsReachNoTarget(t *testing.T) {
	target := newTarget(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	address := front(t, nil, target.address())
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"no HTTP":                     {"what is this\r\n\r\n", 400},
		"binary":                      {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400},
		"HTTP/0.9":                    {"GET /prices\r\n\r\n", 400},
		"no such version":             {"GET /prices HTTP/9.9\r\nHost: shop\r\n\r\n", 505},
		"no Host":                     {"GET /prices HTTP/1.1\r\n\r\n", 400},
		"two Hosts":                   {withKey("GET /prices", "Host: other"), 400},
		"blank in a name":             {withKey("GET /prices", "X-A : 1"), 400},
		"control in a value":          {withKey("GET /prices", "X-A: \x00"), 400},
		"no colon":                    {withKey("GET /prices", "X-A"), 400},
		"control in the path":         {withKey("GET /prices\x01"), 400},
		"blank in the path":           {withKey("GET /pri ces"), 400},
		"two lengths":                 {withKey("POST /prices", "Content-Length: 3", "Content-Length: 4") + "abcd", 400},
		"signed length":               {withKey("POST /prices", "Content-Length: +3") + "abc", 400},
		"length with a comma":         {withKey("POST /prices", "Content-Length: 3, 4") + "abcd", 400},
		"negative length":             {withKey("POST /prices", "Content-Length: -1"), 400},
		"huge length":                 {withKey("POST /prices", "Content-Length: 99999999999999999999"), 400},
		"unknown transfer encoding":   {withKey("POST /prices", "Transfer-Encoding: gzip") + "abc", 501},
		"chunked is not last":         {withKey("POST /prices", "Transfer-Encoding: chunked, identity") + "0\r\n\r\n", 501},
		"two transfer encodings":      {withKey("POST /prices", "Transfer-Encoding: chunked", "Transfer-Encoding: chunked") + "0\r\n\r\n", 501},
		"unknown expectation":         {withKey("POST /prices", "Expect: miracles", "Content-Length: 3") + "abc", 417},
		"upgrade":                     {withKey("GET /prices", "Connection: Upgrade", "Upgrade: websocket"), 501},
		"CONNECT":                     {withKey("CONNECT shop:80"), 501},
		"loop":                        {withKey("GET /prices", "Via: 1.1 crocushinge, 1.1 crocushinge, 1.1 crocushinge, 1.1 crocushinge"), 508},
		"head too large":              {withKey("GET /prices", "X-A: "+strings.Repeat("a", 80<<10)), 431},
		"head of many fields":         {withKey("GET /prices", strings.Repeat("X-A: 1\r\n", 20000)+"X-B: 1"), 431},
		"announced body is too large": {withKey("POST /prices", "Content-Length: 9999999") + "abc", 413},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := statuses(t, raw(t, address, test.text))
			is.Equal(got, []int{test.status})
			is.Equal(target.runs.Load(), int64(0))
		})
	}
}

func TestBrokenBodiesAreNeverWhole(t *testing.T) {
	for name, test := range map[string]struct {
		head, body string
	}{
		"cut body":             {"Content-Length: 10", "abc"},
		"cut chunk":            {"Transfer-Encoding: chunked", "5\r\nab"},
		"no last chunk":        {"Transfer-Encoding: chunked", "3\r\nabc\r\n"},
		"chunk size no number": {"Transfer-Encoding: chunked", "zz\r\nabc\r\n0\r\n\r\n"},
		"chunk size overflows": {"Transfer-Encoding: chunked", "fffffffffffffffff\r\nabc\r\n0\r\n\r\n"},
		"chunk without end":    {"Transfer-Encoding: chunked", "3\r\nabcd\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var whole atomic.Int64
			target := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					whole.Add(1)
				}
			})
			address := front(t, nil, target.address())
			for _, path := range []string{"/prices", "/orders"} {
				got := statuses(t, raw(t, address, withKey("POST "+path, test.head)+test.body))
				is.True(len(got) <= 1)
				is.True(len(got) == 0 || got[0] >= http.StatusBadRequest)
			}
			is.Equal(whole.Load(), int64(0))
		})
	}
}

// What one side takes for a body must not become a request on the other.
func TestSmuggledRequestsStayBodies(t *testing.T) {
	is := is.New(t)
	paths := make(chan string, 16)
	target := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		paths <- r.URL.Path + " " + fmt.Sprint(r.TransferEncoding, r.ContentLength) + " " + string(data)
	})
	address := front(t, nil, target.address())
	stayOpen := func(*net.TCPConn) error { return nil }
	inner := "GET /prices/inner HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n"
	// Both lengths: the chunks count, and nothing behind them is a body.
	text := withKey("POST /prices/outer", fmt.Sprintf("Content-Length: %d", 5+len(inner)), "Transfer-Encoding: chunked") +
		"0\r\n\r\n" + inner
	got := statuses(t, exchange(t, address, text, stayOpen))
	is.True(len(got) > 0)
	is.Equal(got[0], http.StatusOK)
	is.Equal(<-paths, "/prices/outer [chunked] -1 ")
	// The inner request carries no account: if it is taken for one, it runs
	// nowhere.
	for _, status := range got[1:] {
		is.Equal(status, http.StatusUnauthorized)
	}
	is.Equal(len(paths), 0)

	// A length with a request inside the body.
	text = withKey("POST /prices/outer", "Connection: close", fmt.Sprint("Content-Length: ", len(inner))) + inner
	got = statuses(t, exchange(t, address, text, stayOpen))
	is.Equal(got, []int{http.StatusOK})
	is.Equal(<-paths, fmt.Sprintf("/prices/outer [] %d %s", len(inner), inner))
	is.Equal(len(paths), 0)
}

// An answer begins before the body of its request has ended; the rest of the
// body must not become the next request.
func TestUnreadBodyIsNotTheNextRequest(t *testing.T) {
	is := is.New(t)
	var paths atomic.Int64
	early := rawTargetAtHead(t, func(conn net.Conn, _ string) {
		paths.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	address := front(t, nil, early)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, withKey("POST /prices", "Transfer-Encoding: chunked")+"1\r\na\r\n")
	is.NoErr(err)
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, resp.Body)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
	_, _ = io.WriteString(conn, "0\r\n\r\n"+withKey("GET /prices/next"))
	_, err = http.ReadResponse(in, nil)
	is.True(err != nil)
	is.Equal(paths.Load(), int64(1))
}

// rawTargetAtHead calls answer once the head of a request has arrived, and
// then reads on.
func rawTargetAtHead(t *testing.T, answer func(conn net.Conn, head string)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				head := ""
				for !strings.HasSuffix(head, "\r\n\r\n") {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					head += line
				}
				answer(conn, head)
				_, _ = io.Copy(io.Discard, in)
			}()
		}
	}()
	return listener.Addr().String()
}

func TestExpectIsAnsweredBeforeTheBody(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echo)
	address := front(t, nil, target.address())
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	_, err = io.WriteString(conn, withKey("POST /orders", "Content-Length: 3", "Expect: 100-continue"))
	is.NoErr(err)
	line, err := in.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, err = in.ReadString('\n')
	is.NoErr(err)
	_, err = io.WriteString(conn, "abc")
	is.NoErr(err)
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusCreated)
	// A request that is refused by its head never gets its body asked for.
	got := raw(t, address, withKey("POST /orders", "Content-Length: 9999999", "Expect: 100-continue"))
	is.Equal(statuses(t, got), []int{http.StatusRequestEntityTooLarge})
}

func TestHalfClosedCallerGetsItsAnswer(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echo)
	address := front(t, nil, target.address())
	got := raw(t, address, withKey("POST /orders", "Content-Length: 3")+"abc")
	is.Equal(statuses(t, got), []int{http.StatusCreated})
	is.True(strings.HasSuffix(got, "ran abc"))
}

// Answers that a target garbles are no success.
func TestMalformedAnswersAreNoSuccess(t *testing.T) {
	for name, answer := range map[string]string{
		"no HTTP":              "what is this\r\n\r\n",
		"cut head":             "HTTP/1.1 200 OK\r\nContent-Le",
		"cut body":             "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"cut chunk":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"chunk size no number": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
		"two lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"end by closing":       "HTTP/1.1 200 OK\r\n\r\nabc",
		"head too large":       "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 80<<10) + "\r\nContent-Length: 0\r\n\r\n",
		"switching protocols":  "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			garble := rawTarget(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(conn, answer)
				return false
			})
			h := newTestHost(t, "a", garble)
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				got := h.ask(t.Context(), method, "/prices", "", "")
				is.True(got.err != nil || got.status == http.StatusBadGateway)
				is.True(got.err != nil || got.result == "unknown")
			}
			got := h.order("", "")
			is.True(got.err != nil || got.status == http.StatusBadGateway)
			is.True(got.err != nil || got.result == "unknown")
		})
	}
}
