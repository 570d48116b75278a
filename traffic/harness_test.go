package traffic

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/claim"
	"github.com/crocushinge/crocushinge/contract"
	"github.com/crocushinge/crocushinge/credential"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/route"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/memory"
)

const (
	testAccount = "bookshop"
	testKey     = "bookshop-key"
	testToken   = "fleet-token"
)

// testHost is a host of the fleet with a real listener.
type testHost struct {
	*httptest.Server
	handler  *Handler
	home     *caller.HomeHost
	ledger   *caller.Ledger
	claims   Claims
	snapshot atomic.Pointer[host.Snapshot]

	// served counts the requests that reached this host.
	served atomic.Int64

	mu    sync.Mutex
	ended []host.RequestEnded
}

// newTestHost starts a host before targets at the given addresses. POST and
// PUT are non-idempotent on /orders; every method is idempotent on /prices.
func newTestHost(t *testing.T, id string, targets ...string) *testHost {
	t.Helper()
	return newTestHostOn(t, memory.New(), id, targets...)
}

// newTestHostOn starts a host on a platform that it shares with others.
func newTestHostOn(t *testing.T, store storage.Table, id string, targets ...string) *testHost {
	t.Helper()
	h := newHostCore(t, store, id)
	h.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.served.Add(1)
		h.handler.ServeHTTP(w, r)
	}))
	t.Cleanup(h.Close)
	h.snapshot.Store(h.newSnapshot(targets))
	return h
}

// newHostCore returns a host without a listener.
func newHostCore(t testing.TB, store storage.Table, id string) *testHost {
	t.Helper()
	h := &testHost{home: caller.NewHome(id, 7), ledger: caller.NewLedger(caller.DefaultLimits())}
	claims := &claim.Store{Table: store}
	h.claims = Claims{Store: claims, Writer: claim.NewOutcomeWriter(claims), Log: claim.NewOutcomeLog(store, h.home)}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go h.claims.Writer.Run(ctx)
	h.handler = NewHandler(Config{
		Snapshot:    h.snapshot.Load,
		Home:        h.home,
		Ledger:      h.ledger,
		Claims:      h.claims,
		Bodies:      caller.NewMemory(1 << 20),
		Observe:     func(link.Observation) {},
		Ended:       h.record,
		Transport:   NewTargetTransport(DialTCP),
		Peers:       NewPeerTransport(DialTCP),
		FleetTokens: func() credential.Tokens { return credential.Tokens{testToken} },
	})
	return h
}

func (h *testHost) record(e host.RequestEnded) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = append(h.ended, e)
}

func (h *testHost) identity() host.Identity {
	id := host.Identity{ID: host.ID(h.home.Host), Incarnation: h.home.Incarnation, Address: h.home.Host + ":80"}
	if h.Server != nil {
		id.Address = h.Listener.Addr().String()
	}
	return id
}

func (h *testHost) newSnapshot(targets []string) *host.Snapshot {
	c := &contract.Contract{
		Service: "shop",
		Routes: []contract.Route{
			{Path: "/orders", Deadline: 5 * time.Second},
			{Path: "/prices", Idempotent: true, Deadline: 5 * time.Second},
		},
		MaxBody:  1 << 16,
		Accounts: []string{testAccount},
		Queue:    contract.Queue{Length: 8, Wait: 50 * time.Millisecond},
	}
	for _, address := range targets {
		c.Targets = append(c.Targets, contract.Target{Name: address, Address: address, Slots: 4})
	}
	account := caller.NewAccount(testAccount, testKey)
	return &host.Snapshot{
		Self:     h.identity(),
		Routes:   route.NewTable([]*contract.Contract{c}),
		Accounts: caller.NewAccounts([]caller.Account{account}),
		Services: map[string]*service.Routing{"shop": service.New(c, service.Location{}, time.Now()).Routing()},
		Peers:    make(map[host.ID]host.Identity),
		Ready:    true,
	}
}

// meet makes hosts know each other.
func meet(hosts ...*testHost) {
	for _, a := range hosts {
		for _, b := range hosts {
			if a != b {
				a.snapshot.Load().Peers[b.identity().ID] = b.identity()
			}
		}
	}
}

// reply is what a caller received.
type reply struct {
	status int
	result string
	body   string
	// err is set when the answer did not arrive whole.
	err error
}

// ask sends a request with the given id, if any.
func (h *testHost) ask(ctx context.Context, method, path, id, body string) reply {
	req, err := http.NewRequestWithContext(ctx, method, h.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set(HeaderKey, testKey)
	if id != "" {
		req.Header.Set(HeaderRequestID, id)
	}
	return roundTrip(req)
}

func roundTrip(req *http.Request) reply {
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, result: resp.Header.Get(HeaderResult), body: string(data), err: err}
}

// order sends a non-idempotent request.
func (h *testHost) order(id, body string) reply {
	return h.ask(context.Background(), http.MethodPost, "/orders", id, body)
}

// target counts the requests that it ran.
type target struct {
	*httptest.Server
	runs atomic.Int64
}

func newTarget(t *testing.T, run http.HandlerFunc) *target {
	t.Helper()
	tg := &target{}
	tg.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tg.runs.Add(1)
		run(w, r)
	}))
	t.Cleanup(tg.Close)
	return tg
}

func (tg *target) address() string { return tg.Listener.Addr().String() }

// echo answers with the body that it received.
func echo(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(append([]byte("ran "), data...))
}

// rawTarget runs script for each request, with its number on the connection
// from 1. The connection is closed when script returns false.
func rawTarget(t *testing.T, script func(conn net.Conn, n int, r *http.Request) bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, script)
		}
	}()
	return listener.Addr().String()
}

func serveRaw(conn net.Conn, script func(conn net.Conn, n int, r *http.Request) bool) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !script(conn, n, r) {
			return
		}
	}
}

// refusingAddress returns an address where nobody listens.
func refusingAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
