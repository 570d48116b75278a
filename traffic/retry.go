package traffic

import (
	"context"
	"net/http"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/link"
)

// maxAttempts is how many targets a request is sent to at most.
const maxAttempts = 3

// serveIdempotent sends a request to further targets while attempts fail.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, req *request) {
	tried := make(map[*link.Link]bool)
	result := caller.NotRun
	var err error
	for range maxAttempts {
		var a *attempt
		a, err = h.dispatch(ctx, req, tried)
		if err == nil {
			h.deliver(w, a)
			return
		}
		if !a.certainlyNotRun() {
			result = caller.Unknown
		}
		if a == nil {
			break
		}
		tried[a.link] = true
	}
	failure(result, err).write(w)
}

// deliver passes an answer on. A broken answer aborts the connection to the
// caller, so that it cannot be taken for a whole one.
func (h *Handler) deliver(w http.ResponseWriter, a *attempt) {
	if !bounded(a.response) {
		a.fail()
		failure(caller.Unknown, errUnbounded).write(w)
		return
	}
	a.writeHead(w, caller.Completed)
	if err := a.stream(w, nil); err != nil {
		a.fail()
		panic(http.ErrAbortHandler)
	}
	a.close()
}
