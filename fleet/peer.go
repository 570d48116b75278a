// Package fleet decides how the hosts of a fleet act together that finds its
// targets and its configuration in a metadata store: who reads the store, how
// reports of load and failures spread, which hosts callers may use. It does no
// I/O and knows no encoding; time and randomness are passed in.
package fleet

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/zone"
)

// ID names a host.
type ID string

// Hash names a host in reports.
type Hash uint32

// NewHash returns the name of a host in reports.
func NewHash(id ID) Hash {
	h := xxhash.Sum64String(string(id))
	return Hash(h ^ h>>32)
}

// Peer is one incarnation of a host.
type Peer struct {
	ID ID
	// Incarnation is the start of the process in Unix milliseconds.
	Incarnation uint64
	Zone        zone.ID
	// Address serves callers, Datagrams takes reports by UDP, and Documents
	// serves the other hosts by RPC; all are "ip:port".
	Address, Datagrams, Documents string
	// Capacity is the host's share of a core in hundredths. Hosts with more of
	// it relay and read for others first.
	Capacity int
}

// Load is a host's requests in flight at a target.
type Load struct {
	Target   pool.Hash
	Requests int
}

// Ending is the end of one request at a target.
type Ending struct {
	Target pool.Hash
	pool.Ending
}

// Stamp tells which version of a document a host has.
type Stamp struct {
	// Revision orders the versions; 0 means that the host has none.
	Revision uint64
	// Digest is equal for versions that say the same.
	Digest uint32
	// Confirmed is the store's clock in milliseconds when it last had this
	// version as its newest, and Age the time since.
	Confirmed int64
	Age       time.Duration
}

// Report is what a host tells all others of itself.
type Report struct {
	Host        Hash
	Incarnation uint64
	// Sequence orders the reports of an incarnation; it is 0 in a beat, which says no
	// more than that the host is there and nothing has changed.
	Sequence uint32
	// Ready is set while the host can serve, Leaving once it shuts down.
	Ready, Leaving bool
	// Loads are all targets at which the host has requests in flight.
	Loads []Load
	// Endings are the requests that ended since the last report.
	Endings                []Ending
	Targets, Configuration Stamp
}

// Hop tells what the receiver of a datagram does with its reports.
type Hop int

// The hops of a report, in order.
const (
	// ToRelay reports are passed on to the zone and to a host of each other
	// zone.
	ToRelay Hop = iota
	// ToZone reports come from another zone and are passed on to the zone.
	ToZone
	// ToHost reports are not passed on.
	ToHost
)

// Datagram is a message between two hosts.
type Datagram struct {
	From Hash
	Hop  Hop
	// Hello introduces the sender to a host that may not know it.
	Hello *Peer
	// Answer is set when the sender wants a Hello back.
	Answer  bool
	Reports []Report
}

// peerState is what this host knows of another one. The control thread owns
// it.
type peerState struct {
	Peer
	hash Hash
	// heard is when the latest report arrived, and direct when the latest
	// datagram from the host itself did.
	reportReceived, datagramReceived time.Time
	lastReport          Report
	// loads are the counts of the latest report.
	loads []Load
	// avoided is until when another host relays instead.
	relayExcludedUntil time.Time
	alive   bool
	// known is set after the first report.
	reported bool
}

// Times of a peer's silence.
const (
	// heartbeat is the longest pause between two reports of a host.
	maxReportInterval = 200 * time.Millisecond
	// silence is how long a host may be silent before its load does not count
	// and callers are not sent to it: five lost heartbeats.
	hostTimeout = 1100 * time.Millisecond
	// relayDoubt is how long a relay may be silent before others get the reports
	// too: a little more than its own heartbeat.
	relaySuspectAfter = 260 * time.Millisecond
	// relaySilence is how long a relay may be silent before another is taken.
	relayTimeout = 400 * time.Millisecond
	// relayPause is how long a silent relay is passed over.
	relayExclusion = 3 * time.Second
	// forgetAfter is how long a silent host is remembered and looked for: regions
	// lose each other for an hour now and then.
	forgetAfter = 2 * time.Hour
)

// comparePeers orders hosts for duties that one of them has for all.
func comparePeers(a, b *peerState) int {
	if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
		return c
	}
	return cmp.Compare(a.hash, b.hash)
}
