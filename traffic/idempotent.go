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
	// maxAttempts is the largest number of attempts of a request.
	maxAttempts = 3
	// maxRetryBodyBytes is the size up to which a request body is buffered for
	// retries.
	maxRetryBodyBytes = 64 << 10
)

// bufferedResponse is the response of an attempt with the buffered part of its body,
// which may be the whole body.
type bufferedResponse struct {
	attempt *attempt
	// buffered is the start of the body, or all of it when complete is set.
	buffered []byte
	complete bool
}

// serveIdempotent sends a request to targets until an attempt succeeds, as long as
// maxAttempts and the service's retry budget allow it.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, req *request) {
	if !h.bufferSmallBody(w, req) {
		return
	}
	defer req.body.free()
	retries := h.serviceState(req.match.Service).retries
	retries.Deposit()
	tried := make(map[*link.Link]bool)
	result := caller.NotRun
	for retry := 0; ; retry++ {
		a, resp, err := h.sendBuffered(ctx, req, tried)
		if !a.notRun() {
			result = caller.Unknown
		}
		backoff := caller.Backoff(retry, rand.Float64())
		mayRetry := a != nil && (err != nil || resp.shouldRetry()) && retry+1 < maxAttempts && req.retryable() && !h.shutdown.tooLate(req, backoff)
		if mayRetry && retries.TryWithdraw() && waitBackoff(ctx, backoff) {
			h.counters.Retries.Add(1)
			tried[a.link] = true
			continue
		}
		if err != nil {
			failureResponse(result, err).write(w)
			return
		}
		resp.write(w, req.inbound)
		return
	}
}

// bufferSmallBody reads the body into memory if it has a Content-Length of at most
// maxRetryBodyBytes, so that it can be sent again. It returns false if it has
// refused the request.
func (h *Handler) bufferSmallBody(w http.ResponseWriter, req *request) bool {
	if req.inbound.ContentLength < 0 || req.inbound.ContentLength > maxRetryBodyBytes {
		return true
	}
	body, refused := h.readBody(req, maxRetryBodyBytes)
	if refused != nil {
		refused.write(w)
		return false
	}
	req.body = body
	return true
}

// retryable reports whether the body is buffered, so that it can be sent again.
func (req *request) retryable() bool { return req.body != nil }

// sendBuffered sends the request to one target. It buffers the response if shouldBuffer,
// and else the first piece of its body, so that a response that breaks off before it is
// an error that the caller can be told. The attempt is finished if it has an error or a complete response.
func (h *Handler) sendBuffered(ctx context.Context, req *request, tried map[*link.Link]bool) (*attempt, *bufferedResponse, error) {
	a, err := h.sendAttempt(ctx, req, tried)
	if err != nil {
		return a, nil, err
	}
	resp := &bufferedResponse{attempt: a}
	if a.shouldBuffer() {
		resp.buffered, resp.complete, err = a.buffer()
	} else {
		resp.buffered, resp.complete, err = readFirst(a.response.Body)
	}
	if err != nil {
		a.fail()
		return a, nil, err
	}
	if resp.complete {
		a.close()
	}
	return a, resp, nil
}

// shouldBuffer reports whether the response must be buffered before its header is
// forwarded: because its Content-Length is small, or because buffer must reject it
// as close-delimited.
func (a *attempt) shouldBuffer() bool {
	return a.response.ContentLength >= 0 && a.response.ContentLength < maxBufferedBytes || !selfDelimiting(a.response)
}

// shouldRetry reports whether the response is a complete server error, which can be
// discarded for a retry.
func (r *bufferedResponse) shouldRetry() bool {
	return r.complete && r.attempt.response.StatusCode >= http.StatusInternalServerError
}

// write forwards the response. If the response breaks off, it aborts the connection
// to the caller, so that the caller does not take it for a complete one.
func (r *bufferedResponse) write(w http.ResponseWriter, inbound *http.Request) {
	a := r.attempt
	a.writeHeader(w, caller.Completed)
	if r.complete {
		_, _ = w.Write(r.buffered) // fails only if the caller has disconnected
		writeTrailers(w, a.response)
		return
	}
	if err := a.stream(w, r.buffered); err != nil {
		a.fail()
		abortResponse(inbound)
	}
	a.close()
}

// waitBackoff waits before a retry. It returns false if ctx ends during the wait. If
// the deadline would pass during the wait, it returns false at once.
func waitBackoff(ctx context.Context, backoff time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= backoff {
		return false
	}
	return wait.For(ctx, backoff)
}
