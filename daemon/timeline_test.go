package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/storage/memory"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/wire"
)

func testArchive(store *memory.Platform) *archive {
	return newArchive(store, host.Identity{ID: "one", Incarnation: 7}, zerolog.Nop())
}

func event(wall int64, kind timeline.Kind) timeline.Event {
	return timeline.Event{Stamp: timeline.Stamp{Wall: wall}, Host: "one", Incarnation: 7, Kind: kind}
}

func nothingKnown(wire.BatchName) bool { return false }

func readAll(t *testing.T, a *archive, f timeline.Filter) []timeline.Event {
	t.Helper()
	got, err := a.read(context.Background(), f, nothingKnown)
	if err != nil {
		t.Fatal(err)
	}
	return timeline.Merge(got.lists...)
}

func TestArchiveKeepsEventsWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	a := testArchive(store)
	ctx := context.Background()
	a.flush(ctx) // nothing to write
	is.Equal(a.written.Load(), int64(0))

	a.outbox.Add(event(1000, timeline.HostStarted))
	store.Faults.Down(true)
	a.flush(ctx)
	a.outbox.Add(event(2000, timeline.StoreLost))
	a.flush(ctx)
	is.Equal(a.failure.Load(), int64(2))
	is.Equal(a.outbox.Len(), 2)

	store.Faults.Down(false)
	a.flush(ctx) // the batch that failed, then what came since
	a.flush(ctx)
	is.Equal(a.outbox.Len(), 0)
	is.Equal(a.written.Load(), int64(2))
	is.Equal(len(readAll(t, a, timeline.Filter{})), 2)
}

func TestArchiveWritesABatchInDoubtAgain(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	a := testArchive(store)
	a.outbox.Add(event(1000, timeline.HostStarted))
	store.Faults.LoseAnswers(1)
	a.flush(context.Background())
	a.outbox.Add(event(2000, timeline.HostLeaving))
	a.finish() // at shutdown both batches are written
	names, err := store.ListObjects(context.Background(), wire.BatchPrefix, "", 10)
	is.NoErr(err)
	is.Equal(len(names), 2) // the one in doubt was replaced by itself
	is.Equal(len(readAll(t, a, timeline.Filter{})), 2)
}

func TestArchiveReadsOnlyWhatItNeeds(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	a := testArchive(store)
	ctx := context.Background()
	for wall := int64(1000); wall <= 5000; wall += 1000 {
		a.outbox.Add(event(wall, timeline.HostStarted))
		a.flush(ctx)
	}
	is.NoErr(store.PutObject(ctx, wire.BatchPrefix+"no-batch", nil))
	is.Equal(len(readAll(t, a, timeline.Filter{Since: time.UnixMilli(2000), Until: time.UnixMilli(4000)})), 3)

	broken := wire.BatchName{Last: 3500, First: 3500, Host: "two", Incarnation: 1, Number: 1}
	is.NoErr(store.PutObject(ctx, broken.String(), []byte("?")))
	got, err := a.read(ctx, timeline.Filter{}, nothingKnown)
	is.True(errors.Is(err, errUnreadable)) // reported
	is.Equal(len(timeline.Merge(got.lists...)), 5)

	view := ringView{host: host.Identity{ID: "one", Incarnation: 7}, oldest: timeline.Stamp{Wall: 3000}}
	var read []int64
	_, err = a.read(ctx, timeline.Filter{}, func(b wire.BatchName) bool {
		known := covered([]ringView{view})(b)
		if !known {
			read = append(read, b.First)
		}
		return known
	})
	is.True(errors.Is(err, errUnreadable))
	is.Equal(read, []int64{1000, 2000, 3000, 3500}) // 4000 and 5000 are in memory
}

