package discovery

import (
	"time"

	"github.com/crocushinge/crocushinge/history"
)

const (
	// ReRegistrationGrace is how long targets are kept after a store outage if their rows expired during
	// it. The platform guarantees that they register again within two seconds of the store's return.
	ReRegistrationGrace = 2200 * time.Millisecond
	// OutageGap is the longest gap between two readings in which no row of a target that is alive
	// expires. The gap is longer than it takes to replace failed store readers.
	OutageGap = 2500 * time.Millisecond
	// graceMargin is how long before the end of InTouchAfter the grace period ends at the latest. The
	// targets are dropped at a tick in it, and the other hosts are told.
	graceMargin = 350 * time.Millisecond
)

// Coverage tells of a copy of the targets when the store was read. Times are by the store's clock, in
// milliseconds.
type Coverage struct {
	// Since is when the readings began that led to the copy without a gap of over OutageGap; 0 if it is
	// not known.
	Since int64
	// GraceUntil is when targets whose rows expired in an outage, or were lost in a restore, are dropped.
	GraceUntil int64
	// UnavailableAt is the latest time at which the store is known not to have served a host.
	UnavailableAt int64
}

// outages decides whether the store was away between two readings, and until when targets without a row
// are kept. A gap in this host's readings alone is no outage: the host may have been cut off, paused, or
// not its turn. An outage needs a read that failed in the gap, and no reading by any other host in it. A
// cut of this host, or of all hosts, from a store that goes on serving others can't be told from an outage.
// So the grace period ends before the bound for a host that was cut off, which holds from the end of the
// cut: that is after the beginning of the last read that failed.
type outages struct {
	coverage Coverage
	// gapFrom is the last reading before the latest gap; 0 if another host has read the store in it.
	gapFrom int64
}

// begin records the first reading.
func (o *outages) begin(reading history.Reading) {
	if o.coverage.Since == 0 {
		o.coverage.Since = reading.At
	}
}

// noteUnavailable records that the store did not serve a host at a time.
func (o *outages) noteUnavailable(at int64) {
	o.coverage.UnavailableAt = max(o.coverage.UnavailableAt, at)
}

// endRestore begins the grace period after a restore. Readings of the histories before it say nothing of
// the rows that it has lost.
func (o *outages) endRestore(last, reading history.Reading, inTouchAfter time.Duration) {
	o.gapFrom = 0
	o.coverage.Since, o.coverage.GraceUntil = reading.At, o.graceEnd(last, reading, inTouchAfter)
}

// endGap records the first reading after a gap. If a read has failed in the gap, a grace period begins.
func (o *outages) endGap(last, reading history.Reading, inTouchAfter time.Duration) {
	o.gapFrom = last.At
	o.coverage.Since = reading.At
	if o.coverage.UnavailableAt <= last.At {
		return
	}
	o.coverage.GraceUntil = max(o.coverage.GraceUntil, o.graceEnd(last, reading, inTouchAfter))
}

// graceEnd returns the end of the grace period that begins with a reading. A time that does not lie
// between the two readings says nothing: a restored store's clock may have started again.
func (o *outages) graceEnd(last, reading history.Reading, inTouchAfter time.Duration) int64 {
	until := reading.At + ReRegistrationGrace.Milliseconds()
	if inTouchAfter > 0 && last.At < o.coverage.UnavailableAt && o.coverage.UnavailableAt <= reading.At {
		until = min(until, o.coverage.UnavailableAt+(inTouchAfter-graceMargin).Milliseconds())
	}
	return until
}

// completes reports whether the copy of a host with the given coverage has all targets that are to be kept
// without a row: that host has read the store in the gap, or has noticed the outage itself.
func (o *outages) completes(coverage Coverage) bool {
	return coverage.Since != 0 && (coverage.Since <= o.gapFrom || coverage.GraceUntil > coverage.Since)
}

// adopt takes over what another host knows, with its copy that was read at the given time. If that host
// has read the store in the gap, there was no outage. Otherwise the later end of the two grace periods
// holds: the other host may have noticed later that the store was away.
func (o *outages) adopt(coverage Coverage, first bool, readAt int64) {
	o.noteUnavailable(coverage.UnavailableAt)
	switch {
	case coverage.Since == 0:
	case first:
		o.coverage.Since, o.coverage.GraceUntil = coverage.Since, coverage.GraceUntil
	case coverage.Since <= o.gapFrom:
		o.coverage.Since, o.coverage.GraceUntil, o.gapFrom = coverage.Since, coverage.GraceUntil, 0
	default:
		latest := readAt + ReRegistrationGrace.Milliseconds()
		o.coverage.GraceUntil = max(o.coverage.GraceUntil, min(coverage.GraceUntil, latest))
	}
}
