package traffic

import (
	"bufio"
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
	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/zone"
)

var testHeaders = GatewayHeaders{RequestID: "X-Id", Deadline: "X-Left-Ms", ExpectedTarget: "X-For", NotRun: "X-Not-Run"}

const signatureHeader = "X-Signature"

// gatewayBench is a gateway before fake targets.
type testGateway struct {
	t       *testing.T
	service *pool.Service
	routes  []discovery.Route
	limits  discovery.Limits
	budget  RetryBudget
	closing atomic.Bool
	leaving atomic.Bool
	noConfiguration    atomic.Bool

	mu       sync.Mutex
	observations []fleet.Observation
	decisions    []Decision

	targets []discovery.Target
	gateway *Gateway
	server  *httptest.Server
}

// newGatewayBench returns a bench with routes for "/read/", which may be repeated,
// and "/write/", which may not.
func newTestGateway(t *testing.T) *testGateway {
	b := &testGateway{t: t, budget: RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}}
	b.service = pool.NewService("orders", pool.Place{Zone: "a", Zones: zone.NewMap([]zone.Zone{{ID: "a", Region: "r"}}, nil)})
	b.service.Repeatable = true
	for _, r := range []discovery.Route{
		{Name: "read", Prefix: "/read/", Idempotent: true, Timeout: 2 * time.Second},
		{Name: "write", Prefix: "/write/", Timeout: 2 * time.Second},
		{Name: "hasty", Prefix: "/hasty/", Timeout: 150 * time.Millisecond},
	} {
		r.Authority, r.Attempts = "shop.example", 2
		r.Objective = 500 * time.Millisecond
		r.Parts = []discovery.Part{{Service: "orders", Weight: 1}}
		b.routes = append(b.routes, r)
	}
	return b
}

// start begins to serve.
func (b *testGateway) start() *testGateway {
	b.service.Apply(b.targets)
	b.gateway = NewGateway(GatewayConfig{
		Snapshot:  b.snapshot,
		Observe:   b.observe,
		Started:   func() {},
		Closing:   b.closing.Load,
		Transport: NewTargets(DialTCP),
		Bodies:    caller.NewMemory(1 << 20),
		Headers:   testHeaders,
		Budget:    b.budget,
		Log: func(d Decision) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.decisions = append(b.decisions, d)
		},
	})
	b.server = httptest.NewUnstartedServer(b.gateway)
	b.server.Config = NewServer(b.gateway)
	b.server.Start()
	b.t.Cleanup(b.server.Close)
	return b
}

func (b *testGateway) snapshot() *fleet.Snapshot {
	s := &fleet.Snapshot{Hosts: 1, BudgetShare: 1, Ready: true, Leaving: b.leaving.Load()}
	if !b.noConfiguration.Load() {
		s.Configuration = discovery.NewConfiguration(7, b.routes, map[string]discovery.Service{"orders": {}}, b.limits)
		s.Services = map[string]*pool.Routing{"orders": b.service.Routing(0.7)}
	}
	return s
}

// observe judges at once, as the control thread does a little later.
func (b *testGateway) observe(o fleet.Observation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observations = append(b.observations, o)
	b.service.Observe(o.Target, pool.Ending{Host: "h", Outcome: o.Outcome, Latency: o.Latency}, time.Now())
}

func (b *testGateway) outcomes() []link.Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []link.Outcome
	for _, o := range b.observations {
		out = append(out, o.Outcome)
	}
	return out
}

// fakeTarget counts what arrives at a target.
type fakeTarget struct {
	name    string
	requestCount atomic.Int64
	mu      sync.Mutex
	received    []*http.Request
	bodies  []string
}

func (f *fakeTarget) requests() []*http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// target adds a target that answers by a handler. Without one it echoes the id and
// answers with its name.
func (b *testGateway) addTarget(name string, h http.HandlerFunc) *fakeTarget {
	f := &fakeTarget{name: name}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.requestCount.Add(1)
		f.mu.Lock()
		f.received = append(f.received, r)
		f.bodies = append(f.bodies, string(body))
		f.mu.Unlock()
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		if h != nil {
			h(w, r)
			return
		}
		w.Header().Set(signatureHeader, name)
		_, _ = io.WriteString(w, "from "+name)
	}))
	b.t.Cleanup(server.Close)
	b.addAddress(name, server.Listener.Addr().String())
	return f
}

func (b *testGateway) addAddress(name, address string) {
	b.targets = append(b.targets, discovery.Target{ID: name, Service: "orders", Address: address, Zone: "a", Slots: 4})
}

// rawTarget adds a target that writes bytes of its own for each request that it
// reads, and then goes on or closes.
func (b *testGateway) addRawTarget(name string, answer func(id string) string, closes bool) *atomic.Int64 {
	var arrived atomic.Int64
	b.addConnTarget(name, func(conn net.Conn) { serveRawResponses(conn, answer, closes, &arrived) })
	return &arrived
}

// connTarget adds a target that serves each connection on its own.
func (b *testGateway) addConnTarget(name string, serve func(net.Conn)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	b.addAddress(name, l.Addr().String())
}

func serveRawResponses(conn net.Conn, answer func(id string) string, closes bool, arrived *atomic.Int64) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		arrived.Add(1)
		if _, err := io.WriteString(conn, answer(r.Header.Get("X-Id"))); err != nil || closes {
			return
		}
	}
}

// warmUp sends requests until the usual latency of the service is known.
func (b *testGateway) learnTypicalLatency() {
	b.t.Helper()
	for range 200 {
		if b.service.Routing(0.7).Typical() > 0 {
			return
		}
		b.send(http.MethodGet, "/read/x", "")
	}
	b.t.Fatal("the usual latency is not known after 200 requests")
}

// gatewayReply is what a caller got.
type gatewayResponse struct {
	status int
	header http.Header
	body   string
	// closed is set when the answer ends its connection.
	closesConnection bool
	err    error
}

// send sends a request to the gateway.
func (b *testGateway) send(method, path, body string, header ...string) gatewayResponse {
	b.t.Helper()
	req, err := http.NewRequest(method, b.server.URL+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Host = "shop.example"
	req.Header.Set("X-Id", "id-"+path)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return gatewayResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return gatewayResponse{status: resp.StatusCode, header: resp.Header, body: string(data), closesConnection: resp.Close, err: err}
}
