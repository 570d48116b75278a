package timeline

import "sync"

// Ring keeps the last events of a process for readers. It is safe for
// concurrent use.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   int
	full   bool
	// wake is closed and replaced at each Add, for followers.
	wake chan struct{}
}

// NewRing returns a ring for the given number of events.
func NewRing(capacity int) *Ring {
	return &Ring{events: make([]Event, capacity), wake: make(chan struct{})}
}

// Add appends an event, overwriting the oldest when the ring is full.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	r.full = r.full || r.next == 0
	close(r.wake)
	r.wake = make(chan struct{})
}

// After returns the kept events later than a stamp, oldest first, and a
// channel that is closed when another event is added.
func (r *Ring) After(s Stamp) ([]Event, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	start, count := 0, r.next
	if r.full {
		start, count = r.next, len(r.events)
	}
	for i := range count {
		if e := r.events[(start+i)%len(r.events)]; s.Before(e.Stamp) {
			out = append(out, e)
		}
	}
	return out, r.wake
}

// Oldest returns the stamp of the oldest kept event; the zero stamp when there
// is none.
func (r *Ring) Oldest() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full {
		return r.events[r.next].Stamp
	}
	return r.events[0].Stamp
}
