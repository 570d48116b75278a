package host

import (
	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/route"
	"github.com/crocushinge/crocushinge/service"
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
	// Ready is set once the host knows the configuration.
	Ready bool
}
