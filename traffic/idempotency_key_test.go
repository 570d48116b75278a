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

// keyed sends a non-idempotent request with a key.
func (h *testHost) keyed(key, body string) reply {
	return h.keyedID(key, "", body)
}

func (h *testHost) keyedID(key, id, body string) reply {
	req, err := http.NewRequest(http.MethodPost, h.URL+"/orders", strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set(HeaderKey, testKey)
	req.Header.Set(HeaderIdempotencyKey, key)
	if id != "" {
		req.Header.Set(HeaderRequestID, id)
	}
	return roundTrip(req)
}

func TestKeyRunsOnceOverHosts(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	tg := newTarget(t, echo)
	a, b := newTestHostOn(t, store, "a", tg.address()), newTestHostOn(t, store, "b", tg.address())
	meet(a, b)
	want := reply{status: http.StatusCreated, result: "completed", body: "ran ten sheets"}
	is.Equal(a.keyed("order 17", "ten sheets"), want)
	is.Equal(b.keyed("order 17", "ten sheets"), want)
	is.Equal(b.keyed("order 17", "ninety sheets").status, http.StatusUnprocessableEntity)
	a.Close()
	is.Equal(b.keyed("order 17", "ten sheets"), want) // the outcome is durable
	is.Equal(tg.runs.Load(), int64(1))
}

// A repeat with the key reaches another host while the request is in flight.
func TestKeyInFlightIsAskedOfItsHolder(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	arrived, release := make(chan struct{}), make(chan struct{})
	tg := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
		echo(w, r)
	})
	a, b := newTestHostOn(t, store, "a", tg.address()), newTestHostOn(t, store, "b", tg.address())
	stranger := newTestHostOn(t, store, "c", tg.address())
	meet(a, b)
	replies := make(chan reply, 2)
	go func() { replies <- a.keyed("order 17", "ten sheets") }()
	<-arrived
	is.Equal(stranger.keyed("order 17", "ten sheets").result, "unknown") // cannot reach a
	go func() { replies <- b.keyed("order 17", "ten sheets") }()
	for a.served.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	for range cap(replies) {
		is.Equal((<-replies).result, "completed")
	}
	is.Equal(tg.runs.Load(), int64(1))
}

func TestKeyThatWasNotRunIsFreeAgain(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	tg := newTarget(t, echo)
	a, b := newTestHostOn(t, store, "a", refusingAddress(t)), newTestHostOn(t, store, "b", tg.address())
	meet(a, b)
	is.Equal(a.keyed("order 17", "ten sheets").result, "not-run")
	is.Equal(b.keyed("order 17", "ten sheets").result, "completed")
	is.Equal(a.keyed("order 17", "ten sheets").result, "completed")
	is.Equal(tg.runs.Load(), int64(1))
}

func TestKeyOutageRules(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	tg := newTarget(t, echo)
	h := newTestHostOn(t, store, "a", tg.address())
	store.Faults.Down(true)
	is.Equal(h.keyed("order 17", "ten sheets").result, "not-run")
	h.snapshot.Load().Services["shop"].Contract.KeyOutage = contract.KeyOutageHome
	is.Equal(h.keyed("order 17", "ten sheets").result, "not-run") // no id guards it
	id := h.home.Prefix() + "x"
	for range 3 {
		is.Equal(h.keyedID("order 18", id, "ten sheets").result, "completed")
	}
	is.Equal(tg.runs.Load(), int64(1))
}

func TestOutcomeOutlivesItsHost(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	tg := newTarget(t, echo)
	a, b := newTestHostOn(t, store, "a", tg.address()), newTestHostOn(t, store, "b", tg.address())
	id := a.home.Prefix() + "x"
	is.Equal(a.order(id, "ten sheets").result, "completed")
	is.Equal(b.order(id, "ten sheets").result, "unknown")
	is.NoErr(a.claims.Log.Flush(context.Background()))
	a.Close()
	is.Equal(b.order(id, "ten sheets").result, "completed")
	is.Equal(tg.runs.Load(), int64(1))
}

