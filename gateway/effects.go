package gateway

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/timeline"
	sharev1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/share/v1"
	"github.com/crocushinge/crocushinge/wire/gen/crocushinge/share/v1/sharev1connect"
	"github.com/crocushinge/crocushinge/wire/share"
)

// Timeouts of calls.
const (
	// firstRead bounds the first try of a read of the store. A connection may
	// have gone silent; a store that is fifty times slower than usual still
	// answers within it.
	firstRead = 450 * time.Millisecond
	// secondRead bounds the second try, on a new connection.
	secondRead = 900 * time.Millisecond
	// storeWrite bounds the write of this host's row.
	storeWrite = 2 * time.Second
	// fetchTimeout bounds a fetch from a peer.
	fetchTimeout = 500 * time.Millisecond
)

var _ effector = (*Gateway)(nil)

// start runs an effect's I/O on a goroutine of its own and hands its answer to
// the control thread.
func (g *Gateway) start(f func(context.Context) fleet.Event) {
	g.background.Go(func() { g.control.Send(g.ctx, f(g.ctx)) })
}

// send sends a datagram. A UDP socket takes or drops it without waiting.
func (g *Gateway) send(e fleet.Send) {
	data, err := share.EncodeDatagram(e.Datagram)
	if err != nil {
		g.log.Error().Err(err).Msg("datagram not sent")
		return
	}
	for _, to := range e.To {
		addr, err := netip.ParseAddrPort(to)
		if err == nil {
			_, err = g.datagrams.WriteToUDPAddrPort(data, addr)
		}
		if err != nil {
			g.counters.unsent.Add(1)
			continue
		}
		g.counters.datagramsSent.Add(1)
	}
}

// twice calls f with a short timeout, and once more when that passes.
func twice[T any](ctx context.Context, f func(context.Context) (T, error)) (T, error) {
	first, cancel := context.WithTimeout(ctx, firstRead)
	v, err := f(first)
	late := first.Err() != nil
	cancel()
	if err == nil || !late {
		return v, err
	}
	second, cancel := context.WithTimeout(ctx, secondRead)
	defer cancel()
	return f(second)
}

func (g *Gateway) readTargets(e fleet.ReadTargets) {
	g.counters.storeCalls.Add(1)
	g.start(func(ctx context.Context) fleet.Event {
		ctx, cancel := context.WithTimeout(ctx, e.Wait+firstRead)
		defer cancel()
		began := time.Now()
		targets, err := g.store.Targets(ctx, e.Wait)
		g.metrics.storeCalled("targets", began, err)
		return fleet.TargetsRead{Targets: targets, Err: err}
	})
}

func (g *Gateway) readConfiguration(e fleet.ReadConfiguration) {
	g.counters.storeCalls.Add(1)
	g.start(func(ctx context.Context) fleet.Event {
		ctx, cancel := context.WithTimeout(ctx, e.Wait+firstRead)
		defer cancel()
		began := time.Now()
		document, at, err := g.store.Configuration(ctx, e.Wait)
		g.metrics.storeCalled("configuration", began, err)
		return fleet.ConfigurationRead{Document: document, At: at, Err: err}
	})
}

func (g *Gateway) readPeers() {
	g.counters.storeCalls.Add(1)
	g.start(func(ctx context.Context) fleet.Event {
		rows, err := twice(ctx, g.store.Hosts)
		var peers []fleet.Peer
		for _, row := range rows {
			p, err := share.DecodePeer(row)
			if err != nil {
				g.log.Warn().Err(err).Msg("row of a host skipped")
				continue
			}
			peers = append(peers, p)
		}
		return fleet.PeersRead{Peers: peers, Err: err}
	})
}

func (g *Gateway) register(e fleet.Register) {
	g.counters.storeCalls.Add(1)
	g.start(func(ctx context.Context) fleet.Event {
		row, err := share.EncodePeer(e.Peer)
		if err != nil {
			return fleet.Registered{Err: err}
		}
		ctx, cancel := context.WithTimeout(ctx, storeWrite)
		defer cancel()
		return fleet.Registered{Err: g.store.PutHost(ctx, string(e.Peer.ID), row)}
	})
}

func (g *Gateway) removePeer(e fleet.RemovePeer) {
	g.counters.storeCalls.Add(1)
	g.background.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, storeWrite)
		defer cancel()
		if err := g.store.RemoveHost(ctx, string(e.ID)); err != nil {
			g.log.Warn().Err(err).Str("lost", string(e.ID)).Msg("row of a host that is gone not dropped")
		}
	})
}

func (g *Gateway) fetch(e fleet.Fetch) {
	g.counters.fetches.Add(1)
	g.start(func(ctx context.Context) fleet.Event {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		client := sharev1connect.NewShareServiceClient(g.peers, "http://"+e.From)
		resp, err := client.Fetch(ctx, connect.NewRequest(&sharev1.FetchRequest{
			Hosts: e.Peers, Targets: e.Targets, Configuration: e.Configuration,
		}))
		if err != nil {
			return fleet.Fetched{Err: errors.Wrapf(err, "fetch from %s", e.From)}
		}
		return g.fetched(resp.Msg)
	})
}

// fetched decodes the documents of a peer.
func (g *Gateway) fetched(resp *sharev1.FetchResponse) fleet.Event {
	var out fleet.Fetched
	for _, h := range resp.GetHosts() {
		out.Peers = append(out.Peers, share.PeerFromProto(h))
	}
	out.Targets, out.TargetsStamp = share.TargetsFromProto(resp.GetTargets())
	if c := resp.GetConfiguration(); c != nil {
		configuration, err := g.protocol.ParseConfiguration(c.GetDocument())
		if err != nil {
			return fleet.Fetched{Err: err}
		}
		out.Document = &fleet.Document{Bytes: c.GetDocument(), Configuration: configuration}
		out.DocumentStamp = share.StampFromProto(c.GetStamp())
	}
	return out
}

// documentServer gives other hosts what this one has.
type documentServer struct{ control *control }

// Fetch implements sharev1connect.ShareServiceHandler.
func (s *documentServer) Fetch(ctx context.Context, req *connect.Request[sharev1.FetchRequest]) (*connect.Response[sharev1.FetchResponse], error) {
	var have fleet.Fetched
	if err := s.control.Call(ctx, func(core *fleet.Core) { have = core.Documents(time.Now()) }); err != nil {
		return nil, err
	}
	resp := &sharev1.FetchResponse{}
	if req.Msg.GetHosts() {
		for _, p := range have.Peers {
			resp.Hosts = append(resp.Hosts, share.PeerToProto(p))
		}
	}
	if req.Msg.GetTargets() {
		resp.Targets = share.TargetsToProto(have.Targets, have.TargetsStamp)
	}
	if d := have.Document; req.Msg.GetConfiguration() && d != nil {
		resp.Configuration = &sharev1.Configuration{
			Stamp:    share.StampToProto(have.DocumentStamp),
			Document: d.Bytes,
		}
	}
	return connect.NewResponse(resp), nil
}

// record writes a change of state to the log.
func (g *Gateway) record(e timeline.Event) {
	g.log.Info().Str("kind", string(e.Kind)).Str("service", e.Service).Str("target", e.Target).
		Str("from", e.From).Str("to", e.To).Str("reason", e.Reason).Uint64("revision", e.Revision).Msg("state")
}
