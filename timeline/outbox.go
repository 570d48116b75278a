package timeline

import "sync"

// Outbox holds the events that wait to be written to the object store. It is
// safe for concurrent use.
type Outbox struct {
	mu       sync.Mutex
	capacity int
	events   []Event
	dropped  int64
}

// NewOutbox returns an outbox for at most the given number of events.
func NewOutbox(capacity int) *Outbox { return &Outbox{capacity: capacity} }

// Add appends an event. When the outbox is full the event is dropped and
// counted: what led to an outage is kept rather than what followed.
func (o *Outbox) Add(e Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.events) >= o.capacity {
		o.dropped++
		return
	}
	o.events = append(o.events, e)
}

// Peek returns the waiting events, oldest first. They wait until Remove.
func (o *Outbox) Peek() []Event {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Event(nil), o.events...)
}

// Remove takes out the oldest n events, once they are written.
func (o *Outbox) Remove(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = append([]Event(nil), o.events[n:]...)
}

// Dropped returns how many events were dropped.
func (o *Outbox) Dropped() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// Len returns the number of waiting events.
func (o *Outbox) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.events)
}
