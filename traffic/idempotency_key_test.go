package traffic

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/claim"
	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/storage/memory"
)

// sendWithKey sends a non-idempotent request with an idempotency key.
func (h *testHost) sendWithKey(key, body string) callerResponse {
	return h.sendWithKeyAndID(key, "", body)
}

// sendWithKeyAndID sends a non-idempotent request with an idempotency key and the given
// request id, if it is not empty.
func (h *testHost) sendWithKeyAndID(key, id, body string) callerResponse {
	req, err := http.NewRequest(http.MethodPost, h.URL+"/orders", strings.NewReader(body))
	if err != nil {
		return callerResponse{err: err}
	}
	req.Header.Set(HeaderAccountKey, testKey)
	req.Header.Set(HeaderIdempotencyKey, key)
	if id != "" {
		req.Header.Set(HeaderRequestID, id)
	}
	return roundTrip(req)
}

func TestKeyRunsOnceAcrossHosts(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	target := newCountingTarget(t, echo)
	a, b := newTestHostWithStore(t, store, "a", target.address()), newTestHostWithStore(t, store, "b", target.address())
	registerPeers(a, b)
	want := callerResponse{status: http.StatusCreated, result: "completed", body: "ran ten sheets"}
	is.Equal(a.sendWithKey("order 17", "ten sheets"), want)
	is.Equal(b.sendWithKey("order 17", "ten sheets"), want)
	is.Equal(b.sendWithKey("order 17", "ninety sheets").status, http.StatusUnprocessableEntity)
	a.Close()
	is.Equal(b.sendWithKey("order 17", "ten sheets"), want) // b finds the outcome in the table
	is.Equal(target.requestCount.Load(), int64(1))
}

// TestRepeatOfKeyInFlightIsForwardedToHomeHost sends a repeat with the same key to
// another host while the first request is in flight.
func TestRepeatOfKeyInFlightIsForwardedToHomeHost(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	received, release := make(chan struct{}), make(chan struct{})
	target := newCountingTarget(t, func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-release
		echo(w, r)
	})
	a, b := newTestHostWithStore(t, store, "a", target.address()), newTestHostWithStore(t, store, "b", target.address())
	isolated := newTestHostWithStore(t, store, "c", target.address())
	registerPeers(a, b)
	responses := make(chan callerResponse, 2)
	go func() { responses <- a.sendWithKey("order 17", "ten sheets") }()
	<-received
	is.Equal(isolated.sendWithKey("order 17", "ten sheets").result, "unknown") // this host does not know host a
	go func() { responses <- b.sendWithKey("order 17", "ten sheets") }()
	for a.requestCount.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	for range cap(responses) {
		is.Equal((<-responses).result, "completed")
	}
	is.Equal(target.requestCount.Load(), int64(1))
}

func TestKeyOfRequestNotRunCanBeReused(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	target := newCountingTarget(t, echo)
	a, b := newTestHostWithStore(t, store, "a", unusedAddress(t)), newTestHostWithStore(t, store, "b", target.address())
	registerPeers(a, b)
	is.Equal(a.sendWithKey("order 17", "ten sheets").result, "not-run")
	is.Equal(b.sendWithKey("order 17", "ten sheets").result, "completed")
	is.Equal(a.sendWithKey("order 17", "ten sheets").result, "completed")
	is.Equal(target.requestCount.Load(), int64(1))
}

func TestKeyOutageRules(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	target := newCountingTarget(t, echo)
	h := newTestHostWithStore(t, store, "a", target.address())
	store.Faults.SetDown(true)
	is.Equal(h.sendWithKey("order 17", "ten sheets").result, "not-run")
	h.snapshot.Load().Services["shop"].Contract.KeyOutage = contract.KeyOutageHome
	is.Equal(h.sendWithKey("order 17", "ten sheets").result, "not-run") // there is no request id to prevent a second run
	id := h.home.Prefix() + "x"
	for range 3 {
		is.Equal(h.sendWithKeyAndID("order 18", id, "ten sheets").result, "completed")
	}
	is.Equal(target.requestCount.Load(), int64(1))
}

func TestOutcomeIsFoundInTableAfterHostLoss(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	target := newCountingTarget(t, echo)
	a, b := newTestHostWithStore(t, store, "a", target.address()), newTestHostWithStore(t, store, "b", target.address())
	id := a.home.Prefix() + "x"
	is.Equal(a.sendOrder(id, "ten sheets").result, "completed")
	is.Equal(b.sendOrder(id, "ten sheets").result, "unknown")
	is.NoErr(a.claims.Log.Flush(context.Background()))
	a.Close()
	is.Equal(b.sendOrder(id, "ten sheets").result, "completed")
	is.Equal(target.requestCount.Load(), int64(1))
}

