package traffic

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/host"
)

// The transport of net/http repeats some requests on its own when a reused
// connection closes. The target reads the second request of a connection and
// closes it without an answer.
func TestTransportNeverRepeatsNonIdempotentRequests(t *testing.T) {
	for _, test := range []struct{ name, method, body, key string }{
		{"get", http.MethodGet, "", ""},
		{"post without body", http.MethodPost, "", ""},
		{"post with idempotency key", http.MethodPost, "", "k"},
		{"post with body and key", http.MethodPost, "ten sheets", "k"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			address := rawTarget(t, func(conn net.Conn, n int, _ *http.Request) bool {
				runs.Add(1)
				if n > 1 {
					return false
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok")
				return true
			})
			h := newTestHost(t, "a", address)
			is.Equal(h.order("", "first").result, "completed")
			req, err := http.NewRequest(test.method, h.URL+"/orders", strings.NewReader(test.body))
			is.NoErr(err)
			req.Header.Set(HeaderKey, testKey)
			if test.key != "" {
				req.Header.Set("X-Idempotency-Key", test.key)
			}
			is.Equal(roundTrip(req).result, "unknown")
			is.Equal(runs.Load(), int64(2))
		})
	}
}

func TestRepeatsGetTheOutcomeOfTheFirst(t *testing.T) {
	is := is.New(t)
	tg := newTarget(t, echo)
	a, b := newTestHost(t, "a", tg.address()), newTestHost(t, "b", tg.address())
	meet(a, b)
	id := a.home.Prefix() + "order1"
	want := reply{status: http.StatusCreated, result: "completed", body: "ran ten sheets"}
	for _, h := range []*testHost{b, a, b, a} {
		is.Equal(h.order(id, "ten sheets"), want)
	}
	is.Equal(tg.runs.Load(), int64(1))
	for _, h := range []*testHost{a, b} {
		other := h.order(id, "ninety sheets")
		is.Equal(other.status, http.StatusUnprocessableEntity)
		is.Equal(other.result, "not-run")
	}
	is.Equal(tg.runs.Load(), int64(1))
}

func TestRepeatOfARequestInFlightWaits(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	tg := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
		echo(w, r)
	})
	a, b := newTestHost(t, "a", tg.address()), newTestHost(t, "b")
	meet(a, b)
	id := a.home.Prefix() + "order1"
	replies := make(chan reply, 3)
	go func() { replies <- a.order(id, "ten sheets") }()
	<-arrived
	go func() { replies <- a.order(id, "ten sheets") }()
	go func() { replies <- b.order(id, "ten sheets") }()
	hurried, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(a.ask(hurried, http.MethodPost, "/orders", id, "ten sheets").err != nil)
	close(release)
	for range cap(replies) {
		is.Equal((<-replies).result, "completed")
	}
	is.Equal(tg.runs.Load(), int64(1))
}

// The home host is gone, restarted, or cut off: the request may have run.
func TestHomeHostGoneMeansUnknown(t *testing.T) {
	is := is.New(t)
	tg := newTarget(t, echo)
	a, b := newTestHost(t, "a", tg.address()), newTestHost(t, "b", tg.address())
	meet(a, b)
	former := caller.NewHome("a", a.home.Incarnation-1).Prefix()
	for _, h := range []*testHost{a, b} {
		is.Equal(h.order(former+"x", "ten sheets").result, "unknown")
	}
	id := a.home.Prefix() + "order1"
	a.Close()
	is.Equal(b.order(id, "ten sheets").result, "unknown")
	is.Equal(b.order("stranger.1.1.x", "ten sheets").result, "unknown")
	is.Equal(tg.runs.Load(), int64(0))
}

// Two hosts that take each other for the home of an id must not pass it on
// for ever, and nobody but a host may claim to have forwarded a request.
func TestForwardingEndsAfterOneHop(t *testing.T) {
	is := is.New(t)
	tg := newTarget(t, echo)
	a, b := newTestHost(t, "a", tg.address()), newTestHost(t, "b", tg.address())
	meet(a, b)
	swapped := b.identity()
	swapped.ID = "c"
	a.snapshot.Load().Peers["c"] = swapped
	swapped = a.identity()
	swapped.ID = "c"
	b.snapshot.Load().Peers["c"] = swapped
	is.Equal(a.order(caller.NewHome("c", 7).Prefix()+"x", "ten sheets").result, "unknown")
	is.Equal(a.served.Load(), int64(1))
	is.Equal(b.served.Load(), int64(1))
	req, err := http.NewRequest(http.MethodPost, a.URL+"/orders", nil)
	is.NoErr(err)
	req.Header.Set(HeaderKey, testKey)
	req.Header.Set(headerForwardedBy, "b")
	is.Equal(roundTrip(req).status, http.StatusUnauthorized)
	is.Equal(tg.runs.Load(), int64(0))
}

