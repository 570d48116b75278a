package fleettest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/daemon"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/storage/memory"
)

// Account and Key are the one client account of a test fleet.
const (
	Account = "bookshop"
	Key     = "bookshop-key"
)

// Zones are the availability zones of a test fleet, all of one region.
var Zones = []string{"lima-a", "lima-b", "lima-c"}

// seedHosts is how many living hosts a new one is told of.
const seedHosts = 3

// Config is what a test fleet is built from.
type Config struct {
	Network *Network
	// Zones are the availability zones. Default: Zones, all of one region.
	Zones []daemon.ZoneSettings
	// LeaveTime is how long a leaving host serves on. Default: the daemon's.
	LeaveTime time.Duration
	// Settings changes the settings of a host before it starts. Default: none.
	Settings func(*daemon.Settings)
	Log      zerolog.Logger
}

// Fleet is several hosts in one process before one platform.
type Fleet struct {
	Network *Network
	Store   *memory.Platform

	cfg    Config
	reads  atomic.Int64
	writes atomic.Int64
	mu     sync.Mutex
	hosts  map[string]*running
	// zones holds the zone of each host that was ever started.
	zones  map[string]string
	ended  sync.WaitGroup
	failed error
}

// running is one process of a host.
type running struct {
	daemon *daemon.Daemon
	stop   context.CancelFunc
	done   chan struct{}
}

// oneRegion returns Zones as those of one region.
func oneRegion() []daemon.ZoneSettings {
	var out []daemon.ZoneSettings
	for _, z := range Zones {
		out = append(out, daemon.ZoneSettings{ID: z, Region: "lima"})
	}
	return out
}

// New returns a fleet without hosts.
func New(cfg Config) *Fleet {
	if len(cfg.Zones) == 0 {
		cfg.Zones = oneRegion()
	}
	return &Fleet{Network: cfg.Network, Store: memory.New(), cfg: cfg, hosts: make(map[string]*running), zones: make(map[string]string)}
}

// Start runs a host, or a new process in place of one that ended. Hosts are
// dealt over the zones in the order of their first start.
func (f *Fleet) Start(name string) error {
	f.Network.Revive(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	settings := f.settings(name)
	opts := []daemon.Option{daemon.WithNetwork(f.Network.At(name))}
	if f.cfg.LeaveTime > 0 {
		opts = append(opts, daemon.WithLeaveTime(f.cfg.LeaveTime))
	}
	view := storeView{network: f.Network, place: name, store: f.Store, reads: &f.reads, writes: &f.writes}
	d, err := daemon.New(settings, view.platform(), f.cfg.Log, opts...)
	if err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{daemon: d, stop: stop, done: make(chan struct{})}
	f.hosts[name] = r
	f.ended.Go(func() {
		defer close(r.done)
		f.note(d.Run(ctx))
	})
	return nil
}

func (f *Fleet) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == nil {
		f.failed = err
	}
}

func (f *Fleet) settings(name string) daemon.Settings {
	if f.zones[name] == "" {
		f.zones[name] = f.cfg.Zones[len(f.zones)%len(f.cfg.Zones)].ID
	}
	sum := sha256.Sum256([]byte(Key))
	s := daemon.Settings{
		Host: name, Zone: f.zones[name],
		Address: "127.0.0.1:0", APIAddress: "127.0.0.1:0", FleetAddress: "127.0.0.1:0",
		FleetToken: "fleet", OperatorToken: "operator",
		Accounts: []daemon.AccountSettings{{Name: Account, KeySHA256: hex.EncodeToString(sum[:])}},
	}
	s.Zones = f.cfg.Zones
	for _, other := range f.names() {
		if other != name && len(s.Seeds) < seedHosts {
			s.Seeds = append(s.Seeds, f.hosts[other].daemon.Self().FleetAddress)
		}
	}
	if f.cfg.Settings != nil {
		f.cfg.Settings(&s)
	}
	return s
}

func (f *Fleet) names() []string {
	var out []string
	for name := range f.hosts {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Names returns the names of the hosts that run, sorted.
func (f *Fleet) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.names()
}

// Host returns the process of a host, or nil when none of that name runs.
func (f *Fleet) Host(name string) *daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.hosts[name]; r != nil {
		return r.daemon
	}
	return nil
}

// Snapshots returns the views of all hosts that run, by their names. A host may
// end between Names and Host; it can't between these.
func (f *Fleet) Snapshots() map[string]*host.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]*host.Snapshot, len(f.hosts))
	for name, r := range f.hosts {
		out[name] = r.daemon.Snapshot()
	}
	return out
}

// take removes a host from those that run.
func (f *Fleet) take(name string) *running {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.hosts[name]
	delete(f.hosts, name)
	return r
}

// Stop ends a host gracefully and waits for it.
func (f *Fleet) Stop(name string) {
	r := f.take(name)
	r.stop()
	<-r.done
}

// Kill ends a host at once: nothing that it does reaches anybody any more.
func (f *Fleet) Kill(name string) {
	f.Network.Kill(name)
	f.take(name).stop()
}

// Close ends all hosts and returns the first error that one ended with.
func (f *Fleet) Close() error {
	for _, name := range f.Names() {
		f.Kill(name)
	}
	f.ended.Wait()
	return f.failed
}

// Reads returns the reads of the table by all hosts.
func (f *Fleet) Reads() int64 { return f.reads.Load() }

// Writes returns the writes to the table by all hosts.
func (f *Fleet) Writes() int64 { return f.writes.Load() }

// All reports whether a condition holds for every host that runs.
func (f *Fleet) All(holds func(*host.Snapshot) bool) bool {
	for _, s := range f.Snapshots() {
		if !holds(s) {
			return false
		}
	}
	return true
}

// Contract returns a contract of one service with targets of 4 slots. GET on
// /SERVICE is idempotent, POST on /SERVICE/orders is not.
func Contract(service string, targets ...*Target) string {
	return ContractIn(oneRegion(), service, targets...)
}

// ContractIn returns a contract like Contract, with the targets dealt over
// zones.
func ContractIn(zones []daemon.ZoneSettings, service string, targets ...*Target) string {
	var b strings.Builder
	fmt.Fprintf(&b, "service: %s\ntargets:\n", service)
	for i, t := range targets {
		fmt.Fprintf(&b, "  - {name: %s, address: %q, zone: %s, slots: 4, connections: 400}\n", t.Name, t.Address, zones[i%len(zones)].ID)
	}
	fmt.Fprintf(&b, "routes:\n  - {path: /%s, methods: [GET], idempotent: true, deadline: 2s}\n", service)
	fmt.Fprintf(&b, "  - {path: /%s/orders, methods: [POST], idempotent: false, deadline: 5s}\n", service)
	fmt.Fprintf(&b, "floor: 60%%\nleaving: {header: %s, grace: 30s}\nhealth: {path: /health, interval: 2s}\n", LeavingHeader)
	fmt.Fprintf(&b, "weight: detection\nload: 100\naccounts: [%s]\n", Account)
	return b.String()
}

// Publish proposes a contract through a host. Base is the version of the
// service's contract that is replaced.
func (f *Fleet) Publish(ctx context.Context, through, proposal, service, document string, base uint64) (publish.Result, error) {
	return f.Host(through).Propose(ctx, publish.Proposal{
		ID: proposal, Operator: "ana", Subject: service, Document: []byte(document), Base: base,
	})
}
