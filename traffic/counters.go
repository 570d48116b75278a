package traffic

import (
	"net/http"
	"sync/atomic"

	"github.com/crocushinge/crocushinge/caller"
)

// Counters count what callers were told, since the host began.
type Counters struct {
	// Completed, NotRun, Unknown and Pending count answers by their result.
	Completed, NotRun, Unknown, Pending atomic.Int64
	// Cut counts the answers that were aborted because the target's answer
	// was not whole.
	Cut atomic.Int64
	// Retries counts the attempts beyond the first of a request.
	Retries atomic.Int64
	// Forwarded counts the requests passed on to the home host of their id.
	Forwarded atomic.Int64
	// Denied counts the requests with missing or wrong credentials, and those
	// of an account that may not use the service.
	Denied atomic.Int64
}

// Counters returns the counters of the handler.
func (h *Handler) Counters() *Counters { return &h.counters }

// count counts the end of a request, also when it is aborted.
func (c *Counters) count(header http.Header, whole *bool) {
	if !*whole {
		c.Cut.Add(1)
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
