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

// answers writes raw answers on a connection.
func answers(text string, keep bool) func(net.Conn, int, *http.Request) bool {
	return func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = io.WriteString(conn, text)
		return keep
	}
}

// Answers that are cut short or have no known end are never passed on as a
// success, whatever the route.
func TestCutAnswersAreNoSuccess(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBytes+1)
	for name, text := range map[string]string{
		"short body":          "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"cut chunk":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
		"no length":           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcde",
		"no length, HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\nabcde",
		"cut head":            "HTTP/1.1 200 OK\r\nContent-Le",
		"long, short body":    fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long)+1, long),
		"long, cut chunk":     fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n5\r\nab", len(long), long),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newTestHost(t, "a", rawTarget(t, answers(text, false)))
			for _, path := range []string{"/orders", "/prices"} {
				r := h.ask(t.Context(), http.MethodPost, path, "", "")
				is.True(r.err != nil || r.result == "unknown")
				is.True(r.err != nil || r.status >= http.StatusInternalServerError)
			}
			id := h.home.Prefix() + "x"
			_ = h.order(id, "")
			is.Equal(h.order(id, "").result, "unknown") // so it is for repeats
		})
	}
}

// The target answers with the id of another request.
func TestCrossedAnswersAreNoSuccess(t *testing.T) {
	is := is.New(t)
	crossed := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + HeaderRequestID + ": a.1.1.other\r\n\r\nabc"
	h := newTestHost(t, "a", rawTarget(t, answers(crossed, true)))
	for _, path := range []string{"/orders", "/prices"} {
		is.Equal(h.ask(t.Context(), http.MethodPost, path, "", "").result, "unknown")
	}
}

// The target sends each answer twice. The second copy must not be taken for
// the answer to the next request on the connection.
func TestDoubledAnswersStayWithTheirRequest(t *testing.T) {
	var runs atomic.Int64
	doubling := rawTarget(t, func(conn net.Conn, _ int, r *http.Request) bool {
		runs.Add(1)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.RawQuery), r.URL.RawQuery)
		_, _ = io.WriteString(conn, text+text)
		return true
	})
	h := newTestHost(t, "a", doubling)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for n := range 50 {
				want := fmt.Sprintf("%d-%d", worker, n)
				r := h.ask(t.Context(), http.MethodGet, "/prices?"+want, "", "")
				if r.result == "completed" && r.body != want {
					t.Errorf("request %s received the answer %q", want, r.body)
				}
			}
		})
	}
	group.Wait()
	if runs.Load() == 0 {
		t.Error("the target ran nothing")
	}
}

// A target that answers after the deadline: its connection is not used again.
func TestLateAnswersReachNobody(t *testing.T) {
	is := is.New(t)
	late := rawTarget(t, func(conn net.Conn, _ int, r *http.Request) bool {
		if r.URL.RawQuery == "slow" {
			time.Sleep(50 * time.Millisecond)
		}
		text := r.URL.RawQuery
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return true
	})
	h := newTestHost(t, "a", late)
	for n := range 20 {
		req, err := http.NewRequest(http.MethodGet, h.URL+"/prices?slow", nil)
		is.NoErr(err)
		req.Header.Set(HeaderKey, testKey)
		req.Header.Set(HeaderDeadline, "20")
		is.True(roundTrip(req).result != "completed")
		want := fmt.Sprint("quick", n)
		r := h.ask(t.Context(), http.MethodGet, "/prices?"+want, "", "")
		is.Equal(r.result, "completed")
		is.Equal(r.body, want)
	}
}
