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

// maxSeeds is the maximum number of running hosts that a new host gets as seeds.
const maxSeeds = 3

// Config configures a test fleet.
type Config struct {
	Network *Network
	// Zones are the availability zones. Default: Zones, all of one region.
	Zones []daemon.ZoneSettings
	// LeaveTime is how long a leaving host goes on accepting requests. Default:
	// the daemon's.
	LeaveTime time.Duration
	// Settings modifies the settings of a host before it starts. Default: none.
	Settings func(*daemon.Settings)
	Log      zerolog.Logger
}

// Fleet runs several hosts in one process on one simulated platform.
type Fleet struct {
	Network *Network
	Store   *memory.Platform

	cfg    Config
	reads  atomic.Int64
	writes atomic.Int64
	mu     sync.Mutex
	hosts  map[string]*hostProcess
	// zoneByHost maps each host that was ever started to its zone.
	zoneByHost map[string]string
	processes  sync.WaitGroup
	firstErr   error
}

// hostProcess is one process of a host; a restarted host has a new one.
type hostProcess struct {
	daemon *daemon.Daemon
	stop   context.CancelFunc
	done   chan struct{}
}

// singleRegionZones returns the settings of Zones, all in one region.
func singleRegionZones() []daemon.ZoneSettings {
	var out []daemon.ZoneSettings
	for _, z := range Zones {
		out = append(out, daemon.ZoneSettings{ID: z, Region: "lima"})
	}
	return out
}

// New returns a fleet without hosts.
func New(cfg Config) *Fleet {
	if len(cfg.Zones) == 0 {
		cfg.Zones = singleRegionZones()
	}
	return &Fleet{Network: cfg.Network, Store: memory.New(), cfg: cfg, hosts: make(map[string]*hostProcess), zoneByHost: make(map[string]string)}
}

// Start starts a host, or a new process of a host whose process ended. Hosts are
// assigned to the zones round-robin, in the order of their first start.
func (f *Fleet) Start(name string) error {
	f.Network.Revive(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	settings := f.settings(name)
	opts := []daemon.Option{daemon.WithNetwork(f.Network.At(name))}
	if f.cfg.LeaveTime > 0 {
		opts = append(opts, daemon.WithLeaveTime(f.cfg.LeaveTime))
	}
	view := storeView{network: f.Network, node: name, store: f.Store, reads: &f.reads, writes: &f.writes}
	d, err := daemon.New(settings, view.platform(), f.cfg.Log, opts...)
	if err != nil {
		return errors.Wrapf(err, "start host %s", name)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &hostProcess{daemon: d, stop: stop, done: make(chan struct{})}
	f.hosts[name] = p
	f.processes.Go(func() {
		defer close(p.done)
		f.recordError(d.Run(ctx))
	})
	return nil
}

// recordError keeps the first error that a host ended with.
func (f *Fleet) recordError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstErr == nil {
		f.firstErr = err
	}
}

// settings returns the settings of a host and assigns its zone at the first start.
// f.mu must be held.
func (f *Fleet) settings(name string) daemon.Settings {
	if f.zoneByHost[name] == "" {
		f.zoneByHost[name] = f.cfg.Zones[len(f.zoneByHost)%len(f.cfg.Zones)].ID
	}
	sum := sha256.Sum256([]byte(Key))
	s := daemon.Settings{
		Host: name, Zone: f.zoneByHost[name],
		Address: "127.0.0.1:0", APIAddress: "127.0.0.1:0", FleetAddress: "127.0.0.1:0",
		FleetToken: "fleet", OperatorToken: "operator",
		Accounts: []daemon.AccountSettings{{Name: Account, KeySHA256: hex.EncodeToString(sum[:])}},
	}
	s.Zones = f.cfg.Zones
	for _, other := range f.names() {
		if other != name && len(s.Seeds) < maxSeeds {
			s.Seeds = append(s.Seeds, f.hosts[other].daemon.Self().FleetAddress)
		}
	}
	if f.cfg.Settings != nil {
		f.cfg.Settings(&s)
	}
	return s
}

// names returns the sorted names of the running hosts. f.mu must be held.
func (f *Fleet) names() []string {
	var out []string
	for name := range f.hosts {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Names returns the sorted names of the running hosts.
func (f *Fleet) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.names()
}

// Host returns the daemon of a host, or nil if no host of that name runs.
func (f *Fleet) Host(name string) *daemon.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.hosts[name]; p != nil {
		return p.daemon
	}
	return nil
}

// Snapshots returns the snapshots of all running hosts by name. It takes them
// under one lock, because a host may end between calls of Names and Host.
func (f *Fleet) Snapshots() map[string]*host.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]*host.Snapshot, len(f.hosts))
	for name, p := range f.hosts {
		out[name] = p.daemon.Snapshot()
	}
	return out
}

// remove removes a host from the running hosts and returns its process.
func (f *Fleet) remove(name string) *hostProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.hosts[name]
	delete(f.hosts, name)
	return p
}

// Stop shuts a host down gracefully and waits for its end.
func (f *Fleet) Stop(name string) {
	p := f.remove(name)
	p.stop()
	<-p.done
}

// Kill ends a host abruptly: it is cut off from the network before its daemon is
// stopped, so that the graceful shutdown has no effect on others.
func (f *Fleet) Kill(name string) {
	f.Network.Kill(name)
	f.remove(name).stop()
}

// Close kills all hosts and returns the first error that a host ended with.
func (f *Fleet) Close() error {
	for _, name := range f.Names() {
		f.Kill(name)
	}
	f.processes.Wait()
	return f.firstErr
}

// Reads returns the number of table reads by all hosts.
func (f *Fleet) Reads() int64 { return f.reads.Load() }

// Writes returns the number of table writes by all hosts.
func (f *Fleet) Writes() int64 { return f.writes.Load() }

// AllHosts reports whether a condition holds for every running host.
func (f *Fleet) AllHosts(condition func(*host.Snapshot) bool) bool {
	for _, s := range f.Snapshots() {
		if !condition(s) {
			return false
		}
	}
	return true
}

// Contract returns a contract of one service with targets of 4 slots each. GET
// on /SERVICE is idempotent, POST on /SERVICE/orders is not. The targets are
// assigned to Zones round-robin.
func Contract(service string, targets ...*Target) string {
	return ContractInZones(singleRegionZones(), service, targets...)
}

// ContractInZones is like Contract, with the targets assigned to the given zones.
func ContractInZones(zones []daemon.ZoneSettings, service string, targets ...*Target) string {
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

// Publish proposes a contract through a host. Parameter base is the version of
// the service's contract that the new contract replaces.
func (f *Fleet) Publish(ctx context.Context, through, proposal, service, document string, base uint64) (publish.Result, error) {
	return f.Host(through).Propose(ctx, publish.Proposal{
		ID: proposal, Operator: "ana", Subject: service, Document: []byte(document), Base: base,
	})
}
