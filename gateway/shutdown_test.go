package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestThatComesLateInAPlannedStopIsNotCut sends requests whose target takes longer than the
// rest of the grace period.
func TestRequestThatComesLateInAPlannedStopIsNotCut(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	addTarget(t, store, "slow", testGracePeriod)
	p := startProcess(t, store, "h1", func(s *Settings) { s.DirectoryTTL = 50 * time.Millisecond })
	eventually(t, "the process is ready", p.ready)
	p.cancel()
	time.Sleep(200 * time.Millisecond) // callers have other addresses by then
	for range 3 {
		resp, err := p.postOrder(&http.Client{Transport: &http.Transport{}})
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // not run: the caller may send it elsewhere
	}
	is.NoErr(<-p.done)
}

func TestStoppingHostAcceptsWhatItCanFinish(t *testing.T) {
	is := is.New(t)
	const grace, ttl = 10 * time.Second, time.Second
	began := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	plan := newShutdownPlan(began, grace, ttl)
	for _, test := range []struct {
		after, limit time.Duration
		accepted     bool
	}{
		{0, 8 * time.Second, true},                       // callers still use the address
		{2900 * time.Millisecond, 8 * time.Second, true}, // some keep it for three times the TTL
		{3 * time.Second, 8 * time.Second, false},        // it may be cut off
		{3 * time.Second, 5 * time.Second, true},
		{7900 * time.Millisecond, time.Second, true},
		{8 * time.Second, time.Millisecond, false}, // the listeners close
	} {
		at := began.Add(test.after)
		is.Equal(plan.accepts(at, at.Add(test.limit)), test.accepted)
	}
	short := newShutdownPlan(began, time.Second, ttl)
	is.True(!short.accepts(began.Add(500*time.Millisecond), began.Add(2*time.Second))) // half of a short grace period at most
}
