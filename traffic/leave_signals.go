package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errLeavingUnknown means that the request was not sent because this host does not
// know which targets are leaving.
var errLeavingUnknown = errors.New("this host reaches no host that knows which targets leave")

// leaveSignalTimeout limits how long a request waits for the leave signals of its
// service.
const leaveSignalTimeout = 300 * time.Millisecond

// awaitLeaveSignals waits until this host knows which targets of the request's service
// are leaving. A host that is not an entry host must first ask one. If none responds in
// time, a non-idempotent request fails. An idempotent request is sent nevertheless: no
// entry host has responded to that request either, and it is harmless to run it twice.
func (h *Handler) awaitLeaveSignals(ctx context.Context, req *request) error {
	name := req.match.Service
	if h.cfg.RequestLeaveSignals == nil || h.cfg.Snapshot().KnowsLeaveSignals(name, time.Now()) {
		return nil
	}
	timeout := time.NewTimer(leaveSignalTimeout)
	defer timeout.Stop()
	h.cfg.RequestLeaveSignals(name)
	for {
		changed := h.snapshotChanges.next()
		snap := h.cfg.Snapshot()
		if snap.KnowsLeaveSignals(name, time.Now()) {
			return nil
		}
		select {
		case <-changed:
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		if req.match.Route.Idempotent || snap.IsEntryHost(name) {
			return nil
		}
		return errLeavingUnknown
	}
}

// changeNotifier wakes the goroutines that wait for the next change. It is safe for
// concurrent use.
type changeNotifier struct {
	mu sync.Mutex
	// changed is closed at the next change. It is nil if nothing waits for it.
	changed chan struct{}
}

// next returns a channel that is closed at the next change.
func (n *changeNotifier) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

// notify wakes all waiting goroutines.
func (n *changeNotifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}
