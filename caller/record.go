package caller

import (
	"context"
	"crypto/sha256"
	"time"
)

// Fingerprint is a digest of a request's method, service, path with query, and body. It
// distinguishes different requests that carry the same id or key. The authority is left
// out, because it is the address of whichever host the caller uses.
type Fingerprint [sha256.Size / 2]byte

// NewFingerprint computes the fingerprint of a request. path includes the query.
func NewFingerprint(method, service, path string, body ...[]byte) Fingerprint {
	h := sha256.New()
	for _, part := range [...]string{method, service, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	for _, part := range body {
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:sha256.Size/2])
}

// HeaderField is a header field of a response.
type HeaderField struct{ Name, Value string }

// Response is the whole response of a target, kept for repeats of the request.
type Response struct {
	Status int
	Fields []HeaderField
	Body   []byte
}

// size returns the number of bytes that the response counts against
// LedgerLimits.ResponseBytes.
func (r *Response) size() int64 {
	if r == nil {
		return 0
	}
	total := len(r.Body)
	for _, f := range r.Fields {
		total += len(f.Name) + len(f.Value)
	}
	return int64(total)
}

// Outcome is how a request ended.
type Outcome struct {
	Result Result
	// Status is the target's HTTP status when the result is Completed.
	Status int
	// Response is the whole response if it was kept, or nil.
	Response *Response
}

// Record is the ledger's record of one request. It is safe for concurrent use.
// The lock of its shard guards it.
type Record struct {
	ledger      *Ledger
	shard       *shard
	fingerprint Fingerprint
	expires     time.Duration
	result      Result
	status      int
	response    *Response
	// done is closed when the request ends. It is nil until the first Wait.
	done chan struct{}
	// refused is set when the request was refused before its body was read, in
	// which case fingerprint is not set.
	refused bool
}

// End records the outcome of the request. Only the first call has an effect. The
// response is kept if the ledger has room for it.
func (r *Record) End(o Outcome) {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.result != Pending || o.Result == Pending {
		return
	}
	r.result, r.status = o.Result, o.Status
	if r.ledger.responseBytes.Add(o.Response.size()) <= r.ledger.limits.ResponseBytes {
		r.response = o.Response
	} else {
		r.ledger.responseBytes.Add(-o.Response.size())
	}
	if r.done != nil {
		close(r.done)
	}
}

// refuse ends the record as NotRun. This outcome then applies to every request with the
// record's id, whatever its fingerprint.
func (r *Record) refuse() {
	r.shard.mu.Lock()
	r.refused = true
	r.shard.mu.Unlock()
	r.End(Outcome{Result: NotRun})
}

// Outcome returns the outcome of the request. Its result is Pending until the
// request ends.
func (r *Record) Outcome() Outcome {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	return Outcome{Result: r.result, Status: r.status, Response: r.response}
}

// Wait waits until the request ends and returns its outcome. When ctx ends
// first, the result is Pending.
func (r *Record) Wait(ctx context.Context) Outcome {
	r.shard.mu.Lock()
	if r.result == Pending && r.done == nil {
		r.done = make(chan struct{})
	}
	done := r.done
	r.shard.mu.Unlock()
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	return r.Outcome()
}
