package caller

import "sync"

// Reservation is the memory that one request or connection holds of a Memory. It is safe for
// concurrent use. A nil Reservation has no limit.
type Reservation struct {
	memory *Memory

	mu    sync.Mutex
	held  int64
	freed bool
}

// NewReservation reserves n bytes that can grow. If the memory has transfers, it aborts slow ones
// as needed. It returns false when fewer than n bytes are left. A nil Memory has no limit.
func (m *Memory) NewReservation(n int64) (*Reservation, bool) {
	if m == nil {
		return nil, true
	}
	for !m.Reserve(n) {
		if !m.relieve(n) {
			return nil, false
		}
	}
	return &Reservation{memory: m, held: n}, true
}

// Grow reserves n bytes more. If the memory has transfers, it aborts slow ones as needed. It
// reserves nothing and returns false when fewer are left, or after Free.
func (r *Reservation) Grow(n int64) bool {
	for !r.GrowIfLeft(n) {
		// mu is not held here: an aborted transfer frees its own reservation.
		if r.isFreed() || !r.memory.relieve(n) {
			return false
		}
	}
	return true
}

// GrowIfLeft is like Grow but aborts no transfer.
func (r *Reservation) GrowIfLeft(n int64) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.freed || !r.memory.Reserve(n) {
		return false
	}
	r.held += n
	return true
}

func (r *Reservation) isFreed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.freed
}

// Shrink returns n of the reserved bytes.
func (r *Reservation) Shrink(n int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.freed {
		r.memory.Release(n)
		r.held -= n
	}
}

// Free returns all reserved bytes.
func (r *Reservation) Free() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.freed {
		r.memory.Release(r.held)
		r.held, r.freed = 0, true
	}
}
