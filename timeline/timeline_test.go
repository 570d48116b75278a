package timeline

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func stampAt(wall int64) Stamp { return Stamp{Wall: wall} }

// Hosts whose clocks are up to a minute wrong exchange messages. The merged
// timeline must hold every event once, and each event after those that its host
// had received. Ordering by wall time alone would put effects before causes.
func TestMergeOrdersCausesBeforeEffects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		const hosts, steps = 4, 60
		var clocks [hosts]Clock
		var lists [hosts][]Event
		skew := [hosts]time.Duration{0, time.Minute, -time.Minute, time.Millisecond}
		now := time.UnixMilli(1_700_000_000_000)
		type pair struct{ before, after Event }
		var causes []pair
		for range steps {
			now = now.Add(time.Duration(rng.IntN(3)) * time.Millisecond)
			h := rng.IntN(hosts)
			e := Event{Host: string(rune('a' + h)), Stamp: clocks[h].Now(now.Add(skew[h]))}
			if from := rng.IntN(hosts); len(lists[from]) > 0 && from != h {
				cause := lists[from][len(lists[from])-1]
				e.Stamp = clocks[h].Observe(now.Add(skew[h]), cause.Stamp)
				causes = append(causes, pair{cause, e})
			}
			lists[h] = append(lists[h], e)
		}
		merged := Merge(lists[0], lists[1], lists[2], lists[3], lists[1])
		if len(merged) != steps {
			t.Fatalf("merged timeline has %d events, want %d", len(merged), steps)
		}
		position := make(map[eventKey]int)
		for i, e := range merged {
			position[keyOf(e)] = i
		}
		for _, c := range causes {
			if position[keyOf(c.before)] >= position[keyOf(c.after)] {
				t.Fatalf("%+v is not before %+v, which it caused", c.before, c.after)
			}
		}
	})
}

func TestFilter(t *testing.T) {
	is := is.New(t)
	events := []Event{
		{Stamp: stampAt(10), Service: "a", Target: "one", Request: "r1"},
		{Stamp: stampAt(20), Service: "a", Target: "two", Request: "r2"},
		{Stamp: stampAt(30), Service: "b", Target: "one", Request: "r1"},
	}
	is.Equal(len(Filter{}.Select(events)), 3)
	is.Equal(Filter{Service: "a"}.Select(events), events[:2])
	is.Equal(Filter{Service: "a", Target: "one"}.Select(events), events[:1])
	is.Equal(len(Filter{Request: "r1"}.Select(events)), 2)
	host := []Event{{Host: "h", Kind: HostLeaving}, {Host: "x", Kind: HostLost, Target: "h"}, {Host: "h", Kind: HostLost, Target: "x"}}
	is.Equal(Filter{Target: "h"}.Select(host), host[:2])
	is.Equal(Filter{Since: time.UnixMilli(20), Until: time.UnixMilli(20)}.Select(events), events[1:2])
}

func TestRingOldest(t *testing.T) {
	is := is.New(t)
	r := NewRing(3)
	is.Equal(r.Oldest(), Stamp{})
	for wall := range int64(5) {
		r.Add(Event{Stamp: stampAt(wall + 1)})
		is.Equal(r.Oldest(), stampAt(max(1, wall-1)))
	}
}

func TestOutboxDropsNewEventsWhenFull(t *testing.T) {
	is := is.New(t)
	o := NewOutbox(2)
	for i := range int64(5) {
		o.Add(Event{Stamp: stampAt(i)})
	}
	is.Equal(o.Peek(), []Event{{Stamp: stampAt(0)}, {Stamp: stampAt(1)}})
	is.Equal(o.Dropped(), int64(3))
	o.Remove(1)
	o.Add(Event{Stamp: stampAt(9)})
	is.Equal(o.Peek(), []Event{{Stamp: stampAt(1)}, {Stamp: stampAt(9)}})
	is.Equal(o.Len(), 2)
}

func TestExplain(t *testing.T) {
	home := HomeHost{Host: "lima-a-1", Incarnation: 7}
	ended := Event{Stamp: stampAt(1000), Host: "lima-a-1", Incarnation: 7, Kind: RequestEnded, Request: "r", Service: "checkout", Target: "two"}
	lost := Event{Stamp: stampAt(2000), Host: "lima-b-1", Kind: HostLost, Target: "lima-a-1"}
	ejected := Event{Stamp: stampAt(1500), Host: "lima-b-1", Kind: TargetStateChanged, Service: "checkout", Target: "two", From: "active", To: "ejected", Reason: "evidence"}
	tests := []struct {
		name   string
		to     string
		reason string
		others []Event
		stored []StoredOutcome
		want   []string
	}{
		{"completed", "completed", "", nil, nil, []string{`At 1970-01-01 00:00:01.000 host lima-a-1 told the caller of service checkout "completed" after it was sent to target two.`, "It ran once, and its whole answer went to the caller."}},
		{"not run", "not-run", "no target has a free slot", nil, nil, []string{"(no target has a free slot)", "It was not run: no byte"}},
		{"unknown", "unknown", "timed out", []Event{ejected}, nil, []string{"moved target checkout/two from active to ejected (evidence)", "It ran once at most"}},
		{"home lost", "", "", []Event{lost}, nil, []string{"No host has recorded an end", "host lima-b-1 took host lima-a-1 to be gone", "Its home host was lost"}},
		{"home lost, outcome stored", "", "", []Event{lost}, []StoredOutcome{{Account: "bookshop", Result: "completed"}}, []string{"No host has recorded an end", `account bookshop "completed"`, "It ran once, and its whole answer"}},
		{"home lost, outcomes stored for two accounts", "", "", []Event{lost}, []StoredOutcome{{Account: "a", Result: "completed"}, {Account: "b", Result: "not-run"}}, []string{`account a "completed"`, `account b "not-run"`, "Its home host was lost"}},
		{"nothing known", "", "", nil, nil, []string{"No host has recorded an end", "It may still be on its way"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			events := tt.others
			if tt.to != "" {
				e := ended
				e.To, e.Reason = tt.to, tt.reason
				events = append(events, e)
			}
			got := strings.Join(Explain("r", home, events, tt.stored), "\n")
			for _, want := range append(tt.want, "belongs to incarnation 7 of host lima-a-1") {
				if !strings.Contains(got, want) {
					t.Errorf("missing %q in:\n%s", want, got)
				}
			}
		})
	}
}
