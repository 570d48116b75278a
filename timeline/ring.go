package timeline

import "sync"

// Ring is a ring buffer of the latest events of a process. It is safe for
// concurrent use.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   int
	full   bool
	// added is closed and replaced by each Add, to wake readers that follow the
	// events.
	added chan struct{}
}

// NewRing returns an empty ring that holds the last capacity events.
func NewRing(capacity int) *Ring {
	return &Ring{events: make([]Event, capacity), added: make(chan struct{})}
}

// Add appends an event, overwriting the oldest when the ring is full.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	r.full = r.full || r.next == 0
	close(r.added)
	r.added = make(chan struct{})
}

// After returns the buffered events later than stamp s, oldest first, and a
// channel that is closed when the next event is added.
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
	return out, r.added
}

// Oldest returns the stamp of the oldest buffered event, or the zero stamp when
// the ring is empty.
func (r *Ring) Oldest() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full {
		return r.events[r.next].Stamp
	}
	return r.events[0].Stamp
}
