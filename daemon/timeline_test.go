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

func newTestArchive(store *memory.Platform) *archive {
	return newArchive(store, host.Identity{ID: "one", Incarnation: 7}, zerolog.Nop())
}

func newTestEvent(wall int64, kind timeline.Kind) timeline.Event {
	return timeline.Event{Stamp: timeline.Stamp{Wall: wall}, Host: "one", Incarnation: 7, Kind: kind}
}

// skipNone makes readEvents read all batches.
func skipNone(wire.BatchName) bool { return false }

func readAllEvents(t *testing.T, a *archive, f timeline.Filter) []timeline.Event {
	t.Helper()
	got, err := a.readEvents(context.Background(), f, skipNone)
	if err != nil {
		t.Fatal(err)
	}
	return timeline.Merge(got.lists...)
}

func TestArchiveKeepsEventsWhileTheStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	a := newTestArchive(store)
	ctx := context.Background()
	a.flush(ctx) // nothing to write
	is.Equal(a.writtenBatches.Load(), int64(0))

	a.outbox.Add(newTestEvent(1000, timeline.HostStarted))
	store.Faults.SetDown(true)
	a.flush(ctx)
	a.outbox.Add(newTestEvent(2000, timeline.StoreLost))
	a.flush(ctx)
	is.Equal(a.failedWrites.Load(), int64(2))
	is.Equal(a.outbox.Len(), 2)

	store.Faults.SetDown(false)
	a.flush(ctx) // writes the failed batch; the next flush writes the events recorded since
	a.flush(ctx)
	is.Equal(a.outbox.Len(), 0)
	is.Equal(a.writtenBatches.Load(), int64(2))
	is.Equal(len(readAllEvents(t, a, timeline.Filter{})), 2)
}

func TestArchiveRewritesABatchOfUnknownOutcome(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	a := newTestArchive(store)
	a.outbox.Add(newTestEvent(1000, timeline.HostStarted))
	store.Faults.LoseResponses(1)
	a.flush(context.Background())
	a.outbox.Add(newTestEvent(2000, timeline.HostLeaving))
	a.flushRemaining() // writes both batches, as at shutdown
	names, err := store.ListObjects(context.Background(), wire.BatchPrefix, "", 10)
	is.NoErr(err)
	is.Equal(len(names), 2) // the first batch was overwritten, not written twice
	is.Equal(len(readAllEvents(t, a, timeline.Filter{})), 2)
}

func TestArchiveReadsOnlyWhatItNeeds(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	a := newTestArchive(store)
	ctx := context.Background()
	for wall := int64(1000); wall <= 5000; wall += 1000 {
		a.outbox.Add(newTestEvent(wall, timeline.HostStarted))
		a.flush(ctx)
	}
	is.NoErr(store.PutObject(ctx, wire.BatchPrefix+"no-batch", nil))
	is.Equal(len(readAllEvents(t, a, timeline.Filter{Since: time.UnixMilli(2000), Until: time.UnixMilli(4000)})), 3)

	broken := wire.BatchName{LastMillis: 3500, FirstMillis: 3500, Host: "two", Incarnation: 1, Number: 1}
	is.NoErr(store.PutObject(ctx, broken.String(), []byte("?")))
	got, err := a.readEvents(ctx, timeline.Filter{}, skipNone)
	is.True(errors.Is(err, errUnreadableBatch)) // the error is returned, but the other batches are still read
	is.Equal(len(timeline.Merge(got.lists...)), 5)

	inMemory := hostEvents{host: host.Identity{ID: "one", Incarnation: 7}, oldest: timeline.Stamp{Wall: 3000}}
	var firstStamps []int64
	_, err = a.readEvents(ctx, timeline.Filter{}, func(b wire.BatchName) bool {
		skip := heldInMemory([]hostEvents{inMemory})(b)
		if !skip {
			firstStamps = append(firstStamps, b.FirstMillis)
		}
		return skip
	})
	is.True(errors.Is(err, errUnreadableBatch))
	// The host still has the events at 4000 and 5000 in memory.
	is.Equal(firstStamps, []int64{1000, 2000, 3000, 3500})
}

