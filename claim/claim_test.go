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
	testKey   = Key{Account: "shop", Text: "order 17"}
	testPrint = caller.NewFingerprint("POST", "orders", "/orders", nil)
)

func testID(host string, n int) caller.RequestID {
	return caller.RequestID{Host: host, Incarnation: 1, Expires: time.Minute, Nonce: fmt.Sprint("n", n)}
}

// lateTable holds back writes: they are ambiguous at first and take effect
// when they are delivered.
type lateTable struct {
	storage.Table
	holding bool
	// meanwhile runs before a held write is reported as ambiguous.
	meanwhile func()
	late      [][]storage.Put
}

func (l *lateTable) Write(ctx context.Context, puts ...storage.Put) error {
	if l.holding {
		if l.meanwhile != nil {
			l.meanwhile()
		}
		l.late = append(l.late, puts)
		return storage.ErrAmbiguous
	}
	return l.Table.Write(ctx, puts...)
}

func (l *lateTable) deliver() {
	for _, puts := range l.late {
		_ = l.Table.Write(context.Background(), puts...)
	}
	l.late = nil
}

// The write of a claim is in doubt, cannot be read back, and takes effect
// after or before the id was settled as not run. The key is free either way.
func TestLateClaimOfAnIDThatWasNotRun(t *testing.T) {
	for _, early := range []bool{true, false} {
		is := is.New(t)
		ctx := context.Background()
		table := &lateTable{Table: memory.New(), holding: true}
		s := &Store{Table: table}
		first := testID("a", 1)
		_, err := s.Take(ctx, testKey, first, testPrint)
		is.True(errors.Is(err, ErrAway))
		table.holding = false
		if early {
			table.deliver()
		}
		is.NoErr(s.Settle(ctx, testKey, caller.Claim{ID: first, Print: testPrint, Outcome: caller.Outcome{Result: caller.NotRun}}))
		table.deliver()
		taken, err := s.Take(ctx, testKey, testID("b", 2), testPrint)
		is.NoErr(err)
		is.Equal(taken.Verdict, caller.KeyFree)
	}
}

// Another host claims the key while the first one's write is in doubt.
func TestKeyClaimedByAnotherWhileInDoubt(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := memory.New()
	table := &lateTable{Table: p, holding: true, meanwhile: func() {
		taken, err := (&Store{Table: p}).Take(ctx, testKey, testID("b", 2), testPrint)
		is.NoErr(err)
		is.Equal(taken.Verdict, caller.KeyFree)
	}}
	taken, err := (&Store{Table: table}).Take(ctx, testKey, testID("a", 1), testPrint)
	is.NoErr(err)
	is.Equal(taken.Verdict, caller.KeyHeld)
	is.Equal(taken.Claim.ID, testID("b", 2))
}

func TestLostAnswerToAClaimIsReadBack(t *testing.T) {
	is := is.New(t)
	p := memory.New()
	s := &Store{Table: p}
	p.Faults.LoseAnswers(1)
	taken, err := s.Take(context.Background(), testKey, testID("a", 1), testPrint)
	is.NoErr(err)
	is.Equal(taken.Verdict, caller.KeyFree)
	taken, err = s.Take(context.Background(), testKey, testID("b", 2), testPrint)
	is.NoErr(err)
	is.Equal(taken.Verdict, caller.KeyHeld)
	is.Equal(taken.Claim.ID, testID("a", 1))
}

// Over any history of faults, ends and holders that vanish, a key runs once at
// most.
func TestKeyRunsOnceOverAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := memory.New()
		table := &lateTable{Table: p}
		s := &Store{Table: table}
		ctx := context.Background()
		var open []caller.Claim
		taken, runs := 0, 0
		faults := map[string]func(){
			"none":        func() {},
			"down":        func() { p.Faults.Down(true) },
			"lose answer": func() { p.Faults.LoseAnswers(1) },
			"lose write":  func() { p.Faults.LoseWrites(1) },
			"late":        func() { table.holding = true },
		}
		strike := func(t *rapid.T) {
			faults[rapid.SampledFrom([]string{"none", "down", "lose answer", "lose write", "late"}).Draw(t, "fault")]()
		}
		heal := func() {
			p.Faults.Reset()
			table.holding = false
		}
		settle := func(t *rapid.T, c caller.Claim, result caller.Result) {
			c.Outcome = caller.Outcome{Result: result}
			strike(t)
			_ = s.Settle(ctx, testKey, c)
			heal()
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				taken++
				id := testID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host"), taken)
				strike(t)
				got, err := s.Take(ctx, testKey, id, testPrint)
				heal()
				switch {
				case err != nil:
					settle(t, caller.Claim{ID: id, Print: testPrint}, caller.NotRun)
				case got.Verdict == caller.KeyFree:
					open = append(open, got.Claim)
				}
			},
			"run": func(t *rapid.T) {
				if len(open) > 0 {
					runs++
					settle(t, open[0], caller.Completed)
					open = open[1:]
				}
			},
			"refuse": func(t *rapid.T) {
				if len(open) > 0 {
					settle(t, open[0], caller.NotRun)
					open = open[1:]
				}
			},
			"deliver": func(*rapid.T) { table.deliver() },
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
	p := memory.New()
	home := caller.NewHome("a", 3)
	l := NewLog(p, home)
	id := home.Mint()
	l.Add(Ended{Account: "shop", Request: id.String(), Result: caller.Completed, Status: 201})
	p.Faults.Down(true)
	is.True(l.Flush(ctx) != nil)
	p.Faults.Reset()
	is.NoErr(l.Flush(ctx))
	other := NewLog(p, caller.NewHome("b", 1))
	found, err := other.Find(ctx, "shop", id)
	is.NoErr(err)
	is.Equal(found, caller.Outcome{Result: caller.Completed, Status: 201})
	found, err = other.Find(ctx, "notary", id)
	is.NoErr(err)
	is.Equal(found.Result, caller.Unknown)
}

func TestLogIsBounded(t *testing.T) {
	is := is.New(t)
	p := memory.New()
	l := NewLog(p, caller.NewHome("a", 3))
	for range maxWaiting + 5 {
		l.Add(Ended{})
	}
	is.Equal(l.Dropped(), int64(5))
	l.waiting = nil
	var busy bool
	for range lookupBurst + 1 {
		_, err := l.Find(context.Background(), "shop", testID("x", 1))
		busy = errors.Is(err, ErrBusy)
	}
	is.True(busy)
}
