package traffic

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

func (h *testHost) price(body string) reply {
	return h.ask(context.Background(), http.MethodPut, "/prices", "", body)
}

// Each way to fail is retried at the other target, with the body.
func TestIdempotentRequestsAreRetriedElsewhere(t *testing.T) {
	failing := map[string]string{
		"error":   newTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }).address(),
		"connect": refusingAddress(t),
		"cut":     rawTarget(t, answers("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", false)),
		"close":   rawTarget(t, func(net.Conn, int, *http.Request) bool { return false }),
	}
	for name, bad := range failing {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			good := newTarget(t, echo)
			h := newTestHost(t, "a", bad, good.address())
			for range 10 {
				is.Equal(h.price("ten sheets"), reply{status: http.StatusCreated, result: "completed", body: "ran ten sheets"})
			}
			is.Equal(good.runs.Load(), int64(10))
		})
	}
}

// A whole service is down: retries must not multiply its load.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	is := is.New(t)
	const requests = 1000
	var attempts atomic.Int64
	fail := func(w http.ResponseWriter, _ *http.Request) {
		attempts.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}
	h := newTestHost(t, "a", newTarget(t, fail).address(), newTarget(t, fail).address(), newTarget(t, fail).address())
	for range requests {
		is.Equal(h.price("").status, http.StatusInternalServerError)
	}
	is.True(attempts.Load() <= requests*11/10)
	is.True(attempts.Load() > requests)
}

// A body that is too large to be held is sent once.
func TestLargeBodiesAreNotReplayed(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	bad := func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusInternalServerError)
	}
	h := newTestHost(t, "a", newTarget(t, bad).address(), newTarget(t, bad).address())
	h.snapshot.Load().Services["shop"].Contract.MaxBody = 2 * maxRetryBodyBytes
	is.Equal(h.price(strings.Repeat("x", maxRetryBodyBytes+1)).status, http.StatusInternalServerError)
	is.Equal(attempts.Load(), int64(1))
}

// "Not run" must not be said when an earlier attempt may have run.
func TestRetryThatCannotConnectIsUnknown(t *testing.T) {
	is := is.New(t)
	closing := rawTarget(t, func(net.Conn, int, *http.Request) bool { return false })
	h := newTestHost(t, "a", closing, refusingAddress(t))
	sawUnknown := false
	for range 10 {
		sawUnknown = sawUnknown || h.price("").result == "unknown"
	}
	is.True(sawUnknown)
	is.Equal(newTestHost(t, "b", refusingAddress(t)).price("").result, "not-run")
}

func TestCancellationReachesTheTarget(t *testing.T) {
	is := is.New(t)
	arrived, canceled := make(chan struct{}), make(chan struct{})
	tg := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(canceled)
	})
	h := newTestHost(t, "a", tg.address())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-arrived; cancel() }()
	is.True(h.ask(ctx, http.MethodGet, "/prices", "", "").err != nil)
	<-canceled
	is.Equal(tg.runs.Load(), int64(1))
}

// Copies of an idempotent request may each run or not, so that none may be told
// of by the id of another.
func TestCopiesOfIdempotentRequestsHaveIDsOfTheirOwn(t *testing.T) {
	is := is.New(t)
	ids := make(chan string, 2)
	tg := newTarget(t, func(_ http.ResponseWriter, r *http.Request) { ids <- r.Header.Get(HeaderRequestID) })
	h := newTestHost(t, "a", tg.address())
	id := h.home.Prefix() + "x"
	for range cap(ids) {
		is.Equal(h.ask(t.Context(), http.MethodGet, "/prices", id, "").result, "completed")
	}
	first, second := <-ids, <-ids
	is.True(first != second)
}
