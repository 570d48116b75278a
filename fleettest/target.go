package fleettest

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/traffic"
)

// LeavingHeader is the response header with which the targets signal that they
// are leaving.
const LeavingHeader = "X-Draining"

// Behavior defines how a target responds to requests.
type Behavior struct {
	// Delay is the time from the receipt of a request to its response.
	Delay time.Duration
	// Fail makes the target respond with a server error after it ran the request.
	Fail bool
	// Truncate closes the connection before the announced length of the response.
	Truncate bool
	// Leaving sets LeavingHeader on every response.
	Leaving bool
}

// Run is one request that a target ran. Probes are not included.
type Run struct {
	Target string
	ID     string
	Method string
	Path   string
	At     time.Time
}

// Target is a target that records the requests it ran.
type Target struct {
	Name    string
	Address string

	server   *http.Server
	mu       sync.Mutex
	behavior Behavior
	runs     []Run
	probes   int
}

// StartTarget starts a target at a node of the same name.
func StartTarget(n *Network, name string) (*Target, error) {
	l, err := n.At(name).Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{Name: name, Address: l.Addr().String()}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Second}
	go func() { _ = t.server.Serve(l) }()
	return t, nil
}

// SetBehavior changes the behavior of the target for requests that arrive from now on.
// LeavingHeader also applies to pending responses.
func (t *Target) SetBehavior(b Behavior) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behavior = b
}

// Runs returns the requests that the target has run.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Probes returns the number of probes received.
func (t *Target) Probes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.probes
}

func (t *Target) countProbe() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probes++
}

// Close stops the target without waiting for requests in flight.
func (t *Target) Close() error { return t.server.Close() }

// bodyFor returns the body of the complete response to a request.
func bodyFor(id string) string { return "whole answer to " + id }

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		t.countProbe()
		t.setLeavingHeader(w)
		return
	}
	id := r.Header.Get(traffic.HeaderRequestID)
	behavior := t.recordRun(Run{Target: t.Name, ID: id, Method: r.Method, Path: r.URL.Path, At: time.Now()})
	time.Sleep(behavior.Delay)
	t.setLeavingHeader(w)
	body := bodyFor(id)
	switch {
	case behavior.Fail:
		http.Error(w, "failed", http.StatusInternalServerError)
	case behavior.Truncate:
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, body)
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, body)
	}
}

// setLeavingHeader sets LeavingHeader if the target is leaving.
func (t *Target) setLeavingHeader(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.behavior.Leaving {
		w.Header().Set(LeavingHeader, "1")
	}
}

// recordRun records a request and returns the behavior that applies to it.
func (t *Target) recordRun(r Run) Behavior {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, r)
	return t.behavior
}
