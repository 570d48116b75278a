package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/history"
)

// at returns a reading in a history.
func at(h history.ID, revision uint64, ms int64) history.Reading {
	return history.Reading{History: h, Revision: revision, At: ms}
}

func ids(t *Targets, usable func(Target) bool) []string {
	out := []string{}
	for _, target := range t.List {
		if usable(target) {
			out = append(out, target.ID)
		}
	}
	return out
}

func ready(t Target) bool { return !t.Leaving }

// TestTargetsOfARestoredStoreAreBelieved covers a store whose versions go back: the rows that it
// has written since must count.
func TestTargetsOfARestoredStoreAreBelieved(t *testing.T) {
	is := is.New(t)
	var r Registry
	is.True(r.Merge(NewTargets(at(1, 90, 1000), []Target{registered("a", 10, false), registered("b", 20, false)})))
	is.True(r.Merge(NewTargets(at(2, 60, 2000), []Target{registered("a", 10, false), registered("b", 60, true)})))
	is.Equal(ids(r.Known(), ready), []string{"a"})
	// A late reading of the earlier history does not bring it back.
	is.True(!r.Merge(NewTargets(at(1, 95, 2100), []Target{registered("a", 10, false), registered("b", 20, false)})))
	// Two restores within a second.
	is.True(r.Merge(NewTargets(at(4, 50, 2500), []Target{registered("a", 50, true), registered("b", 20, false)})))
	is.Equal(ids(r.Known(), ready), []string{})
}

// TestTargetsThatLeftBeforeARestoreAreNotUsedAgain covers targets whose leaving is lost with the
// restore, until it is written again.
func TestTargetsThatLeftBeforeARestoreAreNotUsedAgain(t *testing.T) {
	is := is.New(t)
	var r Registry
	all := []Target{registered("drains", 10, false), registered("gone", 11, false), registered("stays", 12, false)}
	r.Merge(NewTargets(at(1, 20, 1000), all))
	r.Merge(NewTargets(at(1, 30, 1500), []Target{registered("drains", 30, true), all[1], all[2]}))
	r.Merge(NewTargets(at(1, 31, 1600), []Target{registered("drains", 30, true), all[2]}))
	restored := NewTargets(at(2, 20, 3000), append([]Target(nil), all...))
	r.Merge(restored)
	is.Equal(ids(r.Known(), ready), []string{"stays"})
	r.Merge(NewTargets(at(2, 20, 3000+revivedHold.Milliseconds()-1), append([]Target(nil), all...)))
	is.Equal(ids(r.Known(), ready), []string{"stays"})
	// A row that the store still has by then belongs to a target that is there; one that is
	// leaving does not become ready again by itself.
	r.Merge(NewTargets(at(2, 20, 3000+revivedHold.Milliseconds()), append([]Target(nil), all...)))
	is.Equal(ids(r.Known(), ready), []string{"gone", "stays"})
	// What a target writes after the restore counts.
	r.Merge(NewTargets(at(2, 21, 9500), []Target{registered("drains", 21, false), all[1], all[2]}))
	is.Equal(ids(r.Known(), ready), []string{"drains", "gone", "stays"})
}

// TestTargetsThatJoinedBeforeARestoreAreKept covers targets whose rows are lost with the restore.
// They register again within two seconds, as after an outage.
func TestTargetsThatJoinedBeforeARestoreAreKept(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Merge(NewTargets(at(1, 20, 1000), []Target{registered("a", 10, false), registered("joined", 20, false)}))
	r.Merge(NewTargets(at(2, 15, 1500), []Target{registered("a", 10, false)}))
	is.Equal(ids(r.Known(), ready), []string{"a", "joined"})
	grace := ReRegistrationGrace.Milliseconds()
	r.Merge(NewTargets(at(2, 15, 1500+grace-1), []Target{registered("a", 10, false)}))
	is.Equal(ids(r.Known(), ready), []string{"a", "joined"})
	r.Merge(NewTargets(at(2, 15, 1500+grace), []Target{registered("a", 10, false)}))
	is.Equal(ids(r.Known(), ready), []string{"a"})
}

// TestChangesApplyWithinOneHistory covers a version that was given out again: changes since it
// must not be applied to the contents that it had before.
func TestChangesApplyWithinOneHistory(t *testing.T) {
	is := is.New(t)
	var old, restored Registry
	old.Merge(NewTargets(at(1, 20, 1000), []Target{registered("a", 10, false), registered("b", 20, false)}))
	restored.Merge(NewTargets(at(2, 20, 1000), []Target{registered("a", 10, false), registered("c", 20, false)}))
	_, ok := restored.ChangesSince(old.Known().History, 20)
	is.True(!ok)
	restored.Merge(NewTargets(at(2, 21, 1100), []Target{registered("a", 21, true), registered("c", 20, false)}))
	changes, ok := restored.ChangesSince(2, 20)
	is.True(ok)
	is.True(!changes.AppliesTo(old.Known().Reading))
	is.True(changes.AppliesTo(at(2, 20, 1000)))
}

// TestRestoreIsNoticedThroughAnUnknownHistory covers a list of a host that names no history.
func TestRestoreIsNoticedThroughAnUnknownHistory(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Merge(NewTargets(at(1, 20, 1000), []Target{registered("a", 10, false)}))
	r.Merge(NewTargets(at(0, 21, 1100), []Target{registered("a", 10, false), registered("b", 21, false)}))
	is.True(r.Merge(NewTargets(at(2, 15, 1200), []Target{registered("a", 10, false)})))
	is.Equal(ids(r.Known(), ready), []string{"a", "b"}) // b is kept for the grace period
	is.True(time.Duration(r.Coverage().GraceUntil)*time.Millisecond == 1200*time.Millisecond+ReRegistrationGrace)
}

// TestTargetThatCameBackBeforeARestoreStaysInUse covers a target whose row had lapsed and was
// written again before the copy was made.
func TestTargetThatCameBackBeforeARestoreStaysInUse(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Merge(NewTargets(at(1, 20, 1000), []Target{registered("a", 10, false), registered("b", 11, false)}))
	r.Merge(NewTargets(at(1, 25, 1500), []Target{registered("a", 10, false)}))
	r.Merge(NewTargets(at(1, 30, 2000), []Target{registered("a", 10, false), registered("b", 30, false)}))
	r.Merge(NewTargets(at(2, 30, 3000), []Target{registered("a", 10, false), registered("b", 30, false)}))
	is.Equal(ids(r.Known(), ready), []string{"a", "b"})
}

// TestTwoRestoresHoldARemovedTargetForALimitedTime covers a target that counts as leaving after the
// first restore only because it had been removed.
func TestTwoRestoresHoldARemovedTargetForALimitedTime(t *testing.T) {
	is := is.New(t)
	var r Registry
	both := []Target{registered("a", 10, false), registered("b", 11, false)}
	r.Merge(NewTargets(at(1, 20, 1000), both))
	r.Merge(NewTargets(at(1, 25, 1500), both[:1]))
	r.Merge(NewTargets(at(2, 20, 2000), append([]Target(nil), both...)))
	r.Merge(NewTargets(at(3, 20, 3000), append([]Target(nil), both...)))
	is.Equal(ids(r.Known(), ready), []string{"a"})
	r.Merge(NewTargets(at(3, 20, 3000+revivedHold.Milliseconds()), append([]Target(nil), both...)))
	is.Equal(ids(r.Known(), ready), []string{"a", "b"})
}
