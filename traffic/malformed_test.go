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

// sendRaw sends bytes on a new connection, closes the connection for writing, and
// returns all bytes received until the host closes it.
func sendRaw(t *testing.T, address, text string) string {
	t.Helper()
	return sendRawThen(t, address, text, (*net.TCPConn).CloseWrite)
}

// sendRawThen sends bytes on a new connection, calls afterSend, and returns all bytes
// received until the host closes the connection.
func sendRawThen(t *testing.T, address, text string, afterSend func(*net.TCPConn) error) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// Errors are ignored: the host may respond and close before it has read everything.
	_, _ = io.WriteString(conn, text)
	_ = afterSend(conn.(*net.TCPConn))
	data, _ := io.ReadAll(conn)
	return string(data)
}

// parseStatuses returns the status codes of the responses in a byte stream.
func parseStatuses(t *testing.T, text string) []int {
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

// rawRequest returns the request line and header of a request with the key of the test
// account.
func rawRequest(line string, headers ...string) string {
	return line + " HTTP/1.1\r\nHost: shop\r\n" + HeaderAccountKey + ": " + testKey + "\r\n" +
		strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

func TestMalformedRequestsAreNotForwarded(t *testing.T) {
	target := newCountingTarget(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	address := startHost(t, nil, target.address())
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"not HTTP":                            {"what is this\r\n\r\n", 400},
		"binary":                              {"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400},
		"HTTP/0.9":                            {"GET /prices\r\n\r\n", 400},
		"unknown version":                     {"GET /prices HTTP/9.9\r\nHost: shop\r\n\r\n", 505},
		"no Host":                             {"GET /prices HTTP/1.1\r\n\r\n", 400},
		"two Hosts":                           {rawRequest("GET /prices", "Host: other"), 400},
		"space in a header name":              {rawRequest("GET /prices", "X-A : 1"), 400},
		"control character in a header value": {rawRequest("GET /prices", "X-A: \x00"), 400},
		"header without colon":                {rawRequest("GET /prices", "X-A"), 400},
		"control character in the path":       {rawRequest("GET /prices\x01"), 400},
		"space in the path":                   {rawRequest("GET /pri ces"), 400},
		"two Content-Lengths":                 {rawRequest("POST /prices", "Content-Length: 3", "Content-Length: 4") + "abcd", 400},
		"signed Content-Length":               {rawRequest("POST /prices", "Content-Length: +3") + "abc", 400},
		"list as Content-Length":              {rawRequest("POST /prices", "Content-Length: 3, 4") + "abcd", 400},
		"negative Content-Length":             {rawRequest("POST /prices", "Content-Length: -1"), 400},
		"Content-Length overflows":            {rawRequest("POST /prices", "Content-Length: 99999999999999999999"), 400},
		"unknown transfer encoding":           {rawRequest("POST /prices", "Transfer-Encoding: gzip") + "abc", 501},
		"chunked is not the last encoding":    {rawRequest("POST /prices", "Transfer-Encoding: chunked, identity") + "0\r\n\r\n", 501},
		"two transfer encodings":              {rawRequest("POST /prices", "Transfer-Encoding: chunked", "Transfer-Encoding: chunked") + "0\r\n\r\n", 501},
		"unknown expectation":                 {rawRequest("POST /prices", "Expect: something-else", "Content-Length: 3") + "abc", 417},
		"upgrade":                             {rawRequest("GET /prices", "Connection: Upgrade", "Upgrade: websocket"), 501},
		"CONNECT":                             {rawRequest("CONNECT shop:80"), 501},
		"loop":                                {rawRequest("GET /prices", "Via: 1.1 crocushinge, 1.1 crocushinge, 1.1 crocushinge, 1.1 crocushinge"), 508},
		"header too large":                    {rawRequest("GET /prices", "X-A: "+strings.Repeat("a", 80<<10)), 431},
		"too many header fields":              {rawRequest("GET /prices", strings.Repeat("X-A: 1\r\n", 20000)+"X-B: 1"), 431},
		"Content-Length too large":            {rawRequest("POST /prices", "Content-Length: 9999999") + "abc", 413},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := parseStatuses(t, sendRaw(t, address, test.text))
			is.Equal(got, []int{test.status})
			is.Equal(target.requestCount.Load(), int64(0))
		})
	}
}

// TestIncompleteRequestBodiesFail checks that a target never receives an incomplete or
// malformed body as a complete one.
func TestIncompleteRequestBodiesFail(t *testing.T) {
	for name, test := range map[string]struct {
		header, body string
	}{
		"truncated body":             {"Content-Length: 10", "abc"},
		"truncated chunk":            {"Transfer-Encoding: chunked", "5\r\nab"},
		"no last chunk":              {"Transfer-Encoding: chunked", "3\r\nabc\r\n"},
		"chunk size is not a number": {"Transfer-Encoding: chunked", "zz\r\nabc\r\n0\r\n\r\n"},
		"chunk size overflows":       {"Transfer-Encoding: chunked", "fffffffffffffffff\r\nabc\r\n0\r\n\r\n"},
		"chunk longer than its size": {"Transfer-Encoding: chunked", "3\r\nabcd\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var complete atomic.Int64
			target := newCountingTarget(t, func(_ http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					complete.Add(1)
				}
			})
			address := startHost(t, nil, target.address())
			for _, path := range []string{"/prices", "/orders"} {
				got := parseStatuses(t, sendRaw(t, address, rawRequest("POST "+path, test.header)+test.body))
				is.True(len(got) <= 1)
				is.True(len(got) == 0 || got[0] >= http.StatusBadRequest)
			}
			is.Equal(complete.Load(), int64(0))
		})
	}
}

