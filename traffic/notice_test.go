package traffic

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/contract"
)

// newNoticeHost starts a host whose targets respond with the headers in which they say something
// about themselves.
func newNoticeHost(t *testing.T, targets ...*countingTarget) *testHost {
	t.Helper()
	var addresses []string
	for _, target := range targets {
		addresses = append(addresses, target.address())
	}
	h := newTestHost(t, "a", addresses...)
	c := h.snapshot.Load().Services["shop"].Contract
	c.Leaving.Header, c.RateLimit = "X-Draining", contract.RateLimit{Header: "X-Rate-Limit"}
	return h
}

// sendPricesUntil sends requests until the target has got one.
func (h *testHost) sendPricesUntil(t *testing.T, target *countingTarget) {
	t.Helper()
	for range 500 {
		if target.requestCount.Load() > 0 {
			return
		}
		h.sendPrice("")
	}
	t.Fatal("the target got no request")
}

func TestTargetThatSaysItLeavesGetsNoRequestBeforeItsResponseEnds(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}, 1), make(chan struct{})
	leaving := newCountingTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Draining", "1")
		_, _ = w.Write(bytes.Repeat([]byte("x"), 2*maxBufferedBytes))
		w.(http.Flusher).Flush()
		begun <- struct{}{}
		<-release
	})
	h := newNoticeHost(t, leaving)
	done := make(chan struct{})
	go func() { defer close(done); h.sendOrder("", "one") }()
	defer func() { close(release); <-done }()
	<-begun
	time.Sleep(50 * time.Millisecond) // until the host has read the head
	got := h.sendOrder("", "two")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.result, "not-run")
	is.Equal(leaving.requestCount.Load(), int64(1))
}

func TestRetryAfterOfATargetHolds(t *testing.T) {
	is := is.New(t)
	paused := newCountingTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	failing := newCountingTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	h := newNoticeHost(t, paused, failing)
	h.sendPricesUntil(t, paused)
	for range 100 {
		h.sendPrice("")
	}
	is.Equal(paused.requestCount.Load(), int64(1))
}

func TestRequestIsRefusedAtOnceWhenEveryTargetHasAskedForAPause(t *testing.T) {
	is := is.New(t)
	paused := newCountingTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	h := newNoticeHost(t, paused)
	h.sendOrder("", "one")
	h.snapshot.Load().Services["shop"].Contract.Queue.Wait = time.Minute
	began := time.Now()
	got := h.sendOrder("", "two")
	is.True(time.Since(began) < time.Second)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.result, "not-run")
	is.Equal(paused.requestCount.Load(), int64(1))
}

func TestRateLimitOfATargetHolds(t *testing.T) {
	is := is.New(t)
	limited := newCountingTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Rate-Limit", "4")
		echo(w, r)
	})
	h := newNoticeHost(t, limited)
	for began := time.Now(); time.Since(began) < 1500*time.Millisecond; time.Sleep(time.Millisecond) {
		h.sendPrice("")
	}
	got := limited.requestCount.Load()
	is.True(got >= 5 && got <= 9)
}
