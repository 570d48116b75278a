// Package daemon runs one host as a process: the control thread, the listeners
// for callers, operators and peers, and the I/O that the control core asks for.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/publish"
	"github.com/crocushinge/crocushinge/storage"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/traffic"
	"github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1/fleetv1connect"
)

// ringCapacity is how many events a process keeps for the time line.
const ringCapacity = 4096

// Timeouts of the listeners.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Platform is the adapters to the platform that a daemon uses.
type Platform struct {
	Table    storage.Table
	Objects  storage.Objects
	HostList storage.HostList
}

// Daemon is one host as a process.
type Daemon struct {
	settings Settings
	self     host.Identity
	log      zerolog.Logger
	control  *control
	ring     *timeline.Ring
	archive  *archive
	// closing is closed when the servers begin to shut down, for streams that
	// would not end by themselves.
	closing  chan struct{}
	store    *publish.Store
	hostList storage.HostList
	peers    *fleetClient
	prober   *prober
	ledger   *caller.Ledger
	home     *caller.HomeHost
	claims   traffic.Claims
	bodies   *caller.Memory
	handler  *traffic.Handler
	metrics  *metrics
	// eventCounts counts what this host has recorded on the time line.
	eventCounts *eventCounts
	// corrupt counts readings of items of the table that were left out.
	corrupt     atomic.Int64
	credentials *credentials
	// refusedOperators counts API requests without a valid operator token.
	refusedOperators atomic.Int64
	// refusedPeers counts calls between hosts without the fleet's token.
	refusedPeers atomic.Int64
	servers      []*server
	leaveTime    time.Duration
	background   sync.WaitGroup
	// ctx ends when the process has finished its work in flight.
	ctx context.Context
}

// New builds a daemon from checked settings and opens its listeners. A port of
// 0 in the settings takes a free one.
func New(s Settings, p Platform, log zerolog.Logger, opts ...Option) (*Daemon, error) {
	options := newOptions(opts)
	network := options.network
	keys, err := newCredentials(&s, log.With().Str("host", s.Host).Logger())
	if err != nil {
		return nil, err
	}
	servers, err := listen(network, s.Address, s.APIAddress, s.FleetAddress)
	if err != nil {
		return nil, err
	}
	self := s.identity(servers)
	core := host.New(host.Config{
		Self:     self,
		Zones:    s.zoneMap(),
		Seeds:    s.Seeds,
		Accounts: s.accounts(),
		Timing:   host.DefaultTiming(),
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	d := &Daemon{
		leaveTime:   options.leaveTime,
		settings:    s,
		self:        self,
		servers:     servers,
		log:         log.With().Str("host", string(self.ID)).Logger(),
		ring:        timeline.NewRing(ringCapacity),
		hostList:    p.HostList,
		closing:     make(chan struct{}),
		credentials: keys,
		peers:       newFleetClient(keys, network),
		prober:      newProber(network),
		ledger:      caller.NewLedger(caller.DefaultLimits()),
		home:        caller.NewHome(string(self.ID), self.Incarnation),
	}
	d.archive = newArchive(p.Objects, self, d.log)
	d.store = d.newStore(p.Table)
	d.eventCounts = newEventCounts()
	d.control = newControl(core, d.ring)
	d.control.effects = d
	d.claims = newClaims(p.Table, d.home)
	d.bodies = caller.NewMemory(bodyMemory)
	d.handler = d.newHandler(network)
	if d.metrics, err = newMetrics(d); err != nil {
		return nil, err
	}
	api, err := d.api()
	if err != nil {
		return nil, err
	}
	servers[callerServer].http = traffic.NewServer(d.timed(d.closeWhileLeaving(d.handler)))
	servers[apiServer].http.Handler = api
	servers[fleetAPIServer].http.Handler = d.fleetHandler()
	d.secureServers()
	return d, nil
}

// identity returns this host as it is from now on.
func (s *Settings) identity(servers []*server) host.Identity {
	self := host.Identity{
		ID:           host.ID(s.Host),
		Incarnation:  uint64(time.Now().UnixMilli()),
		Address:      servers[callerServer].address(),
		APIAddress:   servers[apiServer].address(),
		FleetAddress: servers[fleetAPIServer].address(),
		Zone:         s.zoneID(),
	}
	if self.ID == "" {
		self.ID = host.ID(self.FleetAddress)
	}
	return self
}

// Self returns the identity of this host, with the addresses it listens on.
func (d *Daemon) Self() host.Identity { return d.self }

// Snapshot returns the host's present view of the fleet and its services.
func (d *Daemon) Snapshot() *host.Snapshot { return d.control.snapshot.Load() }

// Events returns the events that the process keeps for the time line, oldest
// first.
func (d *Daemon) Events() []timeline.Event {
	events, _ := d.ring.After(timeline.Stamp{})
	return events
}

// IDPrefix returns the start of request ids whose home is this host, as the
// directory gives it.
func (d *Daemon) IDPrefix() string { return d.home.Prefix() }

// Run serves until ctx ends, then leaves the fleet, finishes the work in
// flight and returns.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	d.ctx = background
	d.background.Go(func() { d.control.run(background) })
	d.background.Go(func() { d.archive.run(background) })
	d.background.Go(func() { d.credentials.run(background) })
	d.startRequests(background)
	group, failed := errgroup.WithContext(ctx)
	for _, s := range d.servers {
		group.Go(s.serve)
	}
	<-failed.Done()
	d.control.Send(background, host.ShutdownRequested{})
	d.serveWhileLeaving(background)
	close(d.closing)
	err := shutdown(d.servers, d.drainTime())
	d.claims.Writer.AwaitEmpty(background, settleTime)
	d.notifyLeft(background)
	if serveErr := group.Wait(); err == nil {
		err = serveErr
	}
	stop()
	d.background.Wait()
	return err
}

// server is a listener with the HTTP server on it.
type server struct {
	http     *http.Server
	listener net.Listener
	// tls is set when the server speaks TLS.
	tls bool
}

func (s *server) serve() error {
	serve := s.http.Serve
	if s.tls {
		serve = func(l net.Listener) error { return s.http.ServeTLS(l, "", "") }
	}
	if err := serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", s.listener.Addr())
	}
	return nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// The servers of a daemon, in the order in which they shut down.
const (
	callerServer = iota
	apiServer
	fleetAPIServer
	serverCount
)

// listen opens a listener on each address.
func listen(network Network, addresses ...string) ([]*server, error) {
	var servers []*server
	for _, address := range addresses {
		listener, err := network.Listen(address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		servers = append(servers, &server{
			listener: listener,
			http: &http.Server{
				ReadHeaderTimeout: readHeaderTimeout,
				IdleTimeout:       idleTimeout,
				MaxHeaderBytes:    maxHeaderBytes,
			},
		})
	}
	return servers, nil
}

func (d *Daemon) fleetHandler() http.Handler {
	path, handler := fleetv1connect.NewFleetServiceHandler(
		&fleetServer{control: d.control, peers: d.peers, ring: d.ring, closing: d.closing},
		connect.WithCompressMinBytes(compressFrom),
	)
	mux := http.NewServeMux()
	mux.Handle(path, d.requireFleetToken(handler))
	return mux
}

// shutdown ends the servers one after the other, waiting up to limit for the
// requests in flight.
func shutdown(servers []*server, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var first error
	for _, s := range servers {
		if err := s.http.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "shut down %s", s.listener.Addr())
		}
	}
	return first
}
