package traffic

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/target"
)

// sendUntil sends retryable requests until the target has got one.
func (g *testGateway) sendUntil(f *fakeTarget) {
	g.t.Helper()
	for range 500 {
		if f.requestCount.Load() > 0 {
			return
		}
		g.send(http.MethodGet, "/read/x", "")
	}
	g.t.Fatal("the target got no request")
}

func TestGatewaySendsNothingToATargetThatSaysItLeaves(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	leaving := g.addTarget("a", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Leaving", "1") })
	g.addTarget("b", nil)
	g.start().sendUntil(leaving)
	for range 100 {
		is.Equal(g.send(http.MethodPost, "/write/x", "").status, http.StatusOK)
	}
	is.Equal(leaving.requestCount.Load(), int64(1))
}

// TestGatewayHearsOfLeavingBeforeTheBodyEnds holds the rest of the response back.
func TestGatewayHearsOfLeavingBeforeTheBodyEnds(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	begun, release := make(chan struct{}, 1), make(chan struct{})
	leaving := g.addTarget("a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Leaving", "1")
		_, _ = w.Write(make([]byte, maxBufferedBytes))
		w.(http.Flusher).Flush()
		begun <- struct{}{}
		<-release
	})
	g.start()
	done := make(chan struct{})
	go func() { defer close(done); g.send(http.MethodPost, "/write/x", "") }()
	defer func() { close(release); <-done }()
	<-begun
	time.Sleep(50 * time.Millisecond) // until the gateway has read the head
	got := g.send(http.MethodPost, "/write/y", "")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(leaving.requestCount.Load(), int64(1))
}

func TestGatewayKeepsToTheRetryAfterOfATarget(t *testing.T) {
	is := is.New(t)
	for _, refusal := range []string{"0.6", time.Now().Add(5 * time.Second).UTC().Format(http.TimeFormat)} {
		g := newTestGateway(t)
		g.budget.MinRetries = 1000
		paused := g.addTarget("a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.Header().Set("Retry-After", refusal)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		g.addTarget("b", nil)
		g.start().sendUntil(paused)
		for began := time.Now(); time.Since(began) < 500*time.Millisecond; {
			is.Equal(g.send(http.MethodGet, "/read/x", "").status, http.StatusOK)
		}
		is.Equal(paused.requestCount.Load(), int64(1))
	}
}

func TestGatewayRefusesAtOnceWhenEveryTargetHasAskedForAPause(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	paused := g.addTarget("a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	g.start()
	is.Equal(g.send(http.MethodPost, "/write/x", "").status, http.StatusServiceUnavailable)
	began := time.Now()
	got := g.send(http.MethodPost, "/write/y", "")
	is.True(time.Since(began) < time.Second)
	is.Equal(got.status, http.StatusServiceUnavailable)
	retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(retryAfter > 2) // no target accepts the request sooner
	is.Equal(paused.requestCount.Load(), int64(1))
}

func TestGatewayKeepsToTheRateLimitOfATarget(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	var limit atomic.Value
	limit.Store("4")
	limited := g.addTarget("a", func(w http.ResponseWriter, _ *http.Request) {
		if l := limit.Load().(string); l != "" {
			w.Header().Set("X-Rate-Limit", l)
		}
	})
	g.start()
	accepted := func(length time.Duration) int64 {
		before := limited.requestCount.Load()
		for began := time.Now(); time.Since(began) < length; time.Sleep(time.Millisecond) {
			g.send(http.MethodPost, "/write/x", "")
		}
		return limited.requestCount.Load() - before
	}
	got := accepted(1500 * time.Millisecond)
	is.True(got >= 5 && got <= 9)
	limit.Store("")
	accepted(500 * time.Millisecond) // until a response has said nothing of a limit
	is.True(accepted(500*time.Millisecond) > 50)
}

func TestUnreadableNoticesAreLogged(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	g.addTarget("a", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Rate-Limit", "many") })
	g.start()
	is.Equal(g.send(http.MethodPost, "/write/x", "").status, http.StatusOK)
	is.Equal(g.send(http.MethodPost, "/write/y", "").status, http.StatusOK) // no limit is in force
	g.mu.Lock()
	defer g.mu.Unlock()
	is.Equal(g.decisions[0].Event, NoticeUnreadable)
}

func TestNoticesAreRead(t *testing.T) {
	is := is.New(t)
	names := noticeHeaders{leaving: "X-Leaving", rateLimit: "X-Rate-Limit"}
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		status                     int
		leaving, limit, retryAfter string
		want                       target.Notice
		fails                      bool
	}{
		{status: 200, want: target.Notice{}},
		{status: 200, leaving: "1", limit: "2.5", want: target.Notice{Leaving: true, Limit: 2.5}},
		{status: 500, leaving: "0", limit: "0", want: target.Notice{Limit: target.MinRateLimit}},
		{status: 200, limit: "-1", want: target.Notice{LimitUnreadable: true}, fails: true},
		{status: 200, limit: "NaN", want: target.Notice{LimitUnreadable: true}, fails: true},
		{status: 200, retryAfter: "5", want: target.Notice{}},
		{status: 503, retryAfter: "1.5", want: target.Notice{RetryAfter: 1500 * time.Millisecond}},
		{status: 429, retryAfter: "2", want: target.Notice{RetryAfter: 2 * time.Second}},
		{status: 503, retryAfter: "Tue, 01 Jan 2030 00:00:07 GMT", want: target.Notice{RetryAfter: 7 * time.Second}},
		{status: 503, retryAfter: "1e300", want: target.Notice{RetryAfter: maxRetryAfter}},
		{status: 503, retryAfter: "soon", limit: "3", want: target.Notice{Limit: 3}, fails: true},
	} {
		resp := &http.Response{StatusCode: test.status, Header: http.Header{}}
		for name, value := range map[string]string{"X-Leaving": test.leaving, "X-Rate-Limit": test.limit, "Retry-After": test.retryAfter} {
			if value != "" {
				resp.Header.Set(name, value)
			}
		}
		got, err := names.read(resp, now)
		is.Equal(got, test.want)
		is.Equal(err != nil, test.fails)
	}
}