// The merged timeline has the events of two running hosts and the archived events
// of a third that is gone. A follower receives the events of other hosts as they
// happen. When the object store is unavailable, it is reported as missing.
func TestTimelineMergesLiveAndGoneHosts(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	gone := newTestArchive(store)
	gone.outbox.Add(timeline.Event{Stamp: timeline.Stamp{Wall: 1000}, Host: "gone", Incarnation: 1, Kind: timeline.HostLeaving})
	gone.flushRemaining()
	first := startDaemon(t, testSettings("one"), store)
	second := startDaemon(t, testSettings("two", first.Self().FleetAddress), store)
	for _, d := range []*Daemon{first, second} {
		eventually(t, "both hosts know each other", func() bool { return len(d.control.snapshot.Load().Peers) == 1 })
	}

	ctx, stop := context.WithCancel(context.Background())
	live := make(chan timeline.Event, 100)
	done := make(chan error, 1)
	go func() {
		done <- first.followTimeline(ctx, timeline.Filter{}, func(events []timeline.Event) error {
			for _, e := range events {
				live <- e
			}
			return nil
		})
	}()
	second.control.recordRequestEnd(host.RequestEnded{Request: "two.1.1.1", Service: "checkout", Reason: "test"})
	eventually(t, "the follower receives the event of the other host", func() bool {
		select {
		case e := <-live:
			return e.Host == "two" && e.Request == "two.1.1.1"
		default:
			return false
		}
	})
	stop()
	is.NoErr(<-done)

	merged := first.gatherTimeline(context.Background(), timeline.Filter{})
	is.Equal(len(merged.Missing), 0)
	hosts := make(map[string]bool)
	for i, e := range merged.Events {
		hosts[e.Host] = true
		is.True(i == 0 || !e.Stamp.Before(merged.Events[i-1].Stamp))
	}
	is.Equal(hosts, map[string]bool{"one": true, "two": true, "gone": true})
	merged = first.gatherTimeline(context.Background(), timeline.Filter{Request: "two.1.1.1"})
	is.Equal(len(merged.Events), 1)

	store.Faults.SetDown(true)
	merged = first.gatherTimeline(context.Background(), timeline.Filter{})
	is.Equal(len(merged.Missing), 1)
	is.Equal(merged.Missing[0].Source, "object store")
	store.Faults.SetDown(false)
}

// A host applies the filter and the limit of a peer's timeline query. When more
// events match than the limit allows, it returns the newest ones.
func TestPeerEventsRespectLimitAndFilter(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, testSettings("one"), memory.New())
	for _, id := range []string{"r1", "r2", "r3"} {
		d.control.recordRequestEnd(host.RequestEnded{Request: id, Service: "checkout"})
	}
	eventually(t, "three events of the service", func() bool {
		return len(d.ownEvents(timeline.Filter{Service: "checkout"}).events) == 3
	})
	query := func(f timeline.Filter, limit uint32) hostEvents {
		req := wire.FilterToProto(f)
		req.Limit = limit
		got := hostEvents{host: d.self}
		is.NoErr(d.streamPeerEvents(context.Background(), d.self, req, got.addResponse))
		return got
	}
	got := query(timeline.Filter{Service: "checkout"}, 2)
	is.True(got.truncated)
	is.Equal(got.oldest, d.ring.Oldest())
	is.Equal([]string{got.events[0].Request, got.events[1].Request}, []string{"r2", "r3"})
	got = query(timeline.Filter{Request: "r1"}, 2)
	is.True(!got.truncated)
	is.Equal(len(got.events), 1)
	is.Equal(len(query(timeline.Filter{Service: "checkout", Until: time.UnixMilli(1)}, 0).events), 0)
	is.Equal(len(query(timeline.Filter{Since: time.Now().Add(time.Hour)}, 0).events), 0)
}

func TestEventsSurviveTheirHost(t *testing.T) {
	is := is.New(t)
	store := memory.New()
	t.Run("host", func(t *testing.T) { // the daemon shuts down at the end of the subtest
		d := startDaemon(t, testSettings("one"), store)
		eventually(t, "the host's start", func() bool { return d.archive.outbox.Len() > 0 })
	})
	events := readAllEvents(t, newTestArchive(store), timeline.Filter{})
	kinds := make(map[timeline.Kind]bool)
	for _, e := range events {
		is.Equal(e.Host, "one")
		kinds[e.Kind] = true
	}
	is.True(kinds[timeline.HostStarted])
	is.True(kinds[timeline.HostLeaving])
}

// An open timeline stream doesn't delay the shutdown. If the shutdown waited for the
// stream, it would hit shutdownTimeout and the cleanup of startDaemon would fail.
func TestOpenTimelineStreamDoesNotDelayShutdown(t *testing.T) {
	is := is.New(t)
	var stream io.Closer
	t.Cleanup(func() { stream.Close() })
	d := startDaemon(t, testSettings("one"), memory.New())
	req, err := http.NewRequest(http.MethodGet, "http://"+d.Self().APIAddress+"/v1/timeline?follow=1", nil)
	is.NoErr(err)
	req.Header.Set(authorizationHeader, bearerPrefix+d.settings.OperatorToken)
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
	is.True(strings.Contains(scrapeMetrics(t, d), "crocushinge_operator_refused_total"))
	is.Equal(d.refusedOperatorRequests.Load(), int64(4))
}
