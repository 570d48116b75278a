// Package fleet holds the decisions of a host in a fleet that reads its targets and its
// configuration from a metadata store: which hosts read the store, how reports of load and
// failures spread, and which hosts callers may use. It does no I/O and knows no encoding; time
// and randomness are passed in.
package fleet

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/quota"
	"github.com/crocushinge/crocushinge/zone"
)

// ID identifies a host.
type ID string

// Hash identifies a host in reports.
type Hash uint32

// NewHash returns the hash of a host's id.
func NewHash(id ID) Hash {
	h := xxhash.Sum64String(string(id))
	return Hash(h ^ h>>32)
}

// Peer describes one incarnation of a host.
type Peer struct {
	ID ID
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation uint64
	Zone        zone.ID
	// Address serves callers, DatagramAddress receives reports by UDP, and RPCAddress serves
	// the other hosts by RPC. Each is an "ip:port".
	Address, DatagramAddress, RPCAddress string
	// Capacity is the host's share of a core in hundredths. Hosts with more capacity rank first
	// for relaying reports and reading the store.
	Capacity int
}

// maxIDBytes limits the id of a host. The store's keys are no longer.
const maxIDBytes = 200

// Check returns an error that names the field if the row of a host cannot be used.
func (p Peer) Check() error {
	if p.ID == "" || len(p.ID) > maxIDBytes {
		return errors.Errorf("id: has %d bytes, must have 1 to %d", len(p.ID), maxIDBytes)
	}
	for _, f := range []struct{ name, value string }{
		{"address", p.Address}, {"datagram address", p.DatagramAddress}, {"RPC address", p.RPCAddress},
	} {
		if a, err := netip.ParseAddrPort(f.value); err != nil || a.Port() == 0 {
			return errors.Errorf("%s: %.200q is not an address and port", f.name, f.value)
		}
	}
	return nil
}

// Load is the number of a host's requests in flight at a target.
type Load struct {
	Target   pool.Hash
	Requests int
}

// Ending is the end of one request at a target.
type Ending struct {
	Target pool.Hash
	pool.Ending
}

// Unserved is the number of requests for a service that ended without their callers having been
// served, whatever the reason.
type Unserved struct {
	Service  pool.ServiceHash
	Requests int
}

// Waiting is how many of a host's requests wait for a slot of a service, by class.
type Waiting struct {
	Service  pool.ServiceHash
	Requests pool.Waiting
}

// Stamp tells which version of a document a host has, and how old its copy is.
type Stamp struct {
	// History is the history of the store that the copy was confirmed in.
	History history.ID
	// Revision orders the versions of the targets within the history, and those of the
	// configuration over all histories; 0 means that the host has none.
	Revision uint64
	// Digest is equal for versions with the same content.
	Digest uint32
	// Confirmed is the store's clock in milliseconds when this version was last the newest in
	// the store, and Age is the time since.
	Confirmed int64
	Age       time.Duration
	// Coverage tells of a copy of the targets when the store was read. Reports have it only during
	// an outage of the store and shortly after it.
	Coverage discovery.Coverage
}

// reading returns the reading of the store that last confirmed the copy.
func (s Stamp) reading() history.Reading {
	return history.Reading{History: s.History, Revision: s.Revision, At: s.Confirmed}
}

// Report is what a host sends about itself to the others.
type Report struct {
	Host        Hash
	Incarnation uint64
	// Sequence orders the reports of an incarnation. It is 0 in a heartbeat, which says only
	// that the host is alive and nothing has changed.
	Sequence uint32
	// Ready is set while the host can serve, and Leaving once it shuts down.
	Ready, Leaving bool
	// Loads lists all targets at which the host has requests in flight.
	Loads []Load
	// Endings are the requests that ended since the last report.
	Endings []Ending
	// Notices are what targets have said in their responses since the last report.
	Notices []TargetNotice
	// Unserved are the requests that ended unserved since the last report.
	Unserved []Unserved
	// Admitted are the requests of limited accounts that the host has admitted, for the accounts
	// with requests since the last reports.
	Admitted []quota.Count
	// Waiting lists the services for whose slots requests of the host wait, at most
	// maxWaitingServices.
	Waiting                []Waiting
	Targets, Configuration Stamp
}

// Hop tells the receiver of a datagram how far to forward its reports.
type Hop int

// The hops of a report, in order.
const (
	// ToRelay reports are forwarded to the relay's zone and to a relay of each other zone.
	ToRelay Hop = iota
	// ToZone reports come from another zone and are forwarded within the relay's own zone.
	ToZone
	// ToHost reports are not forwarded.
	ToHost
)

// Datagram is a message between two hosts.
type Datagram struct {
	From Hash
	Hop  Hop
	// Hello introduces the sender to a host that may not know it.
	Hello *Peer
	// WantsHello is set when the sender asks for a Hello in response.
	WantsHello bool
	// Registered says that the sender has written the receiver's row to the store.
	Registered bool
	// Changes are what the store's reader has just found changed in the targets. They are
	// forwarded like reports. ChangesStamp is the stamp of the version that they lead to.
	Changes      *discovery.Changes
	ChangesStamp Stamp
	Reports      []Report
}

// peerState is what this host knows of another one. The control thread owns it.
type peerState struct {
	Peer
	hash Hash
	// reportReceived is when the host's latest report arrived, possibly through a relay.
	// datagramReceived is when the latest datagram from the host itself arrived.
	reportReceived, datagramReceived time.Time
	lastReport                       Report
	// reportRequested is when this host last asked the host for a full report.
	reportRequested time.Time
	// loads are the loads of the latest report at targets that this host knows.
	loads []Load
	// admitted follows the requests of limited accounts that the host admits.
	admitted quota.PeerCounts
	// waiting are the waiting requests of the latest report for services that this host knows.
	waiting []Waiting
	// relayExcludedUntil is the time until which the host is not chosen as a relay.
	relayExcludedUntil time.Time
	alive              bool
	// reported is set after the first report.
	reported bool
}

// Timeouts for silent hosts.
const (
	// maxReportInterval is the longest time between two reports of a host.
	maxReportInterval = 200 * time.Millisecond
	// hostTimeout is how long a host may be silent before it counts as lost: its load no longer
	// counts and callers are not sent to it. It is five missed reports.
	hostTimeout = 1100 * time.Millisecond
	// relaySuspectAfter is how long a relay may be silent before other hosts get the reports
	// too. It is a little longer than maxReportInterval.
	relaySuspectAfter = 260 * time.Millisecond
	// relayTimeout is how long a relay may be silent before another one is chosen.
	relayTimeout = 400 * time.Millisecond
	// relayExclusion is how long a relay that timed out is not chosen again.
	relayExclusion = 3 * time.Second
	// forgetAfter is how long a silent host is remembered and sent Hellos. Partitions between
	// regions can last an hour.
	forgetAfter = 2 * time.Hour
)

// comparePeers defines the rank order of hosts: more capacity first, then the lower hash. The first
// host performs the tasks that one host does for the whole fleet, such as reading the store. If it
// fails, the others take over in this order.
func comparePeers(a, b *peerState) int {
	if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
		return c
	}
	return cmp.Compare(a.hash, b.hash)
}
