package caller

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowWrite is how long a write must have waited for its peer before the transfer counts as
	// slow. Writes to peers that read wait for some round trips at most.
	slowWrite = 500 * time.Millisecond
	// rateTime is the time over which the rate of a transfer is averaged, so that a peer that
	// has stalled is soon slower than one that reads steadily.
	rateTime = 4 * time.Second
)

// AbortReason says which limit a transfer was aborted for.
type AbortReason int

// The reasons. ProcessMemory is the limit of all transfers, and ConnectionMemory that of one
// connection.
const (
	NotAborted AbortReason = iota
	ProcessMemory
	ConnectionMemory
)

// Transfers are the messages that hold memory while their peers receive them, such as responses to
// callers. When a reservation of that memory fails, the transfer whose peer receives slowest is
// aborted in favor of the new one. It is safe for concurrent use. A nil Transfers aborts nothing.
type Transfers struct {
	now func() time.Time

	mu     sync.Mutex
	active map[*Transfer]struct{}
}

// NewTransfers returns the transfers of a memory, which must have no parts yet.
func NewTransfers(memory *Memory, now func() time.Time) *Transfers {
	s := &Transfers{now: now, active: make(map[*Transfer]struct{})}
	memory.transfers = s
	return s
}

// Transfer is one message on its way to a peer. A nil Transfer is never aborted.
type Transfer struct {
	set   *Transfers
	held  *Reservation
	abort func(AbortReason)

	aborted atomic.Int32
	mu      sync.Mutex
	// writing is set while a write waits for the peer, since writeBegan.
	writing    bool
	writeBegan time.Time
	// bytes and waited are the bytes that the peer has received and the time that writes took,
	// in seconds. Both decay within rateTime.
	bytes, waited float64
}

// Begin registers a transfer that holds a reservation. If it is aborted, its reservation is freed
// and abort is called, which must end its writes and not wait.
func (s *Transfers) Begin(held *Reservation, abort func(AbortReason)) *Transfer {
	if s == nil {
		return nil
	}
	t := &Transfer{set: s, held: held, abort: abort}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[t] = struct{}{}
	return t
}

// End unregisters the transfer.
func (t *Transfer) End() {
	if t == nil {
		return
	}
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	delete(t.set.active, t)
}

// Aborted returns why the transfer was aborted.
func (t *Transfer) Aborted() AbortReason {
	if t == nil {
		return NotAborted
	}
	return AbortReason(t.aborted.Load())
}

// BeginWrite records that a write waits for the peer from now on.
func (t *Transfer) BeginWrite() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writing, t.writeBegan = true, t.set.now()
}

// EndWrite records that the peer has taken n bytes. It has no effect without BeginWrite.
func (t *Transfer) EndWrite(n int) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.writing {
		return
	}
	t.writing = false
	t.bytes, t.waited = t.decayed(t.set.now())
	t.bytes += float64(n)
}

// decayed returns the bytes and the time of writes at a moment of the current write.
func (t *Transfer) decayed(now time.Time) (bytes, waited float64) {
	elapsed := now.Sub(t.writeBegan).Seconds()
	keep := math.Exp(-elapsed / rateTime.Seconds())
	return t.bytes * keep, t.waited*keep + elapsed
}

// slowness returns the rate of the transfer in bytes per second and how long its write has waited.
// It returns false if no write has waited for slowWrite.
func (t *Transfer) slowness(now time.Time) (rate float64, waiting time.Duration, slow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting = now.Sub(t.writeBegan)
	if !t.writing || waiting < slowWrite {
		return 0, 0, false
	}
	bytes, waited := t.decayed(now)
	return bytes / waited, waiting, true
}

// abortSlowest aborts the slowest of the transfers that reserve from a memory, or of all if it is
// nil. Of equally slow ones it aborts the one whose write has waited longest. It returns false if
// no transfer is slow.
func (s *Transfers) abortSlowest(memory *Memory) bool {
	now := s.now()
	t := s.takeSlowest(memory, now)
	if t == nil {
		return false
	}
	reason := ProcessMemory
	if memory != nil {
		reason = ConnectionMemory
	}
	t.aborted.Store(int32(reason))
	t.held.Free()
	t.abort(reason)
	return true
}

// takeSlowest unregisters the transfer to abort and returns it, or nil.
func (s *Transfers) takeSlowest(memory *Memory, now time.Time) *Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var slowest *Transfer
	var lowest float64
	var longest time.Duration
	for t := range s.active {
		if memory != nil && t.held.memory != memory {
			continue
		}
		rate, waiting, slow := t.slowness(now)
		if !slow || slowest != nil && (rate > lowest || rate == lowest && waiting <= longest) {
			continue
		}
		slowest, lowest, longest = t, rate, waiting
	}
	delete(s.active, slowest)
	return slowest
}
