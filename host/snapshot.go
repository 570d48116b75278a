package host

import (
	"slices"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/route"
	"github.com/crocushinge/crocushinge/service"
	"github.com/crocushinge/crocushinge/zone"
)

// Snapshot is the immutable view of control state that traffic reads.
type Snapshot struct {
	Self     Identity
	Revision uint64
	Routes   *route.Table
	// Accounts are the client accounts in force.
	Accounts *caller.Accounts
	Services map[string]*service.Routing
	// Directory lists the hosts that callers may use, this host included.
	Directory []Identity
	// Peers holds every other host that is not gone, by id.
	Peers map[ID]Identity
	// EntrySets holds the hosts that front each service.
	EntrySets map[string]EntrySet
	// Zones gives the distances between the zones.
	Zones *zone.Map
	// Ready is set once the host knows the configuration.
	Ready bool

	// usable holds the peers that are well and that this host reaches.
	usable map[ID]bool
	// signs tells until when this host knows the leaving targets of a service.
	signs map[string]signsKnown
}

// Fronts reports whether this host is in the entry set of a service.
func (s *Snapshot) Fronts(service string) bool {
	return s.EntrySets[service].Rank(s.Self.ID) >= 0
}

// Forwards returns the hosts to which this host may forward a request of a
// service, in the order to try them: the other hosts of its entry set that are
// believed to be well, those of near zones first. It is empty when none is
// known; this host then serves the request itself.
func (s *Snapshot) Forwards(service string) []Identity {
	var out []Identity
	for _, m := range s.EntrySets[service].Members {
		if s.usable[m.ID] {
			out = append(out, m)
		}
	}
	s.sortByDistance(out, s.Self.Zone)
	return out
}

// sortByDistance sorts hosts by the distance of their zones from a zone,
// keeping the order among those of equal distance.
func (s *Snapshot) sortByDistance(hosts []Identity, from zone.ID) {
	slices.SortStableFunc(hosts, func(a, b Identity) int {
		return int(s.Zones.Distance(from, a.Zone) - s.Zones.Distance(from, b.Zone))
	})
}
