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

// TestTransportNeverResendsNonIdempotentRequests uses a target that closes a connection
// without a response when it has received the second request on that connection.
// net/http resends some requests on its own when a reused connection is closed.
func TestTransportNeverResendsNonIdempotentRequests(t *testing.T) {
	for _, test := range []struct{ name, method, body, key string }{
		{"get", http.MethodGet, "", ""},
		{"post without body", http.MethodPost, "", ""},
		{"post with idempotency key", http.MethodPost, "", "k"},
		{"post with body and key", http.MethodPost, "ten sheets", "k"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int64
			address := newRawTarget(t, func(conn net.Conn, n int, _ *http.Request) bool {
				requests.Add(1)
				if n > 1 {
					return false
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok")
				return true
			})
			h := newTestHost(t, "a", address)
			is.Equal(h.sendOrder("", "first").result, "completed")
			req, err := http.NewRequest(test.method, h.URL+"/orders", strings.NewReader(test.body))
			is.NoErr(err)
			req.Header.Set(HeaderAccountKey, testKey)
			if test.key != "" {
				req.Header.Set("X-Idempotency-Key", test.key)
			}
			is.Equal(roundTrip(req).result, "unknown")
			is.Equal(requests.Load(), int64(2))
		})
	}
}

func TestRepeatsGetFirstOutcome(t *testing.T) {
	is := is.New(t)
	target := newCountingTarget(t, echo)
	a, b := newTestHost(t, "a", target.address()), newTestHost(t, "b", target.address())
	registerPeers(a, b)
	id := a.home.Prefix() + "order1"
	want := callerResponse{status: http.StatusCreated, result: "completed", body: "ran ten sheets"}
	for _, h := range []*testHost{b, a, b, a} {
		is.Equal(h.sendOrder(id, "ten sheets"), want)
	}
	is.Equal(target.requestCount.Load(), int64(1))
	for _, h := range []*testHost{a, b} {
		mismatch := h.sendOrder(id, "ninety sheets")
		is.Equal(mismatch.status, http.StatusUnprocessableEntity)
		is.Equal(mismatch.result, "not-run")
	}
	is.Equal(target.requestCount.Load(), int64(1))
}

func TestRepeatWaitsForRequestInFlight(t *testing.T) {
	is := is.New(t)
	received, release := make(chan struct{}), make(chan struct{})
	target := newCountingTarget(t, func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-release
		echo(w, r)
	})
	a, b := newTestHost(t, "a", target.address()), newTestHost(t, "b")
	registerPeers(a, b)
	id := a.home.Prefix() + "order1"
	responses := make(chan callerResponse, 3)
	go func() { responses <- a.sendOrder(id, "ten sheets") }()
	<-received
	go func() { responses <- a.sendOrder(id, "ten sheets") }()
	go func() { responses <- b.sendOrder(id, "ten sheets") }()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(a.send(canceled, http.MethodPost, "/orders", id, "ten sheets").err != nil)
	close(release)
	for range cap(responses) {
		is.Equal((<-responses).result, "completed")
	}
	is.Equal(target.requestCount.Load(), int64(1))
}

// TestUnreachableHomeHostMeansUnknown covers home hosts that have restarted, have shut
// down or are not known. The request may have run there.
func TestUnreachableHomeHostMeansUnknown(t *testing.T) {
	is := is.New(t)
	target := newCountingTarget(t, echo)
	a, b := newTestHost(t, "a", target.address()), newTestHost(t, "b", target.address())
	registerPeers(a, b)
	formerPrefix := caller.NewHomeHost("a", a.home.Incarnation-1).Prefix()
	for _, h := range []*testHost{a, b} {
		is.Equal(h.sendOrder(formerPrefix+"x", "ten sheets").result, "unknown")
	}
	id := a.home.Prefix() + "order1"
	a.Close()
	is.Equal(b.sendOrder(id, "ten sheets").result, "unknown")
	is.Equal(b.sendOrder("unknown.1.1.x", "ten sheets").result, "unknown")
	is.Equal(target.requestCount.Load(), int64(0))
}

// TestForwardedRequestIsNotForwardedAgain uses two hosts that each believe that the other
// one is the home host of an id: they must not forward the request forever. It also
// checks that only a host can mark a request as forwarded.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	is := is.New(t)
	target := newCountingTarget(t, echo)
	a, b := newTestHost(t, "a", target.address()), newTestHost(t, "b", target.address())
	registerPeers(a, b)
	identity := b.identity()
	identity.ID = "c"
	a.snapshot.Load().Peers["c"] = identity
	identity = a.identity()
	identity.ID = "c"
	b.snapshot.Load().Peers["c"] = identity
	is.Equal(a.sendOrder(caller.NewHomeHost("c", 7).Prefix()+"x", "ten sheets").result, "unknown")
	is.Equal(a.requestCount.Load(), int64(1))
	is.Equal(b.requestCount.Load(), int64(1))
	req, err := http.NewRequest(http.MethodPost, a.URL+"/orders", nil)
	is.NoErr(err)
	req.Header.Set(HeaderAccountKey, testKey)
	req.Header.Set(headerForwardedBy, "b")
	is.Equal(roundTrip(req).status, http.StatusUnauthorized)
	is.Equal(target.requestCount.Load(), int64(0))
}