// The answer waits until the table holds the outcome, so that a repeat finds it
// when the host vanishes after the answer.
func TestAnswerWaitsForItsDurableOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memory.New()
		h := newHostCore(t, store, "a")
		h.handler.cfg.Transport = runnerFunc(func(*http.Request) *http.Response { return httptest.NewRecorder().Result() })
		h.snapshot.Store(h.newSnapshot([]string{"10.0.0.1:80"}))
		store.Faults.Slow(50 * time.Millisecond)
		req := httptest.NewRequest(http.MethodPost, "/orders", nil)
		req.Header.Set(HeaderKey, testKey)
		req.Header.Set(HeaderIdempotencyKey, "order 17")
		is.Equal(h.serve(req).Header.Get(HeaderResult), "unknown") // no length: not known to be whole
		is.Equal(h.claims.Writer.Len(), 0)
		print := caller.NewFingerprint(http.MethodPost, "shop", "/orders", nil)
		key := claim.Key{Account: testAccount, Text: "order 17"}
		taken, err := h.claims.Store.Take(context.Background(), key, h.home.Mint(), print)
		is.NoErr(err)
		is.Equal(taken.Verdict, caller.KeyEnded)
	})
}

// runnerFunc runs requests in place of a network.
type runnerFunc func(*http.Request) *http.Response

func (f runnerFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r), nil }

// An unhurried reorder lands exactly once, although the table is down for
// hours, loses writes, and loses the answers to writes that took effect, and
// although the caller turns to another host each time.
func TestReorderLandsExactlyOnce(t *testing.T) {
	for name, strike := range map[string]func(*memory.Platform){
		"store up":                func(*memory.Platform) {},
		"store down for hours":    func(p *memory.Platform) { p.Faults.Down(true) },
		"answers to writes lost":  func(p *memory.Platform) { p.Faults.LoseAnswers(3) },
		"writes lost":             func(p *memory.Platform) { p.Faults.LoseWrites(3) },
		"down after a lost write": func(p *memory.Platform) { p.Faults.LoseWrites(1); p.Faults.Down(true) },
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { reorder(t, strike) }) })
	}
}

const (
	outage      = 5 * time.Hour
	repeatEvery = 10 * time.Minute
)

func reorder(t *testing.T, strike func(*memory.Platform)) {
	is := is.New(t)
	store := memory.New()
	runs := 0
	target := runnerFunc(func(r *http.Request) *http.Response {
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
		h := newHostCore(t, store, id)
		h.handler.cfg.Transport = target
		h.snapshot.Store(h.newSnapshot([]string{"10.0.0.1:80"}))
		hosts = append(hosts, h)
	}
	meet(hosts...)
	peers := runnerFunc(func(r *http.Request) *http.Response {
		for _, h := range hosts {
			if h.identity().Address == r.URL.Host {
				return h.serve(r)
			}
		}
		return nil
	})
	for _, h := range hosts {
		h.handler.cfg.Peers = peers
	}
	strike(store)
	began := time.Now()
	for try := 0; ; try++ {
		if time.Since(began) > outage {
			store.Faults.Reset()
		}
		req := httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader("ten sheets"))
		req.Header.Set(HeaderKey, testKey)
		req.Header.Set(HeaderIdempotencyKey, "standing order, week 49")
		resp := hosts[try%2].serve(req)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		if resp.Header.Get(HeaderResult) == "completed" {
			is.Equal(string(body), "ran ten sheets")
			break
		}
		is.Equal(resp.Header.Get(HeaderResult), "not-run")
		is.Equal(runs, 0)
		is.True(time.Since(began) < 2*outage)
		time.Sleep(repeatEvery)
	}
	is.Equal(runs, 1)
}

// serve runs a request without a network.
func (h *testHost) serve(r *http.Request) *http.Response {
	rec := httptest.NewRecorder()
	h.handler.ServeHTTP(rec, r)
	return rec.Result()
}
