package host

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/contract"
)

// targetsChange returns a change with the given revision that sets the number
// of targets of the service "catalogue".
func targetsChange(revision uint64, targets int) contract.Change {
	c := testContract("catalogue", targets, 10)
	return contract.Change{Revision: revision, Subject: c.Service, Version: revision, Contract: c}
}

// Responses of the store and of peers may be delayed and arrive after newer
// ones.
func TestLateResponseDoesNotRevertTheConfiguration(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	core := New(Config{
		Self: Identity{ID: "a", Incarnation: 1, Zone: "a"}, Zones: testZoneMap(),
		Timing: DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 1)),
	})
	core.Handle(now, ConfigurationRead{FromStore: true, Revision: 5, Changes: []contract.Change{targetsChange(5, 6)}})
	for _, fromStore := range []bool{true, false} {
		core.Handle(now, ConfigurationRead{FromStore: fromStore, Revision: 4, Changes: []contract.Change{targetsChange(4, 3)}})
		is.Equal(core.Revision(), uint64(5))
		is.Equal(len(core.Snapshot().Services["catalogue"].Contract.Targets), 6)
		is.Equal(len(core.ChangesAfter(4)), 1)
	}
}
