// Package standin is a small stand-in for the platform's services, for tests
// and trials of several processes. On one address it speaks the calls that
// this system uses of the DynamoDB API and the S3 API, serves the host list at
// /host-list, and takes orders at /control/. What it holds is in memory.
package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/crocushinge/crocushinge/storage/fault"
	"github.com/crocushinge/crocushinge/storage/memory"
)

// Paths that are not those of a bucket.
const (
	HostListPath = "/host-list"
	controlPath  = "/control/"
)

// defaultPage is how many entries one page of an answer has at most.
const defaultPage = 100

// Config says what a stand-in pretends to be.
type Config struct {
	// Table is the name of the one table. Required.
	Table string
	// Bucket is the name of the one bucket. Required.
	Bucket string
	// AccessKeyID is the one that requests must be signed with. Signatures
	// themselves are not verified. Required.
	AccessKeyID string
	// Page is how many items or names one page has at most. Default: 100.
	Page int
}

// Standin stands in for the table service, the object store and the host list.
// It is safe for concurrent use.
type Standin struct {
	// Table, Objects and HostList are the faults of the three services.
	Table    fault.Set
	Objects  fault.Set
	HostList fault.Set

	cfg     Config
	store   *memory.Platform
	control http.Handler

	// writes serializes the table's writes; tokens holds those carried out,
	// by client request token.
	writes sync.Mutex
	tokens map[string]bool
}

var _ http.Handler = (*Standin)(nil)

// New returns a stand-in that keeps its data in store.
func New(cfg Config, store *memory.Platform) *Standin {
	if cfg.Page == 0 {
		cfg.Page = defaultPage
	}
	s := &Standin{cfg: cfg, store: store, tokens: make(map[string]bool)}
	s.control = s.controlHandler()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get(targetHeader) != "":
		s.serveTable(w, r)
	case r.URL.Path == HostListPath:
		s.serveHostList(w, r)
	case strings.HasPrefix(r.URL.Path, controlPath):
		s.control.ServeHTTP(w, r)
	default:
		s.serveObjects(w, r)
	}
}

// signed reports whether a request is signed with the access key.
func (s *Standin) signed(r *http.Request) bool {
	prefix := "AWS4-HMAC-SHA256 Credential=" + s.cfg.AccessKeyID + "/"
	return strings.HasPrefix(r.Header.Get("Authorization"), prefix)
}

// outcome is what a call comes to under the faults.
type outcome int

// The outcomes of a call under the faults.
const (
	proceed outcome = iota
	rejectThrottled
	// proceedUnanswered carries the call out and then loses the answer.
	proceedUnanswered
)

// meet applies the faults to a call. It ends the connection without an answer,
// by a panic that net/http handles, when the call is to have no effect.
//
// A delayed write takes effect even when its client has given up.
func meet(faults *fault.Set, r *http.Request, call fault.Call) outcome {
	ctx := r.Context()
	if call == fault.Write {
		ctx = context.WithoutCancel(ctx)
	}
	verdict, err := faults.Next(ctx, call)
	if err != nil {
		loseAnswer()
	}
	switch verdict {
	case fault.Pass:
		return proceed
	case fault.Throttle:
		return rejectThrottled
	case fault.LoseAnswer:
		return proceedUnanswered
	default:
		loseAnswer()
		return proceed
	}
}

// loseAnswer ends the connection without an answer.
func loseAnswer() { panic(http.ErrAbortHandler) }
