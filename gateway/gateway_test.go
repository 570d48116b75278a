package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/link"
	"github.com/crocushinge/crocushinge/traffic"
	"github.com/crocushinge/crocushinge/zone"
)

// memoryStore is a metadata store in memory.
type memoryStore struct {
	mu      sync.Mutex
	targets []discovery.Target
	version discovery.Version
	hosts   map[string][]byte
	ver     uint64
	away    bool
	changed chan struct{}
}

func newMemoryStore() *memoryStore {
	return &memoryStore{hosts: make(map[string][]byte), changed: make(chan struct{}), version: 1, ver: 1}
}

var errStoreAway = errors.New("the store is away")

// change changes the store's contents.
func (s *memoryStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.ver++
	close(s.changed)
	s.changed = make(chan struct{})
}

// await waits for a change or the given time.
func (s *memoryStore) await(ctx context.Context, d time.Duration) error {
	s.mu.Lock()
	changed, away := s.changed, s.away
	s.mu.Unlock()
	if away {
		return errStoreAway
	}
	select {
	case <-changed:
	case <-time.After(min(d, 50*time.Millisecond)):
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func (s *memoryStore) Targets(ctx context.Context, wait time.Duration) (*discovery.Targets, error) {
	if err := s.await(ctx, wait); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return discovery.NewTargets(s.ver, time.Now().UnixMilli(), append([]discovery.Target(nil), s.targets...)), nil
}

func (s *memoryStore) Configuration(ctx context.Context, wait time.Duration) (*fleet.Document, int64, error) {
	if err := s.await(ctx, wait); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	document := []byte(fmt.Sprint(s.version))
	c, err := plainProtocol{}.ParseConfiguration(document)
	return &fleet.Document{Bytes: document, Configuration: c}, time.Now().UnixMilli(), err
}

func (s *memoryStore) Hosts(context.Context) ([][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, errStoreAway
	}
	var out [][]byte
	for _, row := range s.hosts {
		out = append(out, row)
	}
	return out, nil
}

func (s *memoryStore) PutHost(_ context.Context, id string, row []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return errStoreAway
	}
	s.hosts[id] = row
	return nil
}

func (s *memoryStore) RemoveHost(_ context.Context, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return errStoreAway
	}
	delete(s.hosts, id)
	return nil
}

// plainProtocol encodes a configuration as its version; its route takes "/orders/".
type plainProtocol struct{}

func (plainProtocol) ParseConfiguration(document []byte) (*discovery.Configuration, error) {
	var v discovery.Version
	if err := json.Unmarshal(document, &v); err != nil {
		return nil, err
	}
	return discovery.NewConfiguration(v, []discovery.Route{{
		Name: "orders", Authority: "shop.example", Prefix: "/orders/", Attempts: 2, Timeout: 2 * time.Second,
		Parts: []discovery.Part{{Service: "orders", Weight: 1}},
	}}, map[string]discovery.Service{"orders": {}}, discovery.Limits{IdleTimeout: time.Minute}), nil
}

func (plainProtocol) ReadyHandler(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (plainProtocol) DirectoryHandler(hosts func(of zone.ID) []string, _ func() time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, strings.Join(hosts(zone.ID(r.URL.Query().Get("zone"))), ","))
	})
}

// process is a running gateway.
type process struct {
	gateway  *Gateway
	settings Settings
	stop     context.CancelFunc
	done     chan error
}

// freeAddresses returns addresses of loopback that are free now.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

const testGrace = 1500 * time.Millisecond

func start(t *testing.T, store Store, name string, seeds ...string) *process {
	t.Helper()
	a := freeAddresses(t, 6)
	s := Settings{
		Host: name, Zone: "a", Zones: []zone.Zone{{ID: "a", Region: "r"}},
		Callers: a[0], Ready: a[1], Directory: a[2], Documents: a[3], Datagrams: a[4], Metrics: a[5], MetricsPath: "/metrics",
		Seeds: seeds, Capacity: 32, DrainWithin: 2 * time.Second, ApplyWithin: 2 * time.Second, Grace: testGrace,
		DirectoryLimit: 64, DirectoryTTL: time.Second, Floor: 0.7,
		Budget:  traffic.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 20},
		Headers: traffic.GatewayHeaders{RequestID: "X-Id", Deadline: "X-Left", ExpectedTarget: "X-For", NotRun: "X-Not-Run"},
	}
	g, err := New(s, store, plainProtocol{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &process{gateway: g, settings: s, stop: stop, done: make(chan error, 1)}
	go func() { p.done <- g.Run(ctx) }()
	t.Cleanup(func() { stop() })
	return p
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("not within 5 s: " + what)
}

func get(address, path string) (status int, body string) {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func (p *process) ready() bool {
	status, _ := get(p.settings.Ready, "/")
	return status == http.StatusOK
}

func (p *process) order(client *http.Client) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Callers+"/orders/1", strings.NewReader("order"))
	if err != nil {
		return nil, err
	}
	req.Host = "shop.example"
	req.Header.Set("X-Id", "1")
	return client.Do(req)
}

// addTarget starts a target that takes some time for a request.
func addTarget(t *testing.T, store *memoryStore, id string, takes time.Duration) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(takes)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		fmt.Fprint(w, id)
	}))
	t.Cleanup(server.Close)
	store.change(func() {
		store.targets = append(store.targets, discovery.Target{
			ID: id, Service: "orders", Address: server.Listener.Addr().String(), Zone: "a", Slots: 4,
		})
	})
}

