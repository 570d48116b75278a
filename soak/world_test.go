package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/fleettest"
	"github.com/crocushinge/crocushinge/internal/wait"
	"github.com/crocushinge/crocushinge/platform/platformtest"
	"github.com/crocushinge/crocushinge/zone"
)

// Names of places in the network.
const (
	placeStore = "store"
	placeFleet = "fleet"
)

// The bounds of the deployment, as on the users' platform.
var bounds = platformtest.Bounds{
	Drain: 2 * time.Second, Apply: 2 * time.Second, Grace: 6 * time.Second, DirectoryTTL: 2 * time.Second,
	Floor: 0.7, RetryRatio: 0.2, MinRetries: 16, RetryWindow: 10 * time.Second,
}

// stable is how long a thing must have been undisturbed for a promise with a time
// bound, on the users' platform.
const stable = 3 * time.Second

// heartbeat is how often targets write to the store, as on the users' platform. Their
// entry lapses after three of them.
const heartbeat = 1500 * time.Millisecond

// The ports of a host. Hosts have addresses of loopback of their own.
var ports = platformtest.Ports{Callers: 8161, Ready: 8167, Directory: 8164, Control: 8166, Internal: 7720}

// size is how large a deployment is.
type size struct{ hosts, catalogue, checkout, callers int }

var zones = []zone.Zone{{ID: "a", Region: "r"}, {ID: "b", Region: "r"}, {ID: "c", Region: "r"}}

// targetSlots is how many requests a target works on at once.
const targetSlots = 4

// world is a deployment on this machine: hosts as processes of their own, and
// stand-ins of all that is around them.
type world struct {
	program string
	rng     *rand.Rand
	record  *record
	network *fleettest.Network
	store   *platformtest.Store
	server  *http.Server
	hosts   []*host

	mu      sync.Mutex
	targets []*instance
	born    int
	routes  []discovery.Route
	version discovery.Version
	extras  int
}

// instance is a target with the link before it and its entry in the store.
type instance struct {
	*platformtest.Target
	link *link
	stop context.CancelFunc

	mu    sync.Mutex
	entry discovery.Target
}

func (w *world) note(format string, args ...any) { w.record.note(format, args...) }

func joinPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// newWorld starts a deployment. slot tells deployments apart that run at once.
func newWorld(t *testing.T, program string, seed uint64, slot int, s size) *world {
	t.Helper()
	w := &world{
		program: program,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		record:  newRecord(),
		network: fleettest.NewLoopback(seed),
		store:   platformtest.NewStore(),
	}
	if err := w.startStore(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.server.Close() })
	for i := range s.catalogue + s.checkout {
		service := catalogue
		if i >= s.catalogue {
			service = checkout
		}
		if _, err := w.addTarget(service, ""); err != nil {
			t.Fatal(err)
		}
	}
	w.routes = baseRoutes()
	w.configure()
	dir := t.TempDir()
	for i := range s.hosts {
		if err := w.addHost(dir, slot, i, s.hosts); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for _, h := range w.hosts {
			h.kill()
		}
		for _, x := range w.instances() {
			w.endTarget(x)
		}
	})
	for _, h := range w.hosts {
		if err := h.start(true); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

func (w *world) startStore() error {
	l, err := w.network.At(placeStore).Listen("127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second, Addr: l.Addr().String()}
	go func() { _ = w.server.Serve(l) }()
	return nil
}

// hostIP returns an address of loopback that no other deployment on this machine
// has. The second number is that of the process that runs the soak.
func hostIP(slot, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, slot%250, 1+i)
}

func (w *world) addHost(dir string, slot, i, of int) error {
	h := &host{world: w, dir: filepath.Join(dir, fmt.Sprintf("host-%d", i))}
	if err := os.Mkdir(h.dir, 0o700); err != nil {
		return errors.Wrap(err, "directory of a host")
	}
	h.Host = platformtest.Host{
		Name: fmt.Sprintf("host-%d", i), IP: hostIP(slot, i), Zone: zones[i%len(zones)], Zones: zones,
		Ports: ports, Bounds: bounds,
	}
	for s := range min(3, of) {
		h.Seeds = append(h.Seeds, hostIP(slot, s))
	}
	var err error
	if h.link, err = newLink(w.network, h.Name, w.server.Addr); err != nil {
		return err
	}
	h.Store = h.link.address()
	w.hosts = append(w.hosts, h)
	return nil
}

// addTarget starts a target and registers it, at the address of an earlier one if
// that is not "".
func (w *world) addTarget(service, id string) (*instance, error) {
	w.mu.Lock()
	w.born++
	entry := discovery.Target{
		ID: fmt.Sprintf("i-%03d", w.born), Born: time.Now().UnixMilli(), Service: service,
		Zone: zones[w.born%len(zones)].ID, Slots: targetSlots,
	}
	w.mu.Unlock()
	if id != "" {
		entry.ID = id
	}
	l, err := w.network.At(entry.ID).Listen("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a target")
	}
	x := &instance{entry: entry}
	x.Target = platformtest.StartTarget(l, entry, soundTarget, w.record.arrived)
	if x.link, err = newLink(w.network, placeFleet, x.Address()); err != nil {
		return nil, err
	}
	x.entry.Address = x.link.address()
	w.admit(x)
	return x, nil
}

// soundTarget is how a target without a fault behaves.
var soundTarget = platformtest.TargetBehavior{MeanDuration: 15 * time.Millisecond, SlowShare: 0.05}

// admit registers a target and keeps its entry in the store fresh.
func (w *world) admit(x *instance) {
	var ctx context.Context
	ctx, x.stop = context.WithCancel(context.Background())
	w.mu.Lock()
	w.targets = append(w.targets, x)
	w.mu.Unlock()
	w.beat(x, 0)
	go func() {
		for sequence := 1; wait.For(ctx, heartbeat); sequence++ {
			w.beat(x, sequence)
		}
	}()
}

// beat writes the entry of a target.
func (w *world) beat(x *instance, sequence int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	data, err := platformtest.TargetRow(x.entry, sequence)
	if err != nil {
		w.record.find("the soak cannot encode an entry: %v", err)
		return
	}
	w.store.Put(platformtest.TableTargets, x.entry.ID, data)
}

// instances returns the targets that have not ended.
func (w *world) instances() []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.targets)
}

// forget removes a target from those that have not ended.
func (w *world) forget(x *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets = slices.DeleteFunc(w.targets, func(y *instance) bool { return x == y })
}

// drain announces the end of a target in the store.
func (w *world) drain(x *instance) {
	x.mu.Lock()
	x.entry.Leaving = true
	x.mu.Unlock()
	w.beat(x, 0)
	w.left(x)
}

// left notes that the store has acknowledged a target's leaving.
func (w *world) left(x *instance) {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	w.record.leavings = append(w.record.leavings, leaving{target: x.ID, at: time.Now()})
}

// unregister drops the entry of a target.
func (w *world) unregister(x *instance) {
	x.stop()
	w.store.Put(platformtest.TableTargets, x.ID, nil)
	w.left(x)
}

// endTarget ends a target with its link.
func (w *world) endTarget(x *instance) {
	w.forget(x)
	x.stop()
	x.Kill()
	x.link.close()
}
