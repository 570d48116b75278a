// Package fault holds the faults of a stand-in for the platform: which calls
// fail, and how. Tests and the stand-in's control endpoint switch them on.
package fault

import (
	"context"
	"sync"
	"time"

	"github.com/crocushinge/crocushinge/internal/wait"
)

// Verdict says what a stand-in does with one call.
type Verdict int

// The verdicts on a call.
const (
	// Pass lets the call through.
	Pass Verdict = iota
	// Fail answers nothing; the call has no effect.
	Fail
	// Throttle rejects the call as one too many; it has no effect.
	Throttle
	// LoseAnswer lets a write take effect and loses the answer.
	LoseAnswer
	// LoseWrite loses a write: it has no effect and gets no answer.
	LoseWrite
)

var verdictNames = [...]string{"pass", "fail", "throttle", "lose-answer", "lose-write"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Call tells reads from writes.
type Call int

// The kinds of call.
const (
	Read Call = iota
	Write
)

// State is the faults that are switched on.
type State struct {
	// Down makes every call fail without effect.
	Down bool
	// Delay holds every call back before it takes effect.
	Delay time.Duration
	// Throttled is how many of the next calls are rejected.
	Throttled int
	// LostAnswers is how many of the next writes take effect without an
	// answer.
	LostAnswers int
	// LostWrites is how many of the next writes have neither effect nor
	// answer.
	LostWrites int
	// Stale freezes the host list.
	Stale bool
}

// Set holds the faults of one stand-in. The zero value has none. It is safe
// for concurrent use.
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

// Replace switches on the faults of state and every other off.
func (s *Set) Replace(state State) { s.change(func(st *State) { *st = state }) }

// Reset switches every fault off.
func (s *Set) Reset() { s.Replace(State{}) }

// Down makes every call fail without effect until it is switched off.
func (s *Set) Down(on bool) { s.change(func(st *State) { st.Down = on }) }

// Slow delays every call before it takes effect; 0 switches the delay off.
func (s *Set) Slow(delay time.Duration) { s.change(func(st *State) { st.Delay = delay }) }

// Throttle rejects the next n calls.
func (s *Set) Throttle(n int) { s.change(func(st *State) { st.Throttled = n }) }

// LoseAnswers lets the next n writes take effect and loses their answers.
func (s *Set) LoseAnswers(n int) { s.change(func(st *State) { st.LostAnswers = n }) }

// LoseWrites loses the next n writes before they take effect. The client
// cannot tell them from those of LoseAnswers.
func (s *Set) LoseWrites(n int) { s.change(func(st *State) { st.LostWrites = n }) }

// Stale freezes the host list as it is until it is switched off.
func (s *Set) Stale(on bool) { s.change(func(st *State) { st.Stale = on }) }

func (s *Set) change(f func(*State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.state)
}

// Next waits for as long as calls are slowed and returns the verdict on a
// call. It fails with the context's error when that ends first.
func (s *Set) Next(ctx context.Context, call Call) (Verdict, error) {
	if err := hold(ctx, s.State().Delay); err != nil {
		return Fail, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.state.Down:
		return Fail, nil
	case take(&s.state.Throttled):
		return Throttle, nil
	case call == Write && take(&s.state.LostAnswers):
		return LoseAnswer, nil
	case call == Write && take(&s.state.LostWrites):
		return LoseWrite, nil
	default:
		return Pass, nil
	}
}

// take uses up one of n; it returns false when none is left.
func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// hold blocks for a delay or until ctx ends.
func hold(ctx context.Context, delay time.Duration) error {
	if delay > 0 && wait.For(ctx, delay) {
		return nil
	}
	return ctx.Err()
}
