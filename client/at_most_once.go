package client

import (
	"context"

	"github.com/crocushinge/crocushinge/caller"
)

// atMostOnceState is the state of a non-idempotent request across its attempts.
type atMostOnceState struct {
	// id is the current request id. It is empty before the first attempt, and
	// once a request with the previous id is certain never to run.
	id string
	// maybeSent is set once a copy with this id may have reached a host.
	maybeSent bool
	last      Response
	err       error
}

// doAtMostOnce sends a non-idempotent request so that it runs at most once.
func (c *Client) doAtMostOnce(ctx context.Context, req Request) (Response, error) {
	state := &atMostOnceState{last: Response{Result: caller.NotRun}}
	for attempt := range c.cfg.MaxAttempts {
		if attempt > 0 && !waitBackoff(ctx, attempt) {
			break
		}
		if c.sendCopy(ctx, req, state, attempt) {
			return state.last, nil
		}
	}
	if state.maybeSent {
		state.last = Response{Result: caller.Unknown, RequestID: state.id}
	}
	return state.last, state.err
}

// sendCopy sends one copy of the request. It returns true when its response is
// final.
func (c *Client) sendCopy(ctx context.Context, req Request, state *atMostOnceState, attempt int) bool {
	hosts, prefix, err := c.hostAddresses(ctx)
	if err != nil {
		state.err = err
		return false
	}
	if state.id == "" {
		state.id = newID(prefix)
		attempt = 0
	}
	sent := c.send(ctx, hosts[attempt%len(hosts)], req, state.id)
	state.err = sent.err
	switch {
	case !sent.maybeSent && !state.maybeSent:
		// No copy was sent with this id, so a new id cannot run the request twice.
		state.id = ""
		c.expireDirectory()
		return false
	case !sent.maybeSent:
		return false
	}
	state.maybeSent = true
	if sent.err != nil {
		return false
	}
	return state.applyResponse(sent.response)
}

// applyResponse updates the state by a host's response. It returns true when the
// response is final.
func (state *atMostOnceState) applyResponse(r Response) bool {
	switch r.Result {
	case caller.NotRun:
		// No host will run a request with this id any more.
		state.last = r
		state.id, state.maybeSent = "", false
		return !retryable(r)
	case caller.Completed:
		state.last = r
		return true
	default:
		// Pending, or unknown to this host: the home host may know the result.
		return false
	}
}