func TestNotRunOnlyWhenCertain(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t, "a", unusedAddress(t))
	id := h.home.Prefix() + "order1"
	is.Equal(h.sendOrder(id, "ten sheets").result, "not-run")
	target := newCountingTarget(t, echo)
	h.snapshot.Store(h.newSnapshot([]string{target.address()}))
	is.Equal(h.sendOrder(id, "ten sheets").result, "not-run") // a later copy is not run either
	is.Equal(target.requestCount.Load(), int64(0))

	closing := newRawTarget(t, func(net.Conn, int, *http.Request) bool { return false })
	is.Equal(newTestHost(t, "b", closing).sendOrder("", "ten sheets").result, "unknown")
	overloaded := newCountingTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	is.Equal(newTestHost(t, "c", overloaded.address()).sendOrder("", "ten sheets").result, "completed")
}

// TestConnectFailureIsRetriedAtAnotherTarget checks that even a non-idempotent request is
// retried after a failure to connect: nothing was sent.
func TestConnectFailureIsRetriedAtAnotherTarget(t *testing.T) {
	is := is.New(t)
	target := newCountingTarget(t, echo)
	h := newTestHost(t, "a", unusedAddress(t), target.address())
	for range 8 {
		is.Equal(h.sendOrder("", "ten sheets").result, "completed")
	}
	is.Equal(target.requestCount.Load(), int64(8))
}

func TestOutcomeIsRecordedAfterCallerDisconnects(t *testing.T) {
	is := is.New(t)
	received, release := make(chan struct{}), make(chan struct{})
	target := newCountingTarget(t, func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-release
		echo(w, r)
	})
	h := newTestHost(t, "a", target.address())
	id := h.home.Prefix() + "order1"
	ctx, disconnect := context.WithCancel(context.Background())
	response := make(chan callerResponse)
	go func() { response <- h.send(ctx, http.MethodPost, "/orders", id, "ten sheets") }()
	<-received
	disconnect()
	is.True((<-response).err != nil)
	close(release)
	is.Equal(h.sendOrder(id, "ten sheets"), callerResponse{status: http.StatusCreated, result: "completed", body: "ran ten sheets"})
	is.Equal(target.requestCount.Load(), int64(1))
}

// TestNoDispatchAfterDeadline checks that a request is not sent after its deadline, for
// instance when the process was suspended meanwhile.
func TestNoDispatchAfterDeadline(t *testing.T) {
	is := is.New(t)
	target := newCountingTarget(t, echo)
	h := newTestHost(t, "a", target.address())
	req, err := http.NewRequest(http.MethodPost, h.URL+"/orders", strings.NewReader("x"))
	is.NoErr(err)
	req.Header.Set(HeaderAccountKey, testKey)
	req.Header.Set(HeaderDeadline, "0")
	got := roundTrip(req)
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.Equal(got.result, "not-run")
	is.Equal(target.requestCount.Load(), int64(0))
}

func TestDeadlineDecreasesAtEachHop(t *testing.T) {
	is := is.New(t)
	deadlines := make(chan string, 1)
	target := newCountingTarget(t, func(_ http.ResponseWriter, r *http.Request) { deadlines <- r.Header.Get(HeaderDeadline) })
	a, b := newTestHost(t, "a", target.address()), newTestHost(t, "b")
	registerPeers(a, b)
	req, err := http.NewRequest(http.MethodPost, b.URL+"/orders", nil)
	is.NoErr(err)
	req.Header.Set(HeaderAccountKey, testKey)
	req.Header.Set(HeaderRequestID, a.home.Prefix()+"x")
	req.Header.Set(HeaderDeadline, "1000")
	is.Equal(roundTrip(req).result, "completed")
	header := http.Header{HeaderDeadline: []string{<-deadlines}}
	left, ok := timeLeft(header, HeaderDeadline)
	is.True(ok)
	is.True(left <= time.Second-2*hopMargin)
}

// TestForgedIDMeansUnknown uses an id that expires later than any id that the host has
// issued. The host may issue it later, so that "not run" would not be final.
func TestForgedIDMeansUnknown(t *testing.T) {
	is := is.New(t)
	target := newCountingTarget(t, echo)
	h := newTestHost(t, "a", target.address())
	forged := h.home.NewID()
	forged.Expires += time.Hour
	is.Equal(h.sendOrder(forged.String(), "ten sheets").result, "unknown")
	is.Equal(target.requestCount.Load(), int64(0))
}

// TestOtherServerAtAddressOfHomeHost covers a server at the address of the home host
// that does not set this system's headers. Its response must not be forwarded.
func TestOtherServerAtAddressOfHomeHost(t *testing.T) {
	is := is.New(t)
	other := newCountingTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "4")
		_, _ = io.WriteString(w, "text")
	})
	h := newTestHost(t, "a")
	home := caller.NewHomeHost("c", 7)
	h.snapshot.Load().Peers["c"] = host.Identity{ID: "c", Incarnation: 7, Address: other.address()}
	r := h.sendOrder(home.Prefix()+"x", "ten sheets")
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(r.result, "unknown")
	is.Equal(r.body, "the home host gave no result\n")
}

// TestDialErrorAfterASentRequestDoesNotMeanNotRun guards against a request that is said not to
// have run because net/http sent it again on a connection that could not be opened: the first
// copy had been sent.
func TestDialErrorAfterASentRequestDoesNotMeanNotRun(t *testing.T) {
	is := is.New(t)
	var listener net.Listener
	var ran atomic.Int64
	address := newRawTargetOn(t, func(l net.Listener) { listener = l }, func(conn net.Conn, n int, _ *http.Request) bool {
		if n == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return true
		}
		ran.Add(1)
		_ = listener.Close() // the next connection is refused
		return false
	})
	h := newTestHost(t, "a", address)
	is.Equal(h.send(t.Context(), http.MethodGet, "/prices", "", "").result, "completed")
	is.Equal(h.send(t.Context(), http.MethodGet, "/prices", "", "").result, "unknown")
	is.Equal(ran.Load(), int64(1))
}
