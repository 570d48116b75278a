package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/storage/memory"
)

var (
	testKey         = Key{Account: "shop", Text: "order 17"}
	testFingerprint = caller.NewFingerprint("POST", "orders", "/orders", nil)
)

func testID(host string, n int) caller.RequestID {
	return caller.RequestID{Host: host, Incarnation: 1, Expires: time.Minute, Nonce: fmt.Sprint("n", n)}
}

// delayedTable delays writes: while delaying is set, a write fails as ambiguous and
// takes effect only in applyDelayed.
type delayedTable struct {
	storage.Table
	delaying bool
	// beforeReturn is called, if set, before a delayed write fails.
	beforeReturn func()
	delayed      [][]storage.Put
}

func (d *delayedTable) Write(ctx context.Context, puts ...storage.Put) error {
	if d.delaying {
		if d.beforeReturn != nil {
			d.beforeReturn()
		}
		d.delayed = append(d.delayed, puts)
		return storage.ErrAmbiguous
	}
	return d.Table.Write(ctx, puts...)
}

func (d *delayedTable) applyDelayed() {
	for _, puts := range d.delayed {
		_ = d.Table.Write(context.Background(), puts...)
	}
	d.delayed = nil
}

// The write of a claim fails as ambiguous, and reading the key back doesn't show the
// claim. The write takes effect before or after the id is settled as not run. In both
// cases the key is free afterwards.
func TestDelayedClaimOfAnIDThatWasNotRun(t *testing.T) {
	for _, beforeSettle := range []bool{true, false} {
		is := is.New(t)
		ctx := context.Background()
		table := &delayedTable{Table: memory.New(), delaying: true}
		s := &Store{Table: table}
		first := testID("a", 1)
		_, err := s.Claim(ctx, testKey, first, testFingerprint)
		is.True(errors.Is(err, ErrUndecided))
		table.delaying = false
		if beforeSettle {
			table.applyDelayed()
		}
		is.NoErr(s.Settle(ctx, testKey, caller.Claim{ID: first, Fingerprint: testFingerprint, Outcome: caller.Outcome{Result: caller.NotRun}}))
		table.applyDelayed()
		claimed, err := s.Claim(ctx, testKey, testID("b", 2), testFingerprint)
		is.NoErr(err)
		is.Equal(claimed.Decision, caller.KeyFree)
	}
}

// Another host claims the key while the outcome of the first host's write is unknown.
func TestKeyClaimedByAnotherHostDuringAmbiguousWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	mem := memory.New()
	table := &delayedTable{Table: mem, delaying: true, beforeReturn: func() {
		claimed, err := (&Store{Table: mem}).Claim(ctx, testKey, testID("b", 2), testFingerprint)
		is.NoErr(err)
		is.Equal(claimed.Decision, caller.KeyFree)
	}}
	claimed, err := (&Store{Table: table}).Claim(ctx, testKey, testID("a", 1), testFingerprint)
	is.NoErr(err)
	is.Equal(claimed.Decision, caller.KeyHeld)
	is.Equal(claimed.Claim.ID, testID("b", 2))
}

func TestClaimWithLostResponseIsReadBack(t *testing.T) {
	is := is.New(t)
	mem := memory.New()
	s := &Store{Table: mem}
	mem.Faults.LoseResponses(1)
	claimed, err := s.Claim(context.Background(), testKey, testID("a", 1), testFingerprint)
	is.NoErr(err)
	is.Equal(claimed.Decision, caller.KeyFree)
	claimed, err = s.Claim(context.Background(), testKey, testID("b", 2), testFingerprint)
	is.NoErr(err)
	is.Equal(claimed.Decision, caller.KeyHeld)
	is.Equal(claimed.Claim.ID, testID("a", 1))
}

// Whatever the sequence of requests, outcomes and table faults, and even if some ids
// never report an outcome, the request of a key runs at most once.
func TestKeyRunsOnceOverAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mem := memory.New()
		table := &delayedTable{Table: mem}
		s := &Store{Table: table}
		ctx := context.Background()
		var pending []caller.Claim
		claims, runs := 0, 0
		faults := map[string]func(){
			"none":        func() {},
			"down":        func() { mem.Faults.SetDown(true) },
			"lose answer": func() { mem.Faults.LoseResponses(1) },
			"lose write":  func() { mem.Faults.LoseWrites(1) },
			"late":        func() { table.delaying = true },
		}
		injectFault := func(t *rapid.T) {
			faults[rapid.SampledFrom([]string{"none", "down", "lose answer", "lose write", "late"}).Draw(t, "fault")]()
		}
		clearFaults := func() {
			mem.Faults.Reset()
			table.delaying = false
		}
		settle := func(t *rapid.T, c caller.Claim, result caller.Result) {
			c.Outcome = caller.Outcome{Result: result}
			injectFault(t)
			_ = s.Settle(ctx, testKey, c)
			clearFaults()
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				claims++
				id := testID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host"), claims)
				injectFault(t)
				got, err := s.Claim(ctx, testKey, id, testFingerprint)
				clearFaults()
				switch {
				case err != nil:
					settle(t, caller.Claim{ID: id, Fingerprint: testFingerprint}, caller.NotRun)
				case got.Decision == caller.KeyFree:
					pending = append(pending, got.Claim)
				}
			},
			"run": func(t *rapid.T) {
				if len(pending) > 0 {
					runs++
					settle(t, pending[0], caller.Completed)
					pending = pending[1:]
				}
			},
			"refuse": func(t *rapid.T) {
				if len(pending) > 0 {
					settle(t, pending[0], caller.NotRun)
					pending = pending[1:]
				}
			},
			"deliver": func(*rapid.T) { table.applyDelayed() },
			"": func(t *rapid.T) {
				if runs > 1 {
					t.Fatalf("the key ran %d times", runs)
				}
			},
		})
	})
}

func TestLogFindsOutcomesAfterAnOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	mem := memory.New()
	home := caller.NewHomeHost("a", 3)
	l := NewOutcomeLog(mem, home)
	id := home.NewID()
	l.Add(RequestOutcome{Account: "shop", Request: id.String(), Result: caller.Completed, Status: 201})
	mem.Faults.SetDown(true)
	is.True(l.Flush(ctx) != nil)
	mem.Faults.Reset()
	is.NoErr(l.Flush(ctx))
	other := NewOutcomeLog(mem, caller.NewHomeHost("b", 1))
	found, err := other.Find(ctx, "shop", id)
	is.NoErr(err)
	is.Equal(found, caller.Outcome{Result: caller.Completed, Status: 201})
	found, err = other.Find(ctx, "notary", id)
	is.NoErr(err)
	is.Equal(found.Result, caller.Unknown)
}

func TestLogLimitsPendingOutcomesAndLookups(t *testing.T) {
	is := is.New(t)
	mem := memory.New()
	l := NewOutcomeLog(mem, caller.NewHomeHost("a", 3))
	for range maxPendingOutcomes + 5 {
		l.Add(RequestOutcome{})
	}
	is.Equal(l.Dropped(), int64(5))
	l.pending = nil
	var busy bool
	for range lookupBurst + 1 {
		_, err := l.Find(context.Background(), "shop", testID("x", 1))
		busy = errors.Is(err, ErrLookupLimit)
	}
	is.True(busy)
}
