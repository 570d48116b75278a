package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errSignsUnknown means that the request was not sent, because a target that
// leaves could have got it.
var errLeavingUnknown = errors.New("this host reaches no host that knows which targets leave")

// signsWait is how long a request waits for the signs of its service.
const leaveSignalTimeout = 300 * time.Millisecond

// awaitSigns waits until this host knows which targets of the request's service
// leave: a host outside the entry set must ask the set first. Without an answer
// a non-idempotent request is not sent. An idempotent one is: no host of the
// set answered it either, and a doubled one does no harm.
func (h *Handler) awaitLeaveSignals(ctx context.Context, req *request) error {
	name := req.match.Service
	if h.cfg.WantSigns == nil || h.cfg.Snapshot().KnowsSigns(name, time.Now()) {
		return nil
	}
	patience := time.NewTimer(leaveSignalTimeout)
	defer patience.Stop()
	h.cfg.WantSigns(name)
	for {
		changed := h.snapshotChanges.next()
		snap := h.cfg.Snapshot()
		if snap.KnowsSigns(name, time.Now()) {
			return nil
		}
		select {
		case <-changed:
			continue
		case <-patience.C:
		case <-ctx.Done():
		}
		if req.match.Route.Idempotent || snap.Fronts(name) {
			return nil
		}
		return errLeavingUnknown
	}
}

// changes wakes those who wait for the next snapshot.
type changeNotifier struct {
	mu sync.Mutex
	// changed is closed at the next change; nil while nobody waits.
	changed chan struct{}
}

// next returns a channel that is closed at the next change.
func (c *changeNotifier) next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// announce wakes all who wait.
func (c *changeNotifier) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}
