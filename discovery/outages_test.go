package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/history"
)

// readAfterGap merges the targets "a" and "b" as of 1 s, and a list without "b" as of a gap later. A
// positive failed says how long before the second reading a read began that failed.
func readAfterGap(gap, failed time.Duration, coverage Coverage) *Registry {
	r := &Registry{InTouchAfter: 3 * time.Second}
	r.Merge(NewTargets(history.Reading{Revision: 1, At: 1000}, []Target{row("a", 1), row("b", 1)}))
	back := 1000 + gap.Milliseconds()
	if failed > 0 {
		r.NoteUnavailable(back - failed.Milliseconds())
	}
	r.MergeCopy(NewTargets(history.Reading{Revision: 2, At: back}, []Target{row("a", 1)}), coverage)
	return r
}

// TestGapWithoutAFailedReadIsNoOutage guards against targets that stay in use without a row because this
// host itself has not read for a while.
func TestGapWithoutAFailedReadIsNoOutage(t *testing.T) {
	is := is.New(t)
	is.Equal(len(bornByID(readAfterGap(6*time.Second, 0, Coverage{}))), 1)
	is.Equal(len(bornByID(readAfterGap(6*time.Second, time.Second, Coverage{}))), 2)
	is.Equal(len(bornByID(readAfterGap(OutageGap, time.Second, Coverage{}))), 1) // no row expires so soon
}

// TestOutageIsNoneIfAnotherHostHasReadMeanwhile guards against a host that was cut off and takes its own
// silence for that of the store.
func TestOutageIsNoneIfAnotherHostHasReadMeanwhile(t *testing.T) {
	is := is.New(t)
	for since, kept := range map[int64]int{400: 1, 1000: 1, 1001: 2, 6900: 2, 0: 2} {
		r := readAfterGap(6*time.Second, time.Second, Coverage{Since: since})
		is.Equal(len(bornByID(r)), kept)
		if kept == 1 {
			is.Equal(r.Coverage().Since, since)
		}
	}
}

// TestGraceEndsBeforeAHostThatWasCutOffIsInTouch covers the two ends of the grace period: two seconds
// after the store's return, and the bound for a host that was cut off.
func TestGraceEndsBeforeAHostThatWasCutOffIsInTouch(t *testing.T) {
	is := is.New(t)
	for _, failed := range []time.Duration{10 * time.Millisecond, 600 * time.Millisecond, 2400 * time.Millisecond} {
		r := readAfterGap(6*time.Second, failed, Coverage{})
		end := time.Duration(r.Coverage().GraceUntil-7000) * time.Millisecond
		is.True(end <= ReRegistrationGrace)
		is.True(end <= r.InTouchAfter-graceMargin-failed)
		is.True(failed > 600*time.Millisecond || end >= 2*time.Second) // the first host probes as often
		is.True(!r.EndGrace(r.Coverage().GraceUntil - 1))
		is.Equal(len(bornByID(r)), 2)
		is.True(r.EndGrace(r.Coverage().GraceUntil))
		is.Equal(len(bornByID(r)), 1)
		is.True(!r.EndGrace(r.Coverage().GraceUntil))
	}
}

// TestCopyOfAHostThatNoticedTheOutageIsComplete covers a host that did not try to read the store in an
// outage: the other host has kept what is to be kept, and its grace period holds from then on.
func TestCopyOfAHostThatNoticedTheOutageIsComplete(t *testing.T) {
	is := is.New(t)
	r := readAfterGap(6*time.Second, time.Second, Coverage{Since: 7000, GraceUntil: 9000})
	is.Equal(r.Coverage().GraceUntil, int64(9000))
	is.Equal(len(bornByID(r)), 1)
	r = readAfterGap(6*time.Second, 0, Coverage{Since: 7000, GraceUntil: 99000})
	is.Equal(r.Coverage().GraceUntil, 7000+ReRegistrationGrace.Milliseconds())
}

// TestCopyOfAHostThatHasJustStartedIsNotComplete covers a host that has read the store after an outage of
// which it knows nothing.
func TestCopyOfAHostThatHasJustStartedIsNotComplete(t *testing.T) {
	is := is.New(t)
	is.Equal(len(bornByID(readAfterGap(6*time.Second, time.Second, Coverage{Since: 7000}))), 2)
}
