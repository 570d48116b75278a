package caller_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocushinge/crocushinge/caller"
)

var (
	order = caller.NewFingerprint("POST", "", "/orders", []byte("10 sheets"))
	other = caller.NewFingerprint("POST", "", "/orders", []byte("99 sheets"))
)

func testID(nonce string, expires time.Duration) caller.RequestID {
	return caller.RequestID{Host: "a", Incarnation: 1, Expires: expires, Nonce: nonce}
}

// A delayed copy of a request arrives after another copy ended as not run. It must
// not be dispatched.
func TestNotRunIsFinal(t *testing.T) {
	is := is.New(t)
	l := caller.NewLedger(caller.DefaultLedgerLimits())
	id := testID("x", time.Minute)
	r, decision := l.Begin(0, "shop", id, order)
	is.Equal(decision, caller.Dispatch)
	r.End(caller.Outcome{Result: caller.NotRun})
	r, decision = l.Begin(0, "shop", id, order)
	is.Equal(decision, caller.Repeated) // the delayed copy must not be dispatched
	is.Equal(r.Outcome().Result, caller.NotRun)
}

// As TestNotRunIsFinal, but the first copy was refused before it was claimed.
func TestRefusalIsFinal(t *testing.T) {
	is := is.New(t)
	l := caller.NewLedger(caller.DefaultLedgerLimits())
	id := testID("x", time.Minute)
	is.Equal(l.Refuse(0, "shop", id).Result, caller.NotRun)
	_, decision := l.Begin(0, "shop", id, order)
	is.Equal(decision, caller.Repeated)
}

// As TestNotRunIsFinal, but the ledger had no room for a record of the refused
// copy.
func TestRefusalByAFullLedgerIsFinal(t *testing.T) {
	is := is.New(t)
	l := caller.NewLedger(caller.LedgerLimits{Records: 1})
	first, decision := l.Begin(0, "shop", testID("first", time.Second), order)
	is.Equal(decision, caller.Dispatch)
	delayed := testID("late", time.Minute)
	_, decision = l.Begin(0, "shop", delayed, order)
	is.Equal(decision, caller.Full)
	first.End(caller.Outcome{Result: caller.Completed, Status: 201})
	l.RemoveExpired(2 * time.Second)
	is.Equal(l.Len(), 0)
	_, decision = l.Begin(3*time.Second, "shop", delayed, order)
	is.Equal(decision, caller.Full)
	_, decision = l.Begin(3*time.Second, "shop", testID("late", 2*time.Minute), order)
	is.Equal(decision, caller.Dispatch) // there is room for an id that expires later
}

func TestIDOfAnotherRequestIsRefused(t *testing.T) {
	is := is.New(t)
	l := caller.NewLedger(caller.DefaultLedgerLimits())
	_, decision := l.Begin(0, "shop", testID("x", time.Minute), order)
	is.Equal(decision, caller.Dispatch)
	_, decision = l.Begin(0, "shop", testID("x", time.Minute), other)
	is.Equal(decision, caller.Mismatch)
	_, decision = l.Begin(0, "notary", testID("x", time.Minute), other)
	is.Equal(decision, caller.Dispatch) // each account has its own ids
}

// A goroutine reads the time and is paused until the record has been removed. It
// then calls Begin with the earlier time.
func TestBeginWithAnOldTimeIsRefused(t *testing.T) {
	is := is.New(t)
	l := caller.NewLedger(caller.DefaultLedgerLimits())
	id := testID("x", time.Minute)
	r, _ := l.Begin(0, "shop", id, order)
	r.End(caller.Outcome{Result: caller.Completed, Status: 201})
	l.RemoveExpired(time.Minute)
	_, decision := l.Begin(30*time.Second, "shop", id, order)
	is.Equal(decision, caller.Expired)
}

func TestResponsesAreKeptWithinTheLimit(t *testing.T) {
	is := is.New(t)
	l := caller.NewLedger(caller.LedgerLimits{Records: 10, ResponseBytes: 8})
	end := func(nonce string) caller.Outcome {
		r, _ := l.Begin(0, "shop", testID(nonce, time.Minute), order)
		response := &caller.Response{Status: 201, Body: []byte("12345")}
		r.End(caller.Outcome{Result: caller.Completed, Status: 201, Response: response})
		return r.Outcome()
	}
	is.True(end("a").Response != nil)
	second := end("b")
	is.True(second.Response == nil)
	is.Equal(second.Status, 201) // the outcome is kept without the response
	l.RemoveExpired(time.Minute)
	is.Equal(l.ResponseBytes(), int64(0))
}

func TestWaitEndsWithTheRequest(t *testing.T) {
	is := is.New(t)
	l := caller.NewLedger(caller.DefaultLedgerLimits())
	r, _ := l.Begin(0, "shop", testID("x", time.Minute), order)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(r.Wait(canceled).Result, caller.Pending)
	go r.End(caller.Outcome{Result: caller.Completed, Status: 201})
	is.Equal(r.Wait(context.Background()).Status, 201)
}

// Whatever the sequence of Begin, End, Refuse and RemoveExpired, with times up to 4 s
// old, no id is dispatched twice, or dispatched after it was refused as not run.
func TestLedgerDispatchesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := caller.NewLedger(caller.LedgerLimits{Records: 3, ResponseBytes: 64})
		dispatched, refused := make(map[string]bool), make(map[string]bool)
		pending := make(map[string]*caller.Record)
		id := func(t *rapid.T) caller.RequestID {
			expires := time.Duration(rapid.IntRange(1, 8).Draw(t, "expires")) * time.Second
			return testID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "nonce"), expires)
		}
		now := time.Duration(0)
		oldTime := func(t *rapid.T) time.Duration {
			return max(0, now-time.Duration(rapid.IntRange(0, 4).Draw(t, "late"))*time.Second)
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := id(t)
				r, decision := l.Begin(oldTime(t), "shop", id, order)
				switch decision {
				case caller.Dispatch:
					if dispatched[id.String()] || refused[id.String()] {
						t.Fatalf("%s dispatched after it was dispatched or refused", id)
					}
					dispatched[id.String()] = true
					pending[id.String()] = r
				case caller.Full:
					refused[id.String()] = true
				}
			},
			"refuse": func(t *rapid.T) {
				id := id(t)
				if l.Refuse(oldTime(t), "shop", id).Result == caller.NotRun {
					refused[id.String()] = true
				}
			},
			"end": func(*rapid.T) {
				for key, r := range pending {
					r.End(caller.Outcome{Result: caller.Completed, Status: 200})
					delete(pending, key)
				}
			},
			"forget": func(*rapid.T) {
				now += time.Second
				l.RemoveExpired(now)
			},
		})
	})
}
