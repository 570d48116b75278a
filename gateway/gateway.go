package gateway

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
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/internal/wait"
	"github.com/crocushinge/crocushinge/traffic"
	"github.com/crocushinge/crocushinge/wire/gen/crocushinge/share/v1/sharev1connect"
	"github.com/crocushinge/crocushinge/zone"
)

// Gateway is one host as a process.
type Gateway struct {
	settings   atomic.Pointer[Settings]
	store      Store
	protocol   Protocol
	log        zerolog.Logger
	control    *control
	handler    *traffic.Gateway
	datagrams  *net.UDPConn
	servers    []*server
	peers      *http.Client
	counters   counters
	metrics    *metrics
	lines      *lineLimits
	closing    atomic.Bool
	background sync.WaitGroup
	// ctx ends when the process has finished its work in flight.
	ctx  context.Context
	stop context.CancelFunc
}

// counters count what the process did besides requests.
type counters struct {
	datagramsSent, datagramsHeard, unsent, unreadable, storeCalls, fetches, linesOmitted atomic.Int64
}

// server is a listener with the HTTP server on it.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

// memoryShare is the part of the process's memory that request bodies may take.
const memoryShare = 4

// defaultBodies bounds the request bodies where the memory is not bounded, in
// bytes.
const defaultBodies = 256 << 20

// New builds a gateway and opens its sockets.
func New(s Settings, store Store, protocol Protocol, log zerolog.Logger) (*Gateway, error) {
	now := time.Now()
	g := &Gateway{store: store, protocol: protocol, log: log, lines: newLineLimits()}
	g.settings.Store(&s)
	g.ctx, g.stop = context.WithCancel(context.Background())
	if err := g.listen(); err != nil {
		return nil, err
	}
	core := fleet.New(fleet.Config{
		Self: fleet.Peer{
			ID:          fleet.ID(s.Host),
			Incarnation: uint64(now.UnixMilli()),
			Zone:        s.Zone,
			Address:     s.Callers,
			Datagrams:   s.Datagrams,
			Documents:   s.Documents,
			Capacity:    s.Capacity,
		},
		Zones:  zone.NewMap(s.Zones, nil),
		Seeds:  s.Seeds,
		Timing: fleet.TimingFor(s.DrainWithin, s.ApplyWithin),
		Floor:  s.Floor,
		First:  s.First,

		BudgetWindow: s.Budget.Window,

		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, now)
	g.control = newControl(core, g)
	bodies := int64(defaultBodies)
	if s.Memory > 0 {
		bodies = s.Memory / memoryShare
	}
	g.handler = traffic.NewGateway(traffic.GatewayConfig{
		Snapshot:  g.control.snapshot.Load,
		Observe:   g.control.Observe,
		Started:   g.control.started,
		Closing:   g.closing.Load,
		Transport: traffic.NewTargets(dialTarget),
		Bodies:    caller.NewMemory(bodies),
		Headers:   s.Headers,
		Budget:    s.Budget,
		Log:       g.logDecision,
	})
	g.peers = &http.Client{Transport: traffic.NewPeerTransport(dialTarget)}
	if s.Metrics != "" {
		var err error
		if g.metrics, err = newMetrics(g); err != nil {
			return nil, err
		}
	}
	g.handlers()
	return g, nil
}

// connectTimeout bounds the opening of a connection. A lost first packet is sent
// again only after a second, so another target is faster; two regions are at most
// some 60 ms apart one way.
const connectTimeout = 200 * time.Millisecond

// keepAlive finds idle connections whose link is cut, before a request that may
// not be repeated is lost on one.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// dialTarget opens a connection to a target or to another host.
func dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive}).DialContext(ctx, network, address)
}

// listen opens the sockets.
func (g *Gateway) listen() error {
	s := g.settings.Load()
	addr, err := net.ResolveUDPAddr("udp4", s.Datagrams)
	if err != nil {
		return errors.Wrapf(err, "address for datagrams %q", s.Datagrams)
	}
	if g.datagrams, err = net.ListenUDP("udp4", addr); err != nil {
		return errors.Wrap(err, "listen for datagrams")
	}
	for _, l := range []struct{ name, address string }{
		{"callers", s.Callers}, {"ready", s.Ready}, {"directory", s.Directory}, {"documents", s.Documents}, {"metrics", s.Metrics},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp4", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen for %s", l.name)
		}
		g.servers = append(g.servers, &server{name: l.name, listener: listener})
	}
	return nil
}