func TestProcessesServeAndKnowEachOther(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	addTarget(t, store, "t1", 0)
	first := start(t, store, "h1")
	second := start(t, store, "h2", first.settings.Datagrams)
	eventually(t, "both ready", func() bool { return first.ready() && second.ready() })
	for _, p := range []*process{first, second} {
		resp, err := p.order(http.DefaultClient)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	eventually(t, "both in the directory", func() bool {
		_, body := get(first.settings.Directory, "/?zone=a")
		return strings.Contains(body, first.settings.Callers) && strings.Contains(body, second.settings.Callers)
	})
	status, body := get(first.settings.Metrics, "/metrics")
	is.Equal(status, http.StatusOK)
	for _, name := range []string{"crocushinge_requests_total", "crocushinge_request_duration_seconds_bucket", "crocushinge_view_age_milliseconds", "crocushinge_targets"} {
		is.True(strings.Contains(body, name))
	}
}

func TestFailureSeenByOneProcessIsKnownToTheOther(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	addTarget(t, store, "t1", 0)
	addTarget(t, store, "t2", 0)
	first := start(t, store, "h1")
	second := start(t, store, "h2", first.settings.Datagrams)
	eventually(t, "both know both", func() bool {
		a, b := first.gateway.control.snapshot.Load(), second.gateway.control.snapshot.Load()
		return a.Hosts == 2 && b.Hosts == 2 && a.Ready && b.Ready && len(b.Services["orders"].Targets) == 2
	})
	bad := first.gateway.control.snapshot.Load().Services["orders"].Targets[0]
	first.gateway.control.Observe(fleet.Observation{Target: bad, Outcome: link.Failed, Latency: time.Millisecond})
	eventually(t, "suspect at the other", func() bool {
		for _, x := range second.gateway.control.snapshot.Load().Services["orders"].Targets {
			if x.Key == bad.Key {
				return x.Suspect()
			}
		}
		return false
	})
	is.True(bad.Suspect())
}

func TestProcessStartsWithoutTheStoreFromItsPeer(t *testing.T) {
	store := newMemoryStore()
	addTarget(t, store, "t1", 0)
	first := start(t, store, "h1")
	eventually(t, "the first ready", first.ready)
	store.mu.Lock()
	store.away = true
	store.mu.Unlock()
	second := start(t, store, "h2", first.settings.Datagrams)
	eventually(t, "the second ready", second.ready)
}

// TestShutdownCutsNothing sends requests on kept connections without a pause while the
// process ends.
func TestShutdownCutsNothing(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	addTarget(t, store, "t1", 50*time.Millisecond)
	p := start(t, store, "h1")
	eventually(t, "ready", p.ready)
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	for range 4 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for {
				resp, err := p.order(client)
				if err == nil {
					_, err = io.ReadAll(resp.Body)
					resp.Body.Close()
				}
				mu.Lock()
				switch {
				case err != nil:
					mu.Unlock()
					return // counted below if the process had taken the request
				case resp.StatusCode == http.StatusServiceUnavailable:
					refused++
				default:
					served++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	p.stop()
	time.Sleep(50 * time.Millisecond)
	is.True(!p.ready())
	is.NoErr(<-p.done)
	is.True(time.Since(began) < testGrace)
	wg.Wait()
	c := p.gateway.handler.Counters()
	is.Equal(int(c.Answered.Load()), served)
	is.Equal(int(c.Refused.Load()), refused)
	is.Equal(c.Gone.Load()+c.Failed.Load()+c.TimedOut.Load(), int64(0))
	is.True(served > 10)
	is.True(refused > 0)
}

// blockedWriter never takes a line.
type blockedWriter struct{ released chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

func TestBlockedOutputDelaysNobody(t *testing.T) {
	is := is.New(t)
	w := blockedWriter{released: make(chan struct{})}
	l := NewLogWriter(w)
	began := time.Now()
	for range 10 * logLines {
		_, err := l.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(began) < time.Second)
	is.True(l.Dropped() >= 8*logLines)
	is.True(l.Close() != nil) // some lines were never written
	close(w.released)
}

func TestLinesAreWrittenBeforeTheEnd(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	l := NewLogWriter(&out)
	for i := range 100 {
		fmt.Fprintf(l, "line %d\n", i)
	}
	is.NoErr(l.Close())
	is.Equal(strings.Count(out.String(), "\n"), 100)
}

// TestLineAfterTheEndIsLost: a request that is cut at the end of the grace may still
// write its line.
func TestLineAfterTheEndIsLost(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	l := NewLogWriter(&out)
	is.NoErr(l.Close())
	for range 2 * logLines {
		_, err := l.Write([]byte("late\n"))
		is.NoErr(err)
	}
	is.Equal(out.String(), "")
}

func TestLinesAboutRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	g := &Gateway{log: zerolog.New(&out), lines: newLineLimits()}
	const flood = 5000
	for range flood {
		g.logDecision(traffic.Decision{Request: "ok", Target: "t", Status: http.StatusOK, Event: traffic.Answered})
	}
	g.logDecision(traffic.Decision{Request: "bad", Status: http.StatusBadGateway, Event: traffic.Refused})
	lines := strings.Count(out.String(), "\n")
	is.True(lines <= lineBurst*answerLines+answerLines)
	is.True(strings.Contains(out.String(), `"bad"`)) // answers crowd no failure out
	is.Equal(int(g.counters.linesOmitted.Load()), flood+1-lines)
}

func TestReloadKeepsWhatNeedsARestart(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	p := start(t, store, "h1")
	changed := p.settings
	changed.Grace, changed.Floor, changed.Callers = 9*time.Second, 0.5, "127.0.0.1:1"
	p.gateway.Reload(changed)
	now := p.gateway.settings.Load()
	is.Equal(now.Grace, 9*time.Second)
	is.Equal(now.Floor, 0.5)
	is.Equal(now.Callers, p.settings.Callers)
	is.Equal(now.Zones, p.settings.Zones)
	p.gateway.Reload(p.settings)
}
