// Package daemon runs one host as a process: the control thread, the servers for
// callers, operators and peers, and the I/O requested by the control core.
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

// ringCapacity is the number of timeline events kept in memory.
const ringCapacity = 4096

// Limits of the API and fleet servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// Platform holds the adapters to the platform's services.
type Platform struct {
	Table    storage.Table
	Objects  storage.Objects
	HostList storage.HostList
}

// Daemon is a host that runs as a process.
type Daemon struct {
	settings Settings
	self     host.Identity
	log      zerolog.Logger
	control  *controlThread
	ring     *timeline.Ring
	archive  *archive
	// shuttingDown is closed when the servers begin to shut down. It ends the
	// timeline streams, which would otherwise stay open.
	shuttingDown chan struct{}
	store        *publish.Store
	hostList     storage.HostList
	peers        *fleetClient
	prober       *prober
	ledger       *caller.Ledger
	home         *caller.HomeHost
	claims       traffic.Claims
	bodyBudget   *caller.Memory
	callers      *traffic.CallerListener
	handler      *traffic.Handler
	metrics      *metrics
	// eventCounts counts the timeline events recorded by this host.
	eventCounts *eventCounts
	// unreadableRows counts reads of rows of the metadata store that were skipped
	// because they could not be decoded.
	unreadableRows atomic.Int64
	credentials    *credentials
	// refusedOperatorRequests counts API requests without a valid operator token.
	refusedOperatorRequests atomic.Int64
	// refusedPeerCalls counts calls between hosts without a valid fleet token.
	refusedPeerCalls atomic.Int64
	servers          []*server
	// leaveTime is how long a leaving host keeps accepting requests.
	leaveTime time.Duration
	// shutdownPlan is nil unless the host stops within a grace period.
	shutdownPlan atomic.Pointer[host.ShutdownPlan]
	// tasks are the background goroutines.
	tasks sync.WaitGroup
	// ctx is the context of the tasks. It is canceled once the requests in flight
	// have finished.
	ctx context.Context
}

// New builds a daemon from validated settings and opens its listeners. Port 0 in an
// address stands for any free port.
func New(s Settings, p Platform, log zerolog.Logger, opts ...Option) (*Daemon, error) {
	options := newOptions(opts)
	network := options.network
	creds, err := newCredentials(&s, log.With().Str("host", s.Host).Logger())
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
		leaveTime:    options.leaveTime,
		settings:     s,
		self:         self,
		servers:      servers,
		log:          log.With().Str("host", string(self.ID)).Logger(),
		ring:         timeline.NewRing(ringCapacity),
		hostList:     p.HostList,
		shuttingDown: make(chan struct{}),
		credentials:  creds,
		peers:        newFleetClient(creds, network),
		prober:       newProber(network),
		ledger:       caller.NewLedger(caller.DefaultLedgerLimits()),
		home:         caller.NewHomeHost(string(self.ID), self.Incarnation),
	}
	d.archive = newArchive(p.Objects, self, d.log)
	d.store = d.newConfigurationStore(p.Table)
	d.eventCounts = newEventCounts()
	d.control = newControlThread(core, d.ring)
	d.control.executor = d
	d.claims = newClaims(p.Table, d.home)
	d.bodyBudget = caller.NewMemory(maxBodyMemory)
	d.handler = d.newHandler(network)
	if d.metrics, err = newMetrics(d); err != nil {
		return nil, err
	}
	api, err := d.api()
	if err != nil {
		return nil, err
	}
	servers[callerServer].http = traffic.NewServer(d.measureDuration(d.closeWhileLeaving(d.handler)))
	servers[apiServer].http.Handler = api
	servers[fleetAPIServer].http.Handler = d.fleetHandler()
	d.enableTLS()
	var heads *caller.Memory // below TLS, heads can't be measured
	if !servers[callerServer].usesTLS {
		heads = caller.NewMemory(maxHeadMemory)
	}
	d.callers = traffic.NewCallerListener(servers[callerServer].listener, heads)
	servers[callerServer].listener = d.callers
	return d, nil
}

