package client

import (
	"context"

	"github.com/crocushinge/crocushinge/caller"
)

// order is one non-idempotent request on its way.
type order struct {
	// id is the id in use, or empty before the first and after one that is
	// certain not to run.
	id string
	// sent is set once a copy with the id may have reached a host.
	sent bool
	last Response
	err  error
}

// doOnce sends a non-idempotent request so that it runs once at most.
func (c *Client) doOnce(ctx context.Context, req Request) (Response, error) {
	o := &order{last: Response{Result: caller.NotRun}}
	for attempt := range c.cfg.Attempts {
		if attempt > 0 && !pause(ctx, attempt) {
			break
		}
		if c.try(ctx, req, o, attempt) {
			return o.last, nil
		}
	}
	if o.sent {
		o.last = Response{Result: caller.Unknown, RequestID: o.id}
	}
	return o.last, o.err
}

// try sends one copy. It returns true when the answer is final.
func (c *Client) try(ctx context.Context, req Request, o *order, attempt int) bool {
	hosts, prefix, err := c.hosts(ctx)
	if err != nil {
		o.err = err
		return false
	}
	if o.id == "" {
		o.id = newID(prefix)
		attempt = 0
	}
	s := c.send(ctx, hosts[attempt%len(hosts)], req, o.id)
	o.err = s.err
	switch {
	case !s.sent && !o.sent:
		// No copy was sent under this id, so that it can be given up.
		o.id = ""
		c.forget()
		return false
	case !s.sent:
		return false
	}
	o.sent = true
	if s.err != nil {
		return false
	}
	return o.take(s.response)
}

// take takes in a host's answer. It returns true when that is final.
func (o *order) take(r Response) bool {
	switch r.Result {
	case caller.NotRun:
		// The fleet never runs the id from now on.
		o.last = r
		o.id, o.sent = "", false
		return !worthRetry(r)
	case caller.Completed:
		o.last = r
		return true
	default:
		// Pending, or unknown to this host: its home may know more.
		return false
	}
}
