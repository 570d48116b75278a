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
	"github.com/crocushinge/crocushinge/pool"
	"github.com/crocushinge/crocushinge/quota"
	"github.com/crocushinge/crocushinge/traffic"
	"github.com/crocushinge/crocushinge/wire/gen/crocushinge/share/v1/sharev1connect"
	"github.com/crocushinge/crocushinge/zone"
)

// Gateway runs one host of the fleet: its sockets, its control thread and the
// handler for requests.
type Gateway struct {
	settings atomic.Pointer[Settings]
	store    Store
	protocol Protocol
	log      zerolog.Logger
	control  *control
	handler  *traffic.Gateway
	// quotas holds the quotas of the accounts; nil if none apply.
	quotas        *quota.Table
	datagrams     *net.UDPConn
	servers       []*server
	callers       *traffic.CallerListener
	peers         *http.Client
	counters      counters
	metrics       *metrics
	logLimits     *logLimits
	shutdownPlans shutdownPlans
	background    sync.WaitGroup
	// ctx ends after the requests in flight have ended.
	ctx    context.Context
	cancel context.CancelFunc
}

// counters count the process's operations other than requests.
type counters struct {
	datagramsSent, datagramsReceived, sendFailures, receiveFailures, storeCalls, fetches, logLinesOmitted atomic.Int64
}

// server is an HTTP server and its listener.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

// Shares of the process's memory that what others send may take: the bodies and the heads of
// requests, and the responses of targets. The rest is for connections, control and the garbage
// collector.
const (
	bodyMemoryShare     = 0.25
	responseMemoryShare = 0.2
	headMemoryShare     = 0.1
)

// sendBufferDivisor sets the kernel's send buffer of a caller's connection: this part of the
// process's memory. 200 slow readers hold a fifth of it at most. With 184 MB a connection still gets
// 1.5 MB/s at a round trip of 120 ms, more than the network link of such a machine.
const sendBufferDivisor = 1024

// defaultMemory is the memory of the process, in bytes, when the settings state no limit.
const defaultMemory = 1 << 30

// New builds a gateway and opens its sockets.
func New(s Settings, store Store, protocol Protocol, log zerolog.Logger) (*Gateway, error) {
	now := time.Now()
	g := &Gateway{store: store, protocol: protocol, log: log, logLimits: newLogLimits()}
	g.settings.Store(&s)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.quotas = quota.NewTable(s.Quotas, newRand(), now)
	core := fleet.New(fleet.Config{
		Self: fleet.Peer{
			ID:              fleet.ID(s.Host),
			Incarnation:     uint64(now.UnixMilli()),
			Zone:            s.Zone,
			Address:         s.CallerAddress,
			DatagramAddress: s.DatagramAddress,
			RPCAddress:      s.RPCAddress,
			Capacity:        s.Capacity,
		},
		Zones:     zone.NewMap(s.Zones, nil),
		Seeds:     s.Seeds,
		Timing:    s.timing(),
		Floor:     s.Floor,
		Bootstrap: s.Bootstrap,

		RetryBudgetWindow: s.RetryBudget.Window,

		Quotas: g.quotas,
		Rand:   newRand(),
	}, now)
	g.control = newControl(core, g)
	g.handler = traffic.NewGateway(traffic.GatewayConfig{
		Snapshot:       g.control.snapshot.Load,
		Observe:        g.control.Observe,
		Unserved:       func(service string) { g.control.Observe(fleet.Observation{Unserved: service}) },
		AttemptStarted: g.control.notifyStarted,
		Noticed:        func(t *pool.Target) { g.control.TrySend(fleet.NoticeReceived{Target: t}) },
		ShutdownPlan:   g.shutdownPlans.plan,
		ControlStalled: g.control.stalled,
		Transport:      traffic.NewTargetTransport(dial),
		Bodies:         s.memory(bodyMemoryShare),
		Responses:      s.memory(responseMemoryShare),
		CutSlowPeers:   s.MemoryLimit > 0,
		Headers:        s.Headers,
		Budget:         s.RetryBudget,
		Quotas:         g.quotas,
		QueueRequests:  s.QueueRequests,
		Log:            g.logDecision,
	})
	g.control.reportsArrived = g.handler.ReportsArrived
	g.peers = &http.Client{Transport: traffic.NewPeerTransport(dial)}
	if s.MetricsAddress != "" {
		var err error
		if g.metrics, err = newMetrics(g); err != nil {
			return nil, err
		}
	}
	g.createServers()
	return g, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// memory returns the limit for a share of the process's memory.
func (s *Settings) memory(share float64) *caller.Memory {
	limit := s.MemoryLimit
	if limit <= 0 {
		limit = defaultMemory
	}
	return caller.NewMemory(int64(share * float64(limit)))
}

// connectTimeout bounds the opening of a connection. TCP resends a lost first packet
// only after one second, so trying another target is faster. The one-way delay between
// two regions is at most about 60 ms.
const connectTimeout = 200 * time.Millisecond

// keepAlive detects that the link of an idle connection is cut. Otherwise a
// non-idempotent request could be sent on that connection and be lost.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// dial opens a TCP connection to a target or to another host.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive}).DialContext(ctx, network, address)
}

