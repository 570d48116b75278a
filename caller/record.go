package caller

import (
	"context"
	"crypto/sha256"
	"time"
)

// Fingerprint tells requests apart that carry the same id: a digest of method,
// service, path with query, and body. The authority is left out: callers use
// the hosts by address.
type Fingerprint [sha256.Size / 2]byte

// NewFingerprint computes a Fingerprint from the parts of a request.
func NewFingerprint(method, service, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [...]string{method, service, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:sha256.Size/2])
}

// Field is one header field of an answer.
type Field struct{ Name, Value string }

// Answer is a whole answer of a target, kept for repeats of the request.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
}

// size is the memory that the answer accounts for, in bytes.
func (a *Answer) size() int64 {
	if a == nil {
		return 0
	}
	total := len(a.Body)
	for _, f := range a.Fields {
		total += len(f.Name) + len(f.Value)
	}
	return int64(total)
}

// Outcome is how a request ended.
type Outcome struct {
	Result Result
	// Status is the target's HTTP status when the result is Completed.
	Status int
	// Answer is the whole answer when it was kept, or nil.
	Answer *Answer
}

// Record is the ledger's memory of one request. It is safe for concurrent use.
type Record struct {
	ledger  *Ledger
	shard   *shard
	print   Fingerprint
	expires time.Duration
	result  Result
	status  int
	answer  *Answer
	// ended is closed at the end; it is made when somebody waits for it.
	ended chan struct{}
	// refused is set when the request was refused before its body was read,
	// so that no fingerprint of it is known.
	refused bool
}

// End records how the request ended. Only the first call counts. The answer is
// kept while the ledger has room for it.
func (r *Record) End(o Outcome) {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.result != Pending || o.Result == Pending {
		return
	}
	r.result, r.status = o.Result, o.Status
	if r.ledger.answerBytes.Add(o.Answer.size()) <= r.ledger.limits.AnswerBytes {
		r.answer = o.Answer
	} else {
		r.ledger.answerBytes.Add(-o.Answer.size())
	}
	if r.ended != nil {
		close(r.ended)
	}
}

// refuse ends the record as NotRun for every request that carries its id.
func (r *Record) refuse() {
	r.shard.mu.Lock()
	r.refused = true
	r.shard.mu.Unlock()
	r.End(Outcome{Result: NotRun})
}

// Outcome returns how the request ended; its result is Pending before.
func (r *Record) Outcome() Outcome {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	return Outcome{Result: r.result, Status: r.status, Answer: r.answer}
}

// Wait returns the outcome once the request has ended, or with result Pending
// when ctx ends first.
func (r *Record) Wait(ctx context.Context) Outcome {
	r.shard.mu.Lock()
	if r.result == Pending && r.ended == nil {
		r.ended = make(chan struct{})
	}
	ended := r.ended
	r.shard.mu.Unlock()
	if ended != nil {
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
	return r.Outcome()
}
