package traffic

import (
	"net/http"
	"sync/atomic"

	"github.com/crocushinge/crocushinge/caller"
)

// Counters count requests, attempts and responses since the host started.
type Counters struct {
	// Completed, NotRun, Unknown and Pending count responses by result.
	Completed, NotRun, Unknown, Pending atomic.Int64
	// Aborted counts responses to callers that were aborted because the response from
	// the target or from another host was incomplete.
	Aborted atomic.Int64
	// Retries counts attempts beyond the first of a request.
	Retries atomic.Int64
	// Forwarded counts requests forwarded to the home host of their id.
	Forwarded atomic.Int64
	// UnreadableNotices counts responses in which a target stated a rate limit or a
	// Retry-After that cannot be read.
	UnreadableNotices atomic.Int64
	// Denied counts requests with missing or wrong credentials and those of accounts
	// that may not use the service.
	Denied atomic.Int64
}

// Counters returns the counters of the handler.
func (h *Handler) Counters() *Counters { return &h.counters }

// count counts the response to a request. complete points to false if the handler
// panicked to abort the response. It is a pointer because the call is deferred before
// the value is known.
func (c *Counters) count(header http.Header, complete *bool) {
	if !*complete {
		c.Aborted.Add(1)
		return
	}
	switch result, _ := caller.ParseResult(header.Get(HeaderResult)); result {
	case caller.Completed:
		c.Completed.Add(1)
	case caller.NotRun:
		c.NotRun.Add(1)
	case caller.Pending:
		c.Pending.Add(1)
	default:
		c.Unknown.Add(1)
	}
}
