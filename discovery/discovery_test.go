package discovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFindTakesTheLongestPrefix(t *testing.T) {
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

func TestChooseKeepsToTheWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Parts: []Part{{"a", 90}, {"b", 10}, {"none", 0}}}
	rng := rand.New(rand.NewPCG(1, 1))
	got := make(map[string]int)
	for range 10_000 {
		got[r.Choose(rng)]++
	}
	is.True(got["a"] > 8800 && got["a"] < 9200)
	is.Equal(got["none"], 0)
}

func TestRepeatableNeedsARouteThatMayRepeat(t *testing.T) {
	is := is.New(t)
	c := NewConfiguration(1, []Route{
		{Name: "r", Authority: "x", Prefix: "/", Idempotent: true, Attempts: 2, Parts: []Part{{"a", 1}, {"b", 1}}},
		{Name: "s", Authority: "x", Prefix: "/s/", Idempotent: true, Attempts: 1, Parts: []Part{{"c", 1}}},
		{Name: "w", Authority: "x", Prefix: "/w/", Attempts: 2, Parts: []Part{{"d", 1}}},
	}, nil, Limits{})
	is.True(c.Repeatable("a") && c.Repeatable("b"))
	is.True(!c.Repeatable("c") && !c.Repeatable("d"))
}

func entry(id string, born int64) Target { return Target{ID: id, Born: born, Service: "s"} }

func ids(r *Registry) map[string]int64 {
	out := make(map[string]int64)
	for _, t := range r.Known().List {
		out[t.ID] = t.Born
	}
	return out
}

func TestDigestIgnoresHeartbeats(t *testing.T) {
	is := is.New(t)
	a, b := entry("a", 1), entry("a", 1)
	b.Revision = 99
	is.Equal(NewTargets(1, 1, []Target{a}).Digest, NewTargets(2, 2, []Target{b}).Digest)
	b.Draining = true
	is.True(NewTargets(1, 1, []Target{a}).Digest != NewTargets(2, 2, []Target{b}).Digest)
}

func TestOlderReadingsAreRefused(t *testing.T) {
	is := is.New(t)
	var r Registry
	is.True(r.Merge(NewTargets(5, 1000, []Target{entry("a", 1)})))
	is.True(!r.Merge(NewTargets(9, 900, nil)))
	is.Equal(len(ids(&r)), 1)
}

func TestEarlierIncarnationDoesNotComeBack(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Merge(NewTargets(1, 1000, []Target{entry("a", 50)}))
	r.Merge(NewTargets(2, 1100, []Target{entry("a", 40)})) // a delayed write
	is.Equal(ids(&r)["a"], int64(50))
	r.Merge(NewTargets(3, 1200, []Target{entry("a", 60)}))
	is.Equal(ids(&r)["a"], int64(60))
}

func TestMissingEntryIsGone(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Merge(NewTargets(1, 1000, []Target{entry("a", 1), entry("b", 1)}))
	r.Merge(NewTargets(2, 1700, []Target{entry("b", 1)}))
	is.Equal(len(ids(&r)), 1)
}

func TestEntriesThatLapsedInAnOutageHaveAGrace(t *testing.T) {
	is := is.New(t)
	leaving := entry("leaving", 1)
	leaving.Draining = true
	back := 1000 + OutageGap.Milliseconds() + 1
	grace := RegisterGrace.Milliseconds()
	var r Registry
	r.Merge(NewTargets(1, 1000, []Target{entry("a", 1), leaving}))
	r.Merge(NewTargets(2, back, nil))
	is.Equal(ids(&r), map[string]int64{"a": 1}) // the leaving one is gone
	r.Merge(NewTargets(2, back+grace-1, nil))
	is.Equal(len(ids(&r)), 1)
	r.Merge(NewTargets(2, back+grace, nil))
	is.Equal(len(ids(&r)), 0)
}

// TestGraceBeginsForHostsThatHearOfTheReturn covers a host whose peer read the
// store first.
func TestGraceBeginsForHostsThatHearOfTheReturn(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Merge(NewTargets(1, 1000, []Target{entry("a", 1)}))
	back := 1000 + 10*time.Second.Milliseconds()
	r.Confirm(back)
	r.Merge(NewTargets(2, back+100, nil))
	is.Equal(len(ids(&r)), 1)
}
