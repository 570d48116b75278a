package traffic

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/host"
)

// A host outside the entry set that gets no answer about the signs of a
// service may not know that its targets leave.
func TestHostThatLearnsNoSignsSendsNoOrder(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echo)
	h := newTestHost(t, "a", target.address())
	var asked atomic.Int64
	h.handler.cfg.WantSigns = func(string) { asked.Add(1) }

	r := h.order("", "order")
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(r.result, "not-run")
	is.Equal(target.runs.Load(), int64(0))
	is.Equal(asked.Load(), int64(1))

	// No harm is done by an idempotent request.
	is.Equal(h.ask(context.Background(), http.MethodGet, "/prices", "", "").result, "completed")
	is.Equal(target.runs.Load(), int64(1))

	// A host of the set hears of signs without asking.
	snap := h.newSnapshot([]string{target.address()})
	snap.EntrySets = map[string]host.EntrySet{"shop": {Members: []host.Identity{snap.Self}}}
	h.snapshot.Store(snap)
	is.Equal(h.order("", "order").result, "completed")
	is.Equal(target.runs.Load(), int64(2))
}
