package pool

import (
	"sync/atomic"

	"github.com/crocushinge/crocushinge/caller"
)

// Waiting is how many requests of each class wait at a host for a slot of a service.
type Waiting [caller.Classes]int

// Total returns the number of all classes.
func (w Waiting) Total() int {
	total := 0
	for _, n := range w {
		total += n
	}
	return total
}

// waitingCounts are the requests that wait for slots of a service. Traffic sets those of this host,
// and the control thread those of the others.
type waitingCounts struct{ own, others [caller.Classes]atomic.Int32 }

// elsewhere returns the requests that wait at other hosts.
func (w *waitingCounts) elsewhere() (counts [caller.Classes]int) {
	for c := range counts {
		counts[c] = int(max(0, w.others[c].Load()))
	}
	return counts
}

// SetWaiting publishes how many requests wait at this host. It reports whether that differs from
// before.
func (r *Routing) SetWaiting(w Waiting) (changed bool) {
	for c, n := range w {
		if r.waiting.own[c].Swap(int32(n)) != int32(n) {
			changed = true
		}
	}
	return changed
}

// Waiting returns how many requests wait at this host.
func (s *Service) Waiting() Waiting {
	var w Waiting
	for c := range w {
		w[c] = int(s.waiting.own[c].Load())
	}
	return w
}

// AddWaitingElsewhere adds requests that wait at another host, and RemoveWaitingElsewhere removes
// them.
func (s *Service) AddWaitingElsewhere(w Waiting) {
	for c, n := range w {
		s.waiting.others[c].Add(int32(n))
	}
}

// RemoveWaitingElsewhere removes requests that AddWaitingElsewhere has added.
func (s *Service) RemoveWaitingElsewhere(w Waiting) {
	for c, n := range w {
		s.waiting.others[c].Add(int32(-n))
	}
}
