package timeline

import "sync"

// Outbox is a bounded queue of the events that are still to be written to the
// object store. It is safe for concurrent use.
type Outbox struct {
	mu       sync.Mutex
	capacity int
	events   []Event
	dropped  int64
}

// NewOutbox returns an empty outbox that holds at most capacity events.
func NewOutbox(capacity int) *Outbox { return &Outbox{capacity: capacity} }

// Add appends an event. When the outbox is full, the new event is dropped and
// counted, so that events that led to an outage are kept rather than those after
// it.
func (o *Outbox) Add(e Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.events) >= o.capacity {
		o.dropped++
		return
	}
	o.events = append(o.events, e)
}

// Peek returns the queued events, oldest first. They stay queued until Remove.
func (o *Outbox) Peek() []Event {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Event(nil), o.events...)
}

// Remove deletes the oldest n events. It is called once they are written.
func (o *Outbox) Remove(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = append([]Event(nil), o.events[n:]...)
}

// Dropped returns how many events were dropped since the start.
func (o *Outbox) Dropped() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// Len returns the number of queued events.
func (o *Outbox) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.events)
}