// listen opens the UDP socket and the listeners of all HTTP servers.
func (g *Gateway) listen() error {
	s := g.settings.Load()
	addr, err := net.ResolveUDPAddr("udp4", s.DatagramAddress)
	if err != nil {
		return errors.Wrapf(err, "resolve the address for datagrams %q", s.DatagramAddress)
	}
	if g.datagrams, err = net.ListenUDP("udp4", addr); err != nil {
		return errors.Wrap(err, "listen for datagrams")
	}
	for _, endpoint := range []struct{ name, address string }{
		{"callers", s.CallerAddress}, {"ready", s.ReadyAddress}, {"directory", s.DirectoryAddress}, {"documents", s.RPCAddress}, {"metrics", s.MetricsAddress},
	} {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp4", endpoint.address)
		if err != nil {
			return errors.Wrapf(err, "listen for %s", endpoint.name)
		}
		g.servers = append(g.servers, &server{name: endpoint.name, listener: listener})
	}
	return nil
}

// createServers creates the HTTP server of each listener.
func (g *Gateway) createServers() {
	for _, s := range g.servers {
		switch s.name {
		case "callers":
			listener := &deadlineListener{Listener: s.listener, limits: g.callerLimits}
			g.callers = traffic.NewCallerListener(listener, g.settings.Load().memory(headMemoryShare))
			if limit := g.settings.Load().MemoryLimit; limit > 0 {
				g.callers.AllowSlowReaders(int(limit / sendBufferDivisor))
			}
			s.listener = g.callers
			s.http = listener.server(g.handler)
		case "ready":
			s.http = traffic.NewServer(g.protocol.ReadyHandler(g.Ready))
		case "directory":
			s.http = traffic.NewServer(g.protocol.DirectoryHandler(g.hostsFor, g.directoryTTL))
		case "documents":
			path, handler := sharev1connect.NewShareServiceHandler(&documentServer{control: g.control}, connect.WithCompressMinBytes(minCompressBytes))
			mux := http.NewServeMux()
			mux.Handle(path, handler)
			s.http = traffic.NewServer(mux)
		case "metrics":
			s.http = traffic.NewServer(g.metrics.handler(g.settings.Load().MetricsPath, g.serveExplanation))
		}
	}
}

// minCompressBytes is the smallest size of a response with documents that is compressed.
const minCompressBytes = 1 << 10

// Ready reports whether this host can serve requests.
func (g *Gateway) Ready() bool { return g.control.snapshot.Load().Ready }

// hostsFor returns the addresses of the hosts that a caller in a zone should use.
func (g *Gateway) hostsFor(callerZone zone.ID) []string {
	hosts := g.control.snapshot.Load().HostsFor(callerZone, g.settings.Load().DirectoryLimit)
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.Address
	}
	return out
}

// directoryTTL returns how long a caller may cache a response of the directory.
func (g *Gateway) directoryTTL() time.Duration { return g.settings.Load().DirectoryTTL }

// Run serves until ctx ends or a server fails, then shuts down gracefully and returns
// the error of the server, if any.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.cancel()
	g.background.Go(func() { g.reportOmittedLines(g.ctx) })
	g.background.Go(func() { g.control.run(g.ctx) })
	g.background.Go(g.receive)
	group, groupCtx := errgroup.WithContext(ctx)
	for _, s := range g.servers {
		group.Go(func() error {
			if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve %s", s.name)
			}
			return nil
		})
	}
	settings := g.settings.Load()
	g.log.Info().Str("callers", settings.CallerAddress).Bool("first", settings.Bootstrap).Msg("started")
	<-groupCtx.Done()
	g.shutdown(g.ctx)
	err := group.Wait()
	g.cancel()
	_ = g.datagrams.Close()
	g.background.Wait()
	g.log.Info().Msg("stopped")
	return err
}

// maxDatagramBytes is the size of the receive buffer; it holds any UDP datagram.
const maxDatagramBytes = 64 << 10

// receive reads datagrams and hands them to the control thread until the socket is
// closed.
func (g *Gateway) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := g.datagrams.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A read can fail because an earlier datagram was sent to a closed port of a
			// peer.
			g.counters.receiveFailures.Add(1)
			continue
		}
		g.handleDatagram(buf[:n])
	}
}