// TestTimelineOfTheFleet merges two live hosts and one that is gone.
func TestTimelineOfTheFleet(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	gone := testArchive(store)
	gone.outbox.Add(timeline.Event{Stamp: timeline.Stamp{Wall: 1000}, Host: "gone", Incarnation: 1, Kind: timeline.HostLeaving})
	gone.finish()
	first := startDaemon(t, testSettings("one"), store)
	second := startDaemon(t, testSettings("two", first.Self().FleetAddress), store)
	for _, d := range []*Daemon{first, second} {
		eventually(t, "both hosts know each other", func() bool { return len(d.control.snapshot.Load().Peers) == 1 })
	}

	ctx, stop := context.WithCancel(context.Background())
	live := make(chan timeline.Event, 100)
	done := make(chan error, 1)
	go func() {
		done <- first.follow(ctx, timeline.Filter{}, func(events []timeline.Event) error {
			for _, e := range events {
				live <- e
			}
			return nil
		})
	}()
	second.control.ended(host.RequestEnded{Request: "two.1.1.1", Service: "checkout", Reason: "test"})
	eventually(t, "the event of the other host", func() bool {
		select {
		case e := <-live:
			return e.Host == "two" && e.Request == "two.1.1.1"
		default:
			return false
		}
	})
	stop()
	is.NoErr(<-done)

	line := first.gather(context.Background(), timeline.Filter{})
	is.Equal(len(line.Missing), 0)
	hosts := make(map[string]bool)
	for i, e := range line.Events {
		hosts[e.Host] = true
		is.True(i == 0 || !e.Stamp.Before(line.Events[i-1].Stamp))
	}
	is.Equal(hosts, map[string]bool{"one": true, "two": true, "gone": true})
	line = first.gather(context.Background(), timeline.Filter{Request: "two.1.1.1"})
	is.Equal(len(line.Events), 1)

	store.Faults.Down(true)
	line = first.gather(context.Background(), timeline.Filter{})
	is.Equal(len(line.Missing), 1)
	is.Equal(line.Missing[0].Source, "object store")
	store.Faults.Down(false)
}

// TestPeerAnswersWithinLimitAndFilter asks a host as its peers do.
func TestPeerAnswersWithinLimitAndFilter(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, testSettings("one"), memory.New())
	for _, id := range []string{"r1", "r2", "r3"} {
		d.control.ended(host.RequestEnded{Request: id, Service: "checkout"})
	}
	eventually(t, "three events of the service", func() bool {
		return len(d.ownView(timeline.Filter{Service: "checkout"}).events) == 3
	})
	ask := func(f timeline.Filter, limit uint32) ringView {
		req := wire.FilterToProto(f)
		req.Limit = limit
		v := ringView{host: d.self}
		is.NoErr(d.peerEvents(context.Background(), d.self, req, v.take))
		return v
	}
	v := ask(timeline.Filter{Service: "checkout"}, 2)
	is.True(v.truncated)
	is.Equal(v.oldest, d.ring.Oldest())
	is.Equal([]string{v.events[0].Request, v.events[1].Request}, []string{"r2", "r3"})
	v = ask(timeline.Filter{Request: "r1"}, 2)
	is.True(!v.truncated)
	is.Equal(len(v.events), 1)
	is.Equal(len(ask(timeline.Filter{Service: "checkout", Until: time.UnixMilli(1)}, 0).events), 0)
	is.Equal(len(ask(timeline.Filter{Since: time.Now().Add(time.Hour)}, 0).events), 0)
}

func TestEventsOfAHostOutliveIt(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	t.Run("host", func(t *testing.T) { // ends with the shutdown
		d := startDaemon(t, testSettings("one"), store)
		eventually(t, "the host's start", func() bool { return d.archive.outbox.Len() > 0 })
	})
	events := readAll(t, testArchive(store), timeline.Filter{})
	kinds := make(map[timeline.Kind]bool)
	for _, e := range events {
		is.Equal(e.Host, "one")
		kinds[e.Kind] = true
	}
	is.True(kinds[timeline.HostStarted])
	is.True(kinds[timeline.HostLeaving])
}

// TestFollowersDoNotHoldUpShutdown leaves a stream of events open. A shutdown
// that waits for it to the end of drainTime fails in startDaemon's cleanup.
func TestFollowersDoNotHoldUpShutdown(t *testing.T) {
	is := is.New(t)
	var stream io.Closer
	t.Cleanup(func() { stream.Close() })
	d := startDaemon(t, testSettings("one"), memory.New())
	req, err := http.NewRequest(http.MethodGet, "http://"+d.Self().APIAddress+"/v1/timeline?follow=1", nil)
	is.NoErr(err)
	req.Header.Set(authorizationHeader, bearer+d.settings.OperatorToken)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	stream = resp.Body
	is.Equal(resp.StatusCode, http.StatusOK)
}

func TestRefusedOperatorsAreCounted(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, testSettings("one"), memory.New())
	for _, header := range []string{"", "Bearer ", "Bearer wrong", "Basic operator"} {
		req, err := http.NewRequest(http.MethodGet, "http://"+d.Self().APIAddress+"/v1/status", nil)
		is.NoErr(err)
		req.Header.Set(authorizationHeader, header)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusUnauthorized)
	}
	is.True(strings.Contains(scrape(t, d), "crocushinge_operator_refused_total"))
	is.Equal(d.refusedOperators.Load(), int64(4))
}
