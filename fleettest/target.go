package fleettest

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/traffic"
)

// LeavingHeader is the drain sign of the recording targets.
const LeavingHeader = "X-Draining"

// Behaviour is how a target treats requests.
type Behaviour struct {
	// Delay is the time before the answer.
	Delay time.Duration
	// Fail answers with a server error after the work was done.
	Fail bool
	// Truncate ends the answer before its announced length.
	Truncate bool
	// Leaving sets the drain sign on every answer.
	Leaving bool
}

// Run is one request that reached a target's application.
type Run struct {
	Target string
	ID     string
	Method string
	Path   string
	At     time.Time
}

// Target is a target that records what it ran.
type Target struct {
	Name    string
	Address string

	server *http.Server
	mu     sync.Mutex
	how    Behaviour
	runs   []Run
	probes int
}

// StartTarget runs a target at a place of its own name.
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

// Behave changes how the target treats requests from now on.
func (t *Target) Behave(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.how = b
}

// Runs returns what the target has run.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Probes returns how often the target's health endpoint was asked.
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

// Close ends the target at once.
func (t *Target) Close() error { return t.server.Close() }

// answerFor is the body of the whole answer to a request.
func answerFor(id string) string { return "whole answer to " + id }

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		t.countProbe()
		t.sign(w)
		return
	}
	id := r.Header.Get(traffic.HeaderRequestID)
	how := t.begin(Run{Target: t.Name, ID: id, Method: r.Method, Path: r.URL.Path, At: time.Now()})
	time.Sleep(how.Delay)
	t.sign(w)
	body := answerFor(id)
	switch {
	case how.Fail:
		http.Error(w, "failed", http.StatusInternalServerError)
	case how.Truncate:
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, body)
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, body)
	}
}

func (t *Target) sign(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.how.Leaving {
		w.Header().Set(LeavingHeader, "1")
	}
}

func (t *Target) begin(r Run) Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, r)
	return t.how
}
