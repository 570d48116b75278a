// Package fault injects faults into the calls to an in-memory platform or to the
// stand-in for the platform's services. Tests and the control endpoint of the
// stand-in switch the faults on.
package fault

import (
	"context"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/internal/wait"
)

// Action says how to handle one call.
type Action int

// The ways to handle a call.
const (
	// Pass carries the call out normally.
	Pass Action = iota
	// Fail sends no response; the call has no effect.
	Fail
	// Throttle rejects the call with the error for too many calls; the call has no
	// effect.
	Throttle
	// LoseResponse carries a write out and sends no response.
	LoseResponse
	// LoseWrite drops a write: it has no effect and gets no response.
	LoseWrite
)

var actionNames = [...]string{"pass", "fail", "throttle", "lose-answer", "lose-write"}

// String returns the name for error messages.
func (a Action) String() string { return actionNames[a] }

// CallKind is the kind of a call: a read or a write.
type CallKind int

// The kinds of call.
const (
	Read CallKind = iota
	Write
)

// State describes the faults that are switched on. The counters decrease with
// each call that they affect.
type State struct {
	// Down makes every call fail without effect.
	Down bool
	// Delay is how long every call is held back before it takes effect.
	Delay time.Duration
	// Throttled is the number of calls still to be rejected.
	Throttled int
	// LostResponses is the number of writes still to take effect without a
	// response.
	LostResponses int
	// LostWrites is the number of writes still to be dropped without effect or
	// response.
	LostWrites int
	// Stale freezes the content of the host list and its AsOf time.
	Stale bool
}

// Set holds the faults of one service. The zero value has none switched on. It
// is safe for concurrent use.
type Set struct {
	mu    sync.Mutex
	state State
}

// State returns the faults that are switched on.
func (s *Set) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Replace switches on the faults in state and switches off all others.
func (s *Set) Replace(state State) { s.update(func(st *State) { *st = state }) }

// Reset switches all faults off.
func (s *Set) Reset() { s.Replace(State{}) }

// SetDown sets whether every call fails without effect.
func (s *Set) SetDown(on bool) { s.update(func(st *State) { st.Down = on }) }

// SetDelay makes every call wait for a delay before it takes effect; 0 switches the
// delay off.
func (s *Set) SetDelay(delay time.Duration) { s.update(func(st *State) { st.Delay = delay }) }

// Throttle rejects the next n calls.
func (s *Set) Throttle(n int) { s.update(func(st *State) { st.Throttled = n }) }

// LoseResponses makes the next n writes take effect without a response.
func (s *Set) LoseResponses(n int) { s.update(func(st *State) { st.LostResponses = n }) }

// LoseWrites drops the next n writes before they take effect. To the client they
// look the same as writes that took effect and whose response was lost.
func (s *Set) LoseWrites(n int) { s.update(func(st *State) { st.LostWrites = n }) }

// SetStale sets whether the content of the host list and its AsOf time are frozen.
func (s *Set) SetStale(on bool) { s.update(func(st *State) { st.Stale = on }) }

// update changes the faults under the lock.
func (s *Set) update(f func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.state)
}

// Next waits for the delay that is switched on and returns how to handle the
// call. It fails with the context's error if the context ends first.
func (s *Set) Next(ctx context.Context, call CallKind) (Action, error) {
	if err := sleep(ctx, s.State().Delay); err != nil {
		return Fail, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.state.Down:
		return Fail, nil
	case consume(&s.state.Throttled):
		return Throttle, nil
	case call == Write && consume(&s.state.LostResponses):
		return LoseResponse, nil
	case call == Write && consume(&s.state.LostWrites):
		return LoseWrite, nil
	default:
		return Pass, nil
	}
}

// consume decrements a counter and reports whether it was above 0.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// sleep blocks for a delay. It fails with the context's error if ctx ends first.
func sleep(ctx context.Context, delay time.Duration) error {
	if delay > 0 && wait.For(ctx, delay) {
		return nil
	}
	return ctx.Err()
}