// TestResponseWaitsUntilOutcomeIsStored checks that the outcome is in the table before
// the response is sent. Otherwise a repeat would not find it if the host failed right
// after the response.
func TestResponseWaitsUntilOutcomeIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memory.New()
		h := newHostWithoutServer(t, store, "a")
		h.handler.cfg.Transport = roundTripperFunc(func(*http.Request) *http.Response { return httptest.NewRecorder().Result() })
		h.snapshot.Store(h.newSnapshot([]string{"10.0.0.1:80"}))
		store.Faults.SetDelay(50 * time.Millisecond)
		req := httptest.NewRequest(http.MethodPost, "/orders", nil)
		req.Header.Set(HeaderAccountKey, testKey)
		req.Header.Set(HeaderIdempotencyKey, "order 17")
		is.Equal(h.handle(req).Header.Get(HeaderResult), "unknown") // close-delimited
		is.Equal(h.claims.Writer.Pending(), 0)
		fingerprint := caller.NewFingerprint(http.MethodPost, "shop", "/orders", nil)
		key := claim.Key{Account: testAccount, Text: "order 17"}
		claimed, err := h.claims.Store.Claim(context.Background(), key, h.home.NewID(), fingerprint)
		is.NoErr(err)
		is.Equal(claimed.Decision, caller.KeyEnded)
	})
}

// roundTripperFunc is a transport that calls a function.
type roundTripperFunc func(*http.Request) *http.Response

func (f roundTripperFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r), nil }

// TestRepeatedKeyRunsExactlyOnce repeats a request with a key at alternating hosts until
// it is completed. It must run exactly once even if the table is not available for
// hours, loses writes, or loses the responses to writes that took effect.
func TestRepeatedKeyRunsExactlyOnce(t *testing.T) {
	for name, injectFault := range map[string]func(*memory.Platform){
		"store up":                 func(*memory.Platform) {},
		"store down for hours":     func(p *memory.Platform) { p.Faults.SetDown(true) },
		"responses to writes lost": func(p *memory.Platform) { p.Faults.LoseResponses(3) },
		"writes lost":              func(p *memory.Platform) { p.Faults.LoseWrites(3) },
		"down after a lost write":  func(p *memory.Platform) { p.Faults.LoseWrites(1); p.Faults.SetDown(true) },
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testRepeatedKey(t, injectFault) }) })
	}
}

const (
	outageDuration = 5 * time.Hour
	repeatInterval = 10 * time.Minute
)

func testRepeatedKey(t *testing.T, injectFault func(*memory.Platform)) {
	is := is.New(t)
	store := memory.New()
	runs := 0
	target := roundTripperFunc(func(r *http.Request) *http.Response {
		runs++
		time.Sleep(20 * time.Millisecond)
		rec := httptest.NewRecorder()
		echo(rec, r)
		resp := rec.Result()
		resp.ContentLength = int64(rec.Body.Len())
		return resp
	})
	var hosts []*testHost
	for _, id := range []string{"a", "b"} {
		h := newHostWithoutServer(t, store, id)
		h.handler.cfg.Transport = target
		h.snapshot.Store(h.newSnapshot([]string{"10.0.0.1:80"}))
		hosts = append(hosts, h)
	}
	registerPeers(hosts...)
	peers := roundTripperFunc(func(r *http.Request) *http.Response {
		for _, h := range hosts {
			if h.identity().Address == r.URL.Host {
				return h.handle(r)
			}
		}
		return nil
	})
	for _, h := range hosts {
		h.handler.cfg.Peers = peers
	}
	injectFault(store)
	startedAt := time.Now()
	for attempt := 0; ; attempt++ {
		if time.Since(startedAt) > outageDuration {
			store.Faults.Reset()
		}
		req := httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader("ten sheets"))
		req.Header.Set(HeaderAccountKey, testKey)
		req.Header.Set(HeaderIdempotencyKey, "order 17")
		resp := hosts[attempt%2].handle(req)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		if resp.Header.Get(HeaderResult) == "completed" {
			is.Equal(string(body), "ran ten sheets")
			break
		}
		is.Equal(resp.Header.Get(HeaderResult), "not-run")
		is.Equal(runs, 0)
		is.True(time.Since(startedAt) < 2*outageDuration)
		time.Sleep(repeatInterval)
	}
	is.Equal(runs, 1)
}

// handle calls the handler without a network.
func (h *testHost) handle(r *http.Request) *http.Response {
	rec := httptest.NewRecorder()
	h.handler.ServeHTTP(rec, r)
	return rec.Result()
}
