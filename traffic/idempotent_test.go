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

// sendPrice sends an idempotent request.
func (h *testHost) sendPrice(body string) callerResponse {
	return h.send(context.Background(), http.MethodPut, "/prices", "", body)
}

// TestIdempotentRequestsAreRetriedAtAnotherTarget checks that a request is retried with
// its body after each kind of failure.
func TestIdempotentRequestsAreRetriedAtAnotherTarget(t *testing.T) {
	addresses := map[string]string{
		"server error":       newCountingTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }).address(),
		"connect failure":    unusedAddress(t),
		"truncated response": newRawTarget(t, respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", false)),
		"connection closed":  newRawTarget(t, func(net.Conn, int, *http.Request) bool { return false }),
	}
	for name, failing := range addresses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			working := newCountingTarget(t, echo)
			h := newTestHost(t, "a", failing, working.address())
			for range 10 {
				is.Equal(h.sendPrice("ten sheets"), callerResponse{status: http.StatusCreated, result: "completed", body: "ran ten sheets"})
			}
			is.Equal(working.requestCount.Load(), int64(10))
		})
	}
}

// TestRetryBudgetLimitsAttempts checks that retries do not multiply the load of a
// service whose targets all fail.
func TestRetryBudgetLimitsAttempts(t *testing.T) {
	is := is.New(t)
	const requests = 1000
	var attempts atomic.Int64
	fail := func(w http.ResponseWriter, _ *http.Request) {
		attempts.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}
	h := newTestHost(t, "a", newCountingTarget(t, fail).address(), newCountingTarget(t, fail).address(), newCountingTarget(t, fail).address())
	for range requests {
		is.Equal(h.sendPrice("").status, http.StatusInternalServerError)
	}
	is.True(attempts.Load() <= requests*11/10)
	is.True(attempts.Load() > requests)
}

// TestLargeBodiesAreNotRetried checks that a request is sent only once if its body is too
// large to be buffered.
func TestLargeBodiesAreNotRetried(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	fail := func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusInternalServerError)
	}
	h := newTestHost(t, "a", newCountingTarget(t, fail).address(), newCountingTarget(t, fail).address())
	h.snapshot.Load().Services["shop"].Contract.MaxBody = 2 * maxRetryBodyBytes
	is.Equal(h.sendPrice(strings.Repeat("x", maxRetryBodyBytes+1)).status, http.StatusInternalServerError)
	is.Equal(attempts.Load(), int64(1))
}

// TestConnectFailureAfterFailedAttemptMeansUnknown checks that the result is not
// "not run" if an earlier attempt may have run the request.
func TestConnectFailureAfterFailedAttemptMeansUnknown(t *testing.T) {
	is := is.New(t)
	closing := newRawTarget(t, func(net.Conn, int, *http.Request) bool { return false })
	h := newTestHost(t, "a", closing, unusedAddress(t))
	sawUnknown := false
	for range 10 {
		sawUnknown = sawUnknown || h.sendPrice("").result == "unknown"
	}
	is.True(sawUnknown)
	is.Equal(newTestHost(t, "b", unusedAddress(t)).sendPrice("").result, "not-run")
}

func TestCancellationIsForwardedToTarget(t *testing.T) {
	is := is.New(t)
	received, canceled := make(chan struct{}), make(chan struct{})
	target := newCountingTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		close(received)
		<-r.Context().Done()
		close(canceled)
	})
	h := newTestHost(t, "a", target.address())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-received; cancel() }()
	is.True(h.send(ctx, http.MethodGet, "/prices", "", "").err != nil)
	<-canceled
	is.Equal(target.requestCount.Load(), int64(1))
}

// TestCopiesOfIdempotentRequestsGetDistinctIDs checks that copies of an idempotent
// request with the same id get different ids: each copy may run or not, and the result
// of one says nothing about the others.
func TestCopiesOfIdempotentRequestsGetDistinctIDs(t *testing.T) {
	is := is.New(t)
	ids := make(chan string, 2)
	target := newCountingTarget(t, func(_ http.ResponseWriter, r *http.Request) { ids <- r.Header.Get(HeaderRequestID) })
	h := newTestHost(t, "a", target.address())
	id := h.home.Prefix() + "x"
	for range cap(ids) {
		is.Equal(h.send(t.Context(), http.MethodGet, "/prices", id, "").result, "completed")
	}
	first, second := <-ids, <-ids
	is.True(first != second)
}