func TestNotRunIsSaidOnlyWhenCertain(t *testing.T) {
	is := is.New(t)
	refusing := newTestHost(t, "a", refusingAddress(t))
	id := refusing.home.Prefix() + "order1"
	is.Equal(refusing.order(id, "ten sheets").result, "not-run")
	tg := newTarget(t, echo)
	refusing.snapshot.Store(refusing.newSnapshot([]string{tg.address()}))
	is.Equal(refusing.order(id, "ten sheets").result, "not-run") // a late copy
	is.Equal(tg.runs.Load(), int64(0))

	closing := rawTarget(t, func(net.Conn, int, *http.Request) bool { return false })
	is.Equal(newTestHost(t, "b", closing).order("", "ten sheets").result, "unknown")
	shedding := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	is.Equal(newTestHost(t, "c", shedding.address()).order("", "ten sheets").result, "completed")
}

// A connect that fails is tried at another target: nothing was sent.
func TestOrderMovesOnAfterAFailedConnect(t *testing.T) {
	is := is.New(t)
	tg := newTarget(t, echo)
	h := newTestHost(t, "a", refusingAddress(t), tg.address())
	for range 8 {
		is.Equal(h.order("", "ten sheets").result, "completed")
	}
	is.Equal(tg.runs.Load(), int64(8))
}

func TestOutcomeIsRecordedWhenTheCallerLeaves(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	tg := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
		echo(w, r)
	})
	h := newTestHost(t, "a", tg.address())
	id := h.home.Prefix() + "order1"
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan reply)
	go func() { left <- h.ask(ctx, http.MethodPost, "/orders", id, "ten sheets") }()
	<-arrived
	leave()
	is.True((<-left).err != nil)
	close(release)
	is.Equal(h.order(id, "ten sheets"), reply{status: http.StatusCreated, result: "completed", body: "ran ten sheets"})
	is.Equal(tg.runs.Load(), int64(1))
}

// A host that was paused until after the deadline must not start a dispatch.
func TestNoDispatchAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	tg := newTarget(t, echo)
	h := newTestHost(t, "a", tg.address())
	req, err := http.NewRequest(http.MethodPost, h.URL+"/orders", strings.NewReader("x"))
	is.NoErr(err)
	req.Header.Set(HeaderKey, testKey)
	req.Header.Set(HeaderDeadline, "0")
	late := roundTrip(req)
	is.Equal(late.status, http.StatusGatewayTimeout)
	is.Equal(late.result, "not-run")
	is.Equal(tg.runs.Load(), int64(0))
}

func TestDeadlineShrinksAtEachHop(t *testing.T) {
	is := is.New(t)
	left := make(chan string, 1)
	tg := newTarget(t, func(_ http.ResponseWriter, r *http.Request) { left <- r.Header.Get(HeaderDeadline) })
	a, b := newTestHost(t, "a", tg.address()), newTestHost(t, "b")
	meet(a, b)
	req, err := http.NewRequest(http.MethodPost, b.URL+"/orders", nil)
	is.NoErr(err)
	req.Header.Set(HeaderKey, testKey)
	req.Header.Set(HeaderRequestID, a.home.Prefix()+"x")
	req.Header.Set(HeaderDeadline, "1000")
	is.Equal(roundTrip(req).result, "completed")
	header := http.Header{HeaderDeadline: []string{<-left}}
	ms, ok := timeLeft(header, HeaderDeadline)
	is.True(ok)
	is.True(ms <= time.Second-2*hopMargin)
}

// An id that no host has minted yet may become valid, so that its refusal is
// not final.
func TestForgedIDIsNotSaidNotToRun(t *testing.T) {
	is := is.New(t)
	tg := newTarget(t, echo)
	h := newTestHost(t, "a", tg.address())
	forged := h.home.Mint()
	forged.Expires += time.Hour
	is.Equal(h.order(forged.String(), "ten sheets").result, "unknown")
	is.Equal(tg.runs.Load(), int64(0))
}

// Something else answers at the address of the home host.
func TestStrangerInPlaceOfTheHomeHost(t *testing.T) {
	is := is.New(t)
	stranger := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4")
		_, _ = io.WriteString(w, "boo!")
	})
	h := newTestHost(t, "a")
	home := caller.NewHome("c", 7)
	h.snapshot.Load().Peers["c"] = host.Identity{ID: "c", Incarnation: 7, Address: stranger.address()}
	r := h.order(home.Prefix()+"x", "ten sheets")
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(r.result, "unknown")
	is.Equal(r.body, "the home host gave no result\n")
}
