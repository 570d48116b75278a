package traffic

import (
	"bufio"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// runTarget runs every request and then sends what respond returns in place of its response. An
// empty text means that it resets the connection.
type runTarget struct {
	mu   sync.Mutex
	runs map[string]int
	// respond returns the bytes for the n-th request on a connection, and whether the connection
	// stays open.
	respond func(id string, n int) (bytes string, open bool)
}

func (r *runTarget) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Id")
		r.mu.Lock()
		r.runs[id]++
		respond := r.respond
		r.mu.Unlock()
		bytes, open := respond(id, n)
		if bytes == "" {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := io.WriteString(conn, bytes); err != nil || !open {
			return
		}
	}
}

// set replaces what the target responds.
func (r *runTarget) set(respond func(id string, n int) (string, bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.respond = respond
}

func (r *runTarget) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// newRunTargets starts a gateway with two targets that share their behavior.
func newRunTargets(t testing.TB) (*testGateway, *runTarget) {
	g := newTestGateway(t)
	g.budget.MinRetries = 1e9
	target := &runTarget{runs: make(map[string]int)}
	g.addConnTarget("a", target.serve)
	g.addConnTarget("b", target.serve)
	return g.start(), target
}

// whole is a whole response to the request with the given id.
func whole(id string) string {
	return prove("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nran ", id)
}

// TestBytesAfterARequestHasRun lists what a target may send after it has run a request. The
// promise "not run" and a second run of an order are never allowed.
func TestBytesAfterARequestHasRun(t *testing.T) {
	for name, test := range map[string]struct {
		respond func(id string) string
		// order is what the caller of an order gets, lookup that of a request that may be sent
		// again. An order runs once, and a lookup twice unless served is set.
		order, lookup int
		served        bool
	}{
		"reset":                        {func(string) string { return "" }, 502, 502, false},
		"text":                         {func(string) string { return "what is this\r\n\r\n" }, 502, 502, false},
		"zeros":                        {func(string) string { return strings.Repeat("\x00", 100) }, 502, 502, false},
		"empty lines":                  {func(string) string { return "\r\n\r\n\r\n" }, 502, 502, false},
		"half a head":                  {func(id string) string { return whole(id)[:40] }, 502, 502, false},
		"foreign success":              {func(string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" }, 502, 502, false},
		"foreign failure":              {func(string) string { return "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nno" }, 502, 502, false},
		"foreign 400":                  {func(string) string { return "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n" }, 502, 502, false},
		"foreign 408":                  {func(string) string { return "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n" }, 502, 502, false},
		"foreign redirect":             {func(string) string { return "HTTP/1.0 302 Found\r\nLocation: /\r\n\r\n" }, 502, 502, false},
		"interim only":                 {func(string) string { return "HTTP/1.1 103 Early Hints\r\n\r\n" }, 502, 502, false},
		"interim and own":              {func(id string) string { return "HTTP/1.1 103 Early Hints\r\n\r\n" + whole(id) }, 200, 200, true},
		"another protocol":             {func(id string) string { return prove("HTTP/1.1 101 Switching Protocols\r\n\r\n", id) }, 502, 502, false},
		"response to another":          {func(string) string { return whole("other") }, 502, 502, false},
		"not run, of another":          {func(string) string { return refusalOf("other", "503 Busy") }, 502, 502, false},
		"not run, of nobody":           {func(string) string { return refusalOf("", "503 Busy") }, 502, 502, false},
		"busy, not stated":             {func(id string) string { return prove("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", id) }, 502, 502, false},
		"own failure":                  {func(id string) string { return prove("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", id) }, 500, 500, false},
		"own, then a refusal of it":    {func(id string) string { return whole(id) + refusalOf(id, "503 Busy") }, 200, 200, true},
		"own, then bytes":              {func(id string) string { return whole(id) + "HTTP/1.1 200 OK\r\n\r\n" }, 200, 200, true},
		"foreign, then own":            {func(id string) string { return "HTTP/1.1 204 No Content\r\n\r\n" + whole(id) }, 502, 502, false},
		"own id, unsigned":             {func(id string) string { return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n" }, 502, 502, false},
		"id in the body only":          {func(id string) string { return "HTTP/1.1 200 OK\r\n\r\nX-Id: " + id + "\r\nX-Signature: s" }, 502, 502, false},
		"id in a trailer only":         {func(id string) string { return trailerOnly(id) }, 502, 502, false},
		"status line, then own":        {func(id string) string { return "HTTP/1.1 404 Not Found\r\n" + whole(id) }, 502, 502, false},
		"half a status line, then own": {func(id string) string { return "HTTP/1.1 404 " + whole(id) }, 502, 502, false},
		"half a header line, then own": {func(id string) string { return "HTTP/1.1 404 Not Found\r\nContent-Type: te" + whole(id) }, 502, 502, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, target := newRunTargets(t)
			target.set(func(id string, _ int) (string, bool) { return test.respond(id), false })
			order := g.send(http.MethodPut, "/write/x", "ten sheets", "X-Id", "order")
			is.NoErr(order.err)
			is.Equal(order.status, test.order)
			is.Equal(target.runsOf("order"), 1)
			lookup := g.send(http.MethodGet, "/read/x", "", "X-Id", "lookup")
			is.NoErr(lookup.err)
			is.Equal(lookup.status, test.lookup)
			runs := 2
			if test.served {
				runs = 1
				is.Equal(lookup.body, "ran ")
			}
			is.Equal(target.runsOf("lookup"), runs)
		})
	}
}

func trailerOnly(id string) string {
	return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Id, X-Signature\r\n\r\n2\r\nok\r\n0\r\nX-Id: " + id + "\r\nX-Signature: s\r\n\r\n"
}

// promises are the statuses that mean to a caller that its request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// FuzzBytesAfterARequestHasRun sends any bytes in place of the response, or after a whole response
// where the next one is due. The ids are random, so that the bytes cannot contain them.
func FuzzBytesAfterARequestHasRun(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 408 Request Timeout\r\n\r\n", "REFUSED_STREAM\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Id: a\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	g, target := newRunTargets(f)
	f.Fuzz(func(t *testing.T, bytes []byte, late bool) {
		g.t = t
		target.set(func(id string, n int) (string, bool) {
			switch {
			case !late:
				return string(bytes), false
			case n%2 == 1:
				return whole(id), true
			default:
				return string(bytes) + whole(id), true
			}
		})
		for range 2 {
			id := rand.Text()
			got := g.send(http.MethodPut, "/write/x", "ten sheets", "X-Id", id)
			if runs := target.runsOf(id); runs > 1 {
				t.Fatalf("the order ran %d times", runs)
			}
			if got.err != nil {
				continue // the caller sees that the response broke off
			}
			if slices.Contains(promises, got.status) && target.runsOf(id) > 0 {
				t.Fatalf("status %d for an order that ran", got.status)
			}
			if got.status/100 == 2 && (got.header.Get("X-Id") != id || got.body != "ran " || len(got.header.Values(signatureHeader)) != 1) {
				t.Fatalf("foreign success: %v %q", got.header, got.body)
			}
			if got.status/100 != 2 && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout && target.runsOf(id) > 0 {
				t.Fatalf("foreign status %d", got.status)
			}
		}
	})
}
