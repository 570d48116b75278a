package traffic

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// respondRaw returns a script for newRawTarget that responds with the given bytes, and
// then closes the connection unless keepOpen is set.
func respondRaw(text string, keepOpen bool) func(net.Conn, int, *http.Request) bool {
	return func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = io.WriteString(conn, text)
		return keepOpen
	}
}

// TestTruncatedResponsesFail checks that a response that breaks off, or that is
// close-delimited and may have broken off, is not forwarded as a complete one.
func TestTruncatedResponsesFail(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBytes+1)
	for name, text := range map[string]string{
		"truncated body":        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"truncated chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
		"no length":             "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcde",
		"no length, HTTP/1.0":   "HTTP/1.0 200 OK\r\n\r\nabcde",
		"truncated header":      "HTTP/1.1 200 OK\r\nContent-Le",
		"long, truncated body":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long)+1, long),
		"long, truncated chunk": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n5\r\nab", len(long), long),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newTestHost(t, "a", newRawTarget(t, respondRaw(text, false)))
			for _, path := range []string{"/orders", "/prices"} {
				r := h.send(t.Context(), http.MethodPost, path, "", "")
				is.True(r.err != nil || r.result == "unknown")
				is.True(r.err != nil || r.status >= http.StatusInternalServerError)
			}
			id := h.home.Prefix() + "x"
			_ = h.sendOrder(id, "")
			is.Equal(h.sendOrder(id, "").result, "unknown") // a repeat gets the same result
		})
	}
}

// TestResponseWithOtherRequestIDFails uses a target that echoes the id of another
// request.
func TestResponseWithOtherRequestIDFails(t *testing.T) {
	is := is.New(t)
	mismatched := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + HeaderRequestID + ": a.1.1.other\r\n\r\nabc"
	h := newTestHost(t, "a", newRawTarget(t, respondRaw(mismatched, true)))
	for _, path := range []string{"/orders", "/prices"} {
		is.Equal(h.send(t.Context(), http.MethodPost, path, "", "").result, "unknown")
	}
}

// TestDuplicateResponseIsNotUsedForNextRequest uses a target that sends each response
// twice. The second copy must not be taken for the response to the next request on
// the connection.
func TestDuplicateResponseIsNotUsedForNextRequest(t *testing.T) {
	var requests atomic.Int64
	target := newRawTarget(t, func(conn net.Conn, _ int, r *http.Request) bool {
		requests.Add(1)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.RawQuery), r.URL.RawQuery)
		_, _ = io.WriteString(conn, text+text)
		return true
	})
	h := newTestHost(t, "a", target)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for n := range 50 {
				want := fmt.Sprintf("%d-%d", worker, n)
				r := h.send(t.Context(), http.MethodGet, "/prices?"+want, "", "")
				if r.result == "completed" && r.body != want {
					t.Errorf("request %s received the response %q", want, r.body)
				}
			}
		})
	}
	group.Wait()
	if requests.Load() == 0 {
		t.Error("the target received no request")
	}
}

// TestLateResponseIsNotUsedForNextRequest uses a target that responds after the
// deadline. The connection must not be used again, because the next request would
// read that response.
func TestLateResponseIsNotUsedForNextRequest(t *testing.T) {
	is := is.New(t)
	target := newRawTarget(t, func(conn net.Conn, _ int, r *http.Request) bool {
		if r.URL.RawQuery == "slow" {
			time.Sleep(50 * time.Millisecond)
		}
		text := r.URL.RawQuery
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return true
	})
	h := newTestHost(t, "a", target)
	for n := range 20 {
		req, err := http.NewRequest(http.MethodGet, h.URL+"/prices?slow", nil)
		is.NoErr(err)
		req.Header.Set(HeaderAccountKey, testKey)
		req.Header.Set(HeaderDeadline, "20")
		is.True(roundTrip(req).result != "completed")
		want := fmt.Sprint("quick", n)
		r := h.send(t.Context(), http.MethodGet, "/prices?"+want, "", "")
		is.Equal(r.result, "completed")
		is.Equal(r.body, want)
	}
}