// TestNoRequestSmuggling checks that the host and the target agree on where a body ends:
// bytes that one of them reads as part of a body must not be a request to the other.
func TestNoRequestSmuggling(t *testing.T) {
	is := is.New(t)
	paths := make(chan string, 16)
	target := newCountingTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		paths <- r.URL.Path + " " + fmt.Sprint(r.TransferEncoding, r.ContentLength) + " " + string(data)
	})
	address := startHost(t, nil, target.address())
	keepOpen := func(*net.TCPConn) error { return nil }
	inner := "GET /prices/inner HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n"
	// If a request has both Content-Length and Transfer-Encoding, Transfer-Encoding
	// takes precedence: the body ends with the last chunk.
	text := rawRequest("POST /prices/outer", fmt.Sprintf("Content-Length: %d", 5+len(inner)), "Transfer-Encoding: chunked") +
		"0\r\n\r\n" + inner
	got := parseStatuses(t, sendRawThen(t, address, text, keepOpen))
	is.True(len(got) > 0)
	is.Equal(got[0], http.StatusOK)
	is.Equal(<-paths, "/prices/outer [chunked] -1 ")
	// If the host parses the bytes after the body as a request, it refuses that request,
	// because it has no account key.
	for _, status := range got[1:] {
		is.Equal(status, http.StatusUnauthorized)
	}
	is.Equal(len(paths), 0)

	// A request within a body with a Content-Length.
	text = rawRequest("POST /prices/outer", "Connection: close", fmt.Sprint("Content-Length: ", len(inner))) + inner
	got = parseStatuses(t, sendRawThen(t, address, text, keepOpen))
	is.Equal(got, []int{http.StatusOK})
	is.Equal(<-paths, fmt.Sprintf("/prices/outer [] %d %s", len(inner), inner))
	is.Equal(len(paths), 0)
}

// TestUnreadBodyIsNotParsedAsNextRequest uses a target that responds before the body
// of the request has ended. The rest of the body must not be parsed as the next
// request.
func TestUnreadBodyIsNotParsedAsNextRequest(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	target := newRawHeaderTarget(t, func(conn net.Conn, _ string) {
		requests.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	address := startHost(t, nil, target)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, rawRequest("POST /prices", "Transfer-Encoding: chunked")+"1\r\na\r\n")
	is.NoErr(err)
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, resp.Body)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
	_, _ = io.WriteString(conn, "0\r\n\r\n"+rawRequest("GET /prices/next"))
	_, err = http.ReadResponse(in, nil)
	is.True(err != nil)
	is.Equal(requests.Load(), int64(1))
}

// newRawHeaderTarget starts a target that calls respond when it has received the header
// of a request, and then discards everything else. It returns its address.
func newRawHeaderTarget(t *testing.T, respond func(conn net.Conn, header string)) string {
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
				header := ""
				for !strings.HasSuffix(header, "\r\n\r\n") {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					header += line
				}
				respond(conn, header)
				_, _ = io.Copy(io.Discard, in)
			}()
		}
	}()
	return listener.Addr().String()
}

func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	target := newCountingTarget(t, echo)
	address := startHost(t, nil, target.address())
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	_, err = io.WriteString(conn, rawRequest("POST /orders", "Content-Length: 3", "Expect: 100-continue"))
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
	// For a request that is refused because of its header, the host does not send
	// "100 Continue".
	got := sendRaw(t, address, rawRequest("POST /orders", "Content-Length: 9999999", "Expect: 100-continue"))
	is.Equal(parseStatuses(t, got), []int{http.StatusRequestEntityTooLarge})
}

func TestHalfClosedCallerGetsResponse(t *testing.T) {
	is := is.New(t)
	target := newCountingTarget(t, echo)
	address := startHost(t, nil, target.address())
	got := sendRaw(t, address, rawRequest("POST /orders", "Content-Length: 3")+"abc")
	is.Equal(parseStatuses(t, got), []int{http.StatusCreated})
	is.True(strings.HasSuffix(got, "ran abc"))
}

// TestMalformedResponsesFail checks that malformed or incomplete responses of a target
// are not forwarded as complete ones.
func TestMalformedResponsesFail(t *testing.T) {
	for name, response := range map[string]string{
		"not HTTP":                   "what is this\r\n\r\n",
		"truncated header":           "HTTP/1.1 200 OK\r\nContent-Le",
		"truncated body":             "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"truncated chunk":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last chunk":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"chunk size is not a number": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
		"two Content-Lengths":        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"close-delimited":            "HTTP/1.1 200 OK\r\n\r\nabc",
		"header too large":           "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 80<<10) + "\r\nContent-Length: 0\r\n\r\n",
		"switching protocols":        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newRawTarget(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(conn, response)
				return false
			})
			h := newTestHost(t, "a", target)
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				got := h.send(t.Context(), method, "/prices", "", "")
				is.True(got.err != nil || got.status == http.StatusBadGateway)
				is.True(got.err != nil || got.result == "unknown")
			}
			got := h.sendOrder("", "")
			is.True(got.err != nil || got.status == http.StatusBadGateway)
			is.True(got.err != nil || got.result == "unknown")
		})
	}
}