// identity returns the identity of this host for the lifetime of the process. The
// incarnation is the start time in Unix milliseconds.
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

// Self returns the identity of this host, including the addresses it listens on.
func (d *Daemon) Self() host.Identity { return d.self }

// Snapshot returns this host's current view of the fleet and its services.
func (d *Daemon) Snapshot() *host.Snapshot { return d.control.snapshot.Load() }

// Events returns the timeline events kept in memory, oldest first.
func (d *Daemon) Events() []timeline.Event {
	events, _ := d.ring.After(timeline.Stamp{})
	return events
}

// IDPrefix returns the prefix of request ids whose home host is this one, as the
// directory returns it to callers.
func (d *Daemon) IDPrefix() string { return d.home.Prefix() }

// Run serves until ctx ends, then leaves the fleet, finishes the requests in flight
// and returns.
func (d *Daemon) Run(ctx context.Context) error {
	tasksCtx, stop := context.WithCancel(context.Background())
	defer stop()
	d.ctx = tasksCtx
	d.tasks.Go(func() { d.control.run(tasksCtx) })
	d.tasks.Go(func() { d.archive.run(tasksCtx) })
	d.tasks.Go(func() { d.credentials.run(tasksCtx) })
	d.startRequestTasks(tasksCtx)
	group, groupCtx := errgroup.WithContext(ctx)
	for _, s := range d.servers {
		group.Go(s.serve)
	}
	<-groupCtx.Done()
	err := d.shutDown(tasksCtx)
	if serveErr := group.Wait(); err == nil {
		err = serveErr
	}
	stop()
	d.tasks.Wait()
	return err
}

// shutDown leaves the fleet, ends the requests in flight and closes the servers.
func (d *Daemon) shutDown(ctx context.Context) error {
	if grace := d.settings.GracePeriod; grace > 0 {
		plan := host.NewShutdownPlan(time.Now(), grace, maxDirectoryTTL)
		d.shutdownPlan.Store(plan)
		d.handler.ShutdownPlanned()
		end := time.AfterFunc(time.Until(plan.EndAt), d.handler.EndRequests)
		defer end.Stop()
	}
	d.control.Send(ctx, host.ShutdownRequested{})
	d.serveWhileLeaving(ctx)
	close(d.shuttingDown)
	err := shutDownServers(d.servers, d.shutdownTimeout())
	if err != nil && d.shutdownPlan.Load() != nil {
		d.log.Warn().Err(err).Msg("the grace period is over; connections that remain are closed")
		err = nil
		for _, s := range d.servers {
			_ = s.http.Close() // the reason is logged above
		}
	}
	d.awaitCallers(ctx)
	d.claims.Writer.AwaitEmpty(ctx, d.timeToKill(claimFlushTimeout))
	d.notifyLeft(ctx)
	return err
}

// awaitCallers waits until the last responses have been delivered.
func (d *Daemon) awaitCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.timeToKill(closeTimeout))
	defer cancel()
	d.callers.AwaitClosed(ctx)
}

// server is a listener and the HTTP server that uses it.
type server struct {
	http     *http.Server
	listener net.Listener
	usesTLS  bool
}

// serve accepts connections until the server is shut down.
func (s *server) serve() error {
	serve := s.http.Serve
	if s.usesTLS {
		serve = func(l net.Listener) error { return s.http.ServeTLS(l, "", "") }
	}
	if err := serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", s.listener.Addr())
	}
	return nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// The servers of a daemon, in shutdown order.
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
		&fleetServer{control: d.control, peers: d.peers, ring: d.ring, shuttingDown: d.shuttingDown},
		connect.WithCompressMinBytes(compressMinBytes),
	)
	mux := http.NewServeMux()
	mux.Handle(path, d.requireFleetToken(handler))
	return mux
}

// shutDownServers shuts down the servers one after another, waiting for their
// requests in flight. The timeout covers all servers together. It returns the first
// error.
func shutDownServers(servers []*server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var firstErr error
	for _, s := range servers {
		if err := s.http.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "shut down %s", s.listener.Addr())
		}
	}
	return firstErr
}
