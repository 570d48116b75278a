// Package standin implements a stand-in for the platform's services that several
// processes can share, for tests and trials. At one address it serves the calls
// of the DynamoDB API and the S3 API that the adapters use, the host list at
// /host-list, and an endpoint at /control/ that switches faults on and off. It
// keeps its data in memory.
package standin

import (
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/crocushinge/crocushinge/storage/fault"
	"github.com/crocushinge/crocushinge/storage/memory"
)

// Paths outside the bucket.
const (
	HostListPath = "/host-list"
	controlPath  = "/control/"
)

// defaultPageSize is the default of Config.PageSize.
const defaultPageSize = 100

// Config is the configuration of a stand-in.
type Config struct {
	// Table is the name of the only table. Required.
	Table string
	// Bucket is the name of the only bucket. Required.
	Bucket string
	// AccessKeyID is the id of the access key that requests must be signed
	// with. The signatures are not verified. Required.
	AccessKeyID string
	// PageSize is the largest number of items or names in one page of a response.
	// Default: 100.
	PageSize int
}

// Standin is an HTTP handler that serves the table service, the object store, the
// host list and the control endpoint. It is safe for concurrent use.
type Standin struct {
	// Table, Objects and HostList are the injected faults of the three services.
	Table    fault.Set
	Objects  fault.Set
	HostList fault.Set

	cfg     Config
	store   *memory.Platform
	control http.Handler

	// writeMu serializes the writes to the table. doneTokens holds the client
	// request tokens of the transactions that were carried out.
	writeMu    sync.Mutex
	doneTokens map[string]bool
}

var _ http.Handler = (*Standin)(nil)

// New returns a stand-in that keeps its data in store.
func New(cfg Config, store *memory.Platform) *Standin {
	if cfg.PageSize == 0 {
		cfg.PageSize = defaultPageSize
	}
	s := &Standin{cfg: cfg, store: store, doneTokens: make(map[string]bool)}
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

// hasAccessKey reports whether a request names the access key in its signature.
func (s *Standin) hasAccessKey(r *http.Request) bool {
	prefix := "AWS4-HMAC-SHA256 Credential=" + s.cfg.AccessKeyID + "/"
	return strings.HasPrefix(r.Header.Get("Authorization"), prefix)
}

// callHandling says how to handle a call after the faults were applied.
type callHandling int

// The ways to handle a call.
const (
	proceed callHandling = iota
	// rejectThrottled responds that there were too many calls.
	rejectThrottled
	// proceedWithoutResponse carries the call out and aborts the connection.
	proceedWithoutResponse
)

// applyFaults applies the faults that are switched on to a call. If the call must
// have neither effect nor response, it aborts the connection and does not return.
//
// A delayed write takes effect even if its client has canceled the call.
func applyFaults(faults *fault.Set, r *http.Request, call fault.CallKind) callHandling {
	ctx := r.Context()
	if call == fault.Write {
		ctx = context.WithoutCancel(ctx)
	}
	action, err := faults.Next(ctx, call)
	if err != nil {
		abortConnection()
	}
	switch action {
	case fault.Pass:
		return proceed
	case fault.Throttle:
		return rejectThrottled
	case fault.LoseResponse:
		return proceedWithoutResponse
	default:
		abortConnection()
		return proceed
	}
}

// abortConnection closes the connection without a response, by a panic that
// net/http recovers. It does not return.
func abortConnection() { panic(http.ErrAbortHandler) }