// handlers puts the servers on the sockets.
func (g *Gateway) handlers() {
	for _, s := range g.servers {
		switch s.name {
		case "callers":
			limits := &limitedListener{Listener: s.listener, limits: g.callerLimits}
			s.listener = limits
			s.http = limits.server(g.handler)
		case "ready":
			s.http = traffic.NewServer(g.protocol.ReadyHandler(g.Ready))
		case "directory":
			s.http = traffic.NewServer(g.protocol.DirectoryHandler(g.hostsFor, g.directoryTTL))
		case "documents":
			path, handler := sharev1connect.NewShareServiceHandler(&documentServer{control: g.control}, connect.WithCompressMinBytes(compressFrom))
			mux := http.NewServeMux()
			mux.Handle(path, handler)
			s.http = traffic.NewServer(mux)
		case "metrics":
			s.http = traffic.NewServer(g.metrics.handler(g.settings.Load().MetricsPath))
		}
	}
}

// compressFrom is the size from which documents are compressed, in bytes.
const compressFrom = 1 << 10

// Ready reports whether this host can serve.
func (g *Gateway) Ready() bool { return g.control.snapshot.Load().Ready }

// hostsFor returns the addresses for a caller of a zone.
func (g *Gateway) hostsFor(of zone.ID) []string {
	hosts := g.control.snapshot.Load().HostsFor(of, g.settings.Load().DirectoryLimit)
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.Address
	}
	return out
}

// directoryTTL is how long a caller may keep an answer of the directory.
func (g *Gateway) directoryTTL() time.Duration { return g.settings.Load().DirectoryTTL }

// Run serves until ctx ends, then leaves the fleet, finishes the work in flight
// and returns.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.stop()
	g.background.Go(func() { g.summarize(g.ctx) })
	g.background.Go(func() { g.control.run(g.ctx) })
	g.background.Go(g.receive)
	group, failed := errgroup.WithContext(ctx)
	for _, s := range g.servers {
		group.Go(func() error {
			if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve %s", s.name)
			}
			return nil
		})
	}
	settings := g.settings.Load()
	g.log.Info().Str("callers", settings.Callers).Bool("first", settings.First).Msg("started")
	<-failed.Done()
	g.leave(g.ctx)
	err := group.Wait()
	g.stop()
	_ = g.datagrams.Close()
	g.background.Wait()
	g.log.Info().Msg("stopped")
	return err
}

// Shares of the grace in a shutdown.
const (
	// refuseAfter is the share after which new requests are refused: requests
	// taken before it have the rest of the grace to end.
	refuseAfter = 0.5
	// closeAfter is the share after which the sockets are closed, and endAfter
	// the one after which requests in flight are cut, so that the process ends by
	// itself. A sixth of a core takes half a second to end a busy process.
	closeAfter = 0.8
	endAfter   = 0.9
)

// leave ends the process gracefully: callers are sent elsewhere at once, requests
// are served for half of the grace and refused after that, and what is in flight
// is finished.
func (g *Gateway) leave(ctx context.Context) {
	began, grace := time.Now(), g.settings.Load().Grace
	g.log.Info().Dur("grace", grace).Msg("stopping")
	g.control.Send(ctx, fleet.ShutdownRequested{})
	wait.For(ctx, time.Duration(refuseAfter*float64(grace)))
	g.closing.Store(true)
	wait.For(ctx, time.Until(began.Add(time.Duration(closeAfter*float64(grace)))))
	limit, cancel := context.WithDeadline(ctx, began.Add(time.Duration(endAfter*float64(grace))))
	defer cancel()
	for _, s := range g.servers {
		if err := s.http.Shutdown(limit); err != nil {
			g.log.Warn().Err(err).Str("server", s.name).Msg("shutdown cut short")
			_ = s.http.Close() // what it reports was reported above
		}
	}
}

// maxDatagram is the largest datagram that is read, in bytes.
const maxDatagram = 64 << 10

// receive hands datagrams to the control thread.
func (g *Gateway) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := g.datagrams.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A datagram to a closed port of a peer comes back as an error.
			g.counters.unreadable.Add(1)
			continue
		}
		g.heard(buf[:n])
	}
}
