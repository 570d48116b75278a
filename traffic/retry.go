package traffic

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/internal/wait"
	"github.com/crocushinge/crocushinge/link"
)

const (
	// maxAttempts is how many targets a request is sent to at most.
	maxAttempts = 3
	// replayLimit is the largest body held for a retry, in bytes.
	replayLimit = 64 << 10
)

// delivery is an answer on its way to the caller.
type delivery struct {
	attempt *attempt
	// held is the start of the answer, or all of it when whole is set.
	held  []byte
	whole bool
}

// serveIdempotent sends a request to further targets while attempts fail and
// the service's retry budget allows it.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, req *request) {
	if !h.holdSmallBody(w, req) {
		return
	}
	defer req.body.free()
	retries := h.state(req.match.Service).retries
	retries.Deposit()
	tried := make(map[*link.Link]bool)
	result := caller.NotRun
	for retry := 0; ; retry++ {
		a, d, err := h.try(ctx, req, tried)
		if !a.certainlyNotRun() {
			result = caller.Unknown
		}
		again := a != nil && (err != nil || d.worthRetry()) && retry+1 < maxAttempts && req.replayable()
		if again && retries.TryWithdraw() && pause(ctx, caller.Backoff(retry, rand.Float64())) {
			h.counters.Retries.Add(1)
			tried[a.link] = true
			continue
		}
		if err != nil {
			failure(result, err).write(w)
			return
		}
		d.deliver(w)
		return
	}
}

// holdSmallBody reads a small body into memory, so that it can be sent again.
// It returns false after it has refused the request.
func (h *Handler) holdSmallBody(w http.ResponseWriter, req *request) bool {
	if req.in.ContentLength < 0 || req.in.ContentLength > replayLimit {
		return true
	}
	body, err := readBody(req.in, replayLimit, h.cfg.Bodies)
	if err != nil {
		h.refuseBody(req, err).write(w)
		return false
	}
	req.body = body
	return true
}

// replayable reports whether the body can be sent again.
func (req *request) replayable() bool { return req.body != nil }

// try sends the request once, and holds a short answer until it is whole. An
// attempt that has an error or a whole answer is finished.
func (h *Handler) try(ctx context.Context, req *request, tried map[*link.Link]bool) (*attempt, *delivery, error) {
	a, err := h.dispatch(ctx, req, tried)
	if err != nil {
		return a, nil, err
	}
	d := &delivery{attempt: a}
	if !a.short() {
		return a, d, nil
	}
	d.held, d.whole, err = a.hold()
	if err != nil {
		a.fail()
		return a, nil, err
	}
	if d.whole {
		a.close()
	}
	return a, d, nil
}

// short reports whether the answer is announced to be short, or may not be
// passed on before its end is known.
func (a *attempt) short() bool {
	return a.response.ContentLength >= 0 && a.response.ContentLength < holdLimit || !bounded(a.response)
}

// worthRetry reports whether a whole answer may be dropped for a better one.
func (d *delivery) worthRetry() bool {
	return d.whole && d.attempt.response.StatusCode >= http.StatusInternalServerError
}

// deliver passes an answer on. A broken answer aborts the connection to the
// caller, so that it cannot be taken for a whole one.
func (d *delivery) deliver(w http.ResponseWriter) {
	a := d.attempt
	a.writeHead(w, caller.Completed)
	if d.whole {
		_, _ = w.Write(d.held)
		writeTrailers(w, a.response)
		return
	}
	if err := a.stream(w, d.held); err != nil {
		a.fail()
		panic(http.ErrAbortHandler)
	}
	a.close()
}

// pause waits before a retry. It returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	return wait.For(ctx, d)
}
