package discovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/history"
)

func TestFindReturnsLongestPrefix(t *testing.T) {
	is := is.New(t)
	c := NewConfiguration(1, []Route{
		{Name: "root", Authority: "shop", Prefix: "/"},
		{Name: "a", Authority: "shop", Prefix: "/a/"},
		{Name: "ab", Authority: "shop", Prefix: "/a/b/"},
		{Name: "other", Authority: "desk", Prefix: "/a/"},
	}, nil, Limits{})
	for path, want := range map[string]string{
		"/a/b/c": "ab", "/a/b/": "ab", "/a/b": "a", "/a/x/y": "a", "/a": "root", "/": "root", "/ab/": "root",
	} {
		is.Equal(c.Find("shop", path).Name, want)
	}
	is.Equal(c.Find("desk", "/b/"), nil)
	is.Equal(c.Find("nobody", "/a/"), nil)
	is.Equal(c.Find("shop", "*"), nil)
}

func TestChooseFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Services: []WeightedService{{"a", 90}, {"b", 10}, {"none", 0}}}
	rng := rand.New(rand.NewPCG(1, 1))
	got := make(map[string]int)
	for range 10_000 {
		got[r.Choose(rng)]++
	}
	is.True(got["a"] > 8800 && got["a"] < 9200)
	is.Equal(got["none"], 0)
}

func TestRetryableRouteIsIdempotentWithRetries(t *testing.T) {
	is := is.New(t)
	c := NewConfiguration(1, []Route{
		{Name: "r", Authority: "x", Prefix: "/", Idempotent: true, Attempts: 2, Services: []WeightedService{{"a", 1}, {"b", 1}}},
		{Name: "s", Authority: "x", Prefix: "/s/", Idempotent: true, Attempts: 1, Services: []WeightedService{{"c", 1}}},
		{Name: "w", Authority: "x", Prefix: "/w/", Attempts: 2, Services: []WeightedService{{"d", 1}}},
	}, nil, Limits{})
	is.True(c.HasRetryableRoute("a") && c.HasRetryableRoute("b"))
	is.True(!c.HasRetryableRoute("c") && !c.HasRetryableRoute("d"))
}

func row(id string, born int64) Target { return Target{ID: id, Born: born, Service: "s"} }

func bornByID(r *Registry) map[string]int64 {
	out := make(map[string]int64)
	for _, t := range r.Known().List {
		out[t.ID] = t.Born
	}
	return out
}

func TestDigestIgnoresHeartbeats(t *testing.T) {
	is := is.New(t)
	a, b := row("a", 1), row("a", 1)
	b.Revision = 99
	is.Equal(NewTargets(history.Reading{Revision: 1, At: 1}, []Target{a}).Digest, NewTargets(history.Reading{Revision: 2, At: 2}, []Target{b}).Digest)
	b.Leaving = true
	is.True(NewTargets(history.Reading{Revision: 1, At: 1}, []Target{a}).Digest != NewTargets(history.Reading{Revision: 2, At: 2}, []Target{b}).Digest)
}

func TestOlderReadIsIgnored(t *testing.T) {
	is := is.New(t)
	var r Registry
	is.True(r.Merge(NewTargets(history.Reading{Revision: 5, At: 1000}, []Target{row("a", 1)})))
	is.True(!r.Merge(NewTargets(history.Reading{Revision: 9, At: 900}, nil)))
	is.Equal(len(bornByID(&r)), 1)
}

func TestEarlierIncarnationDoesNotReplaceLaterOne(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Merge(NewTargets(history.Reading{Revision: 1, At: 1000}, []Target{row("a", 50)}))
	r.Merge(NewTargets(history.Reading{Revision: 2, At: 1100}, []Target{row("a", 40)})) // a delayed write
	is.Equal(bornByID(&r)["a"], int64(50))
	r.Merge(NewTargets(history.Reading{Revision: 3, At: 1200}, []Target{row("a", 60)}))
	is.Equal(bornByID(&r)["a"], int64(60))
}

func TestTargetWithoutRowIsRemoved(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Merge(NewTargets(history.Reading{Revision: 1, At: 1000}, []Target{row("a", 1), row("b", 1)}))
	r.Merge(NewTargets(history.Reading{Revision: 2, At: 1700}, []Target{row("b", 1)}))
	is.Equal(len(bornByID(&r)), 1)
}

func TestRowsLostInAnOutageHaveAGracePeriod(t *testing.T) {
	is := is.New(t)
	leaving := row("leaving", 1)
	leaving.Leaving = true
	recovered := 1000 + OutageGap.Milliseconds() + 1
	grace := ReRegistrationGrace.Milliseconds()
	var r Registry
	r.Merge(NewTargets(history.Reading{Revision: 1, At: 1000}, []Target{row("a", 1), leaving}))
	r.NoteUnavailable(recovered - 700)
	r.Merge(NewTargets(history.Reading{Revision: 2, At: recovered}, nil))
	is.Equal(bornByID(&r), map[string]int64{"a": 1}) // the leaving one has no grace period
	r.Merge(NewTargets(history.Reading{Revision: 2, At: recovered + grace - 1}, nil))
	is.Equal(len(bornByID(&r)), 1)
	r.Merge(NewTargets(history.Reading{Revision: 2, At: recovered + grace}, nil))
	is.Equal(len(bornByID(&r)), 0)
}

// TestGracePeriodBeginsWithAReadByAPeer covers a host whose peer is the first to read
// the store after an outage.
func TestGracePeriodBeginsWithAReadByAPeer(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Merge(NewTargets(history.Reading{Revision: 1, At: 1000}, []Target{row("a", 1)}))
	recovered := 1000 + 10*time.Second.Milliseconds()
	r.NoteUnavailable(recovered - 700)
	r.Confirm(history.Reading{At: recovered})
	r.Merge(NewTargets(history.Reading{Revision: 2, At: recovered + 100}, nil))
	is.Equal(len(bornByID(&r)), 1)
}

// TestLateReadOfAnEarlierRevisionIsIgnored reads a part of the changes after another host has read all.
func TestLateReadOfAnEarlierRevisionIsIgnored(t *testing.T) {
	is := is.New(t)
	var r Registry
	is.True(r.Merge(NewTargets(history.Reading{Revision: 20, At: 1000}, []Target{row("a", 1), row("b", 1)})))
	is.True(!r.Merge(NewTargets(history.Reading{Revision: 15, At: 1500}, []Target{row("a", 1)})))
	is.Equal(len(bornByID(&r)), 2)
	is.True(r.Merge(NewTargets(history.Reading{Revision: 21, At: 1600}, []Target{row("a", 1)})))
	is.Equal(len(bornByID(&r)), 1)
}
