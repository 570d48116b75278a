package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
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
