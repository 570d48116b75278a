package traffic

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/host"
)

// TestNonIdempotentRequestFailsWithoutLeaveSignals covers a host that is not an entry
// host, asks which targets are leaving, and gets no response. It must not send a
// non-idempotent request, because the target could be leaving.
func TestNonIdempotentRequestFailsWithoutLeaveSignals(t *testing.T) {
	is := is.New(t)
	target := newCountingTarget(t, echo)
	h := newTestHost(t, "a", target.address())
	var queries atomic.Int64
	h.handler.cfg.RequestLeaveSignals = func(string) { queries.Add(1) }

	resp := h.sendOrder("", "order")
	is.NoErr(resp.err)
	is.Equal(resp.status, http.StatusBadGateway)
	is.Equal(resp.result, "not-run")
	is.Equal(target.requestCount.Load(), int64(0))
	is.Equal(queries.Load(), int64(1))

	// An idempotent request is sent: it is harmless to run it twice.
	is.Equal(h.send(context.Background(), http.MethodGet, "/prices", "", "").result, "completed")
	is.Equal(target.requestCount.Load(), int64(1))

	// An entry host receives the leave signals without asking.
	snap := h.newSnapshot([]string{target.address()})
	snap.EntrySets = map[string]host.EntrySet{"shop": {Members: []host.Identity{snap.Self}}}
	h.snapshot.Store(snap)
	is.Equal(h.sendOrder("", "order").result, "completed")
	is.Equal(target.requestCount.Load(), int64(2))
}
