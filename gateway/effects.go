package gateway

import (
	"context"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/discovery"
	"github.com/crocushinge/crocushinge/fleet"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/timeline"
	sharev1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/share/v1"
	"github.com/crocushinge/crocushinge/wire/gen/crocushinge/share/v1/sharev1connect"
	"github.com/crocushinge/crocushinge/wire/share"
)

// Timeouts of calls to the metadata store and to peers.
const (
	// storeReadTimeout bounds a read of a document besides the time for which the store may wait. The
	// store ends it sooner if it falls silent: a large table takes long over a slow link.
	storeReadTimeout = 5 * time.Second
	// rowsFirstTimeout bounds the first attempt to read the rows of the hosts, because an open
	// connection may have been cut without notice, and rowsSecondTimeout the second one, which uses a
	// new connection.
	rowsFirstTimeout  = fleet.StoreResponseTimeout
	rowsSecondTimeout = 2 * fleet.StoreResponseTimeout
	// storeWriteTimeout bounds the write of this host's row.
	storeWriteTimeout = 2 * time.Second
	// fetchTimeout bounds a fetch from a peer.
	fetchTimeout = 500 * time.Millisecond
	// fetchTimePerAccount is added for a fetch of the configuration. An account has 42 bytes in the
	// compressed document, which take 34 us at 10 Mbit/s, and its compression 25 us on a sixth of a
	// core.
	fetchTimePerAccount = 60 * time.Microsecond
)

var _ effector = (*Gateway)(nil)

// runEffect runs an effect's I/O on a new goroutine and sends the resulting event to
// the control thread.
func (g *Gateway) runEffect(f func(context.Context) fleet.Event) {
	g.background.Go(func() { g.control.Send(g.ctx, f(g.ctx)) })
}

// send sends a datagram to each of its addresses. It runs on the control thread,
// which is safe because a UDP socket accepts or drops a datagram without blocking.
func (g *Gateway) send(e fleet.Send) {
	data, err := share.EncodeDatagram(e.Datagram)
	if err != nil {
		g.log.Error().Err(err).Msg("failed to encode datagram")
		return
	}
	for _, to := range e.To {
		addr, err := netip.ParseAddrPort(to)
		if err == nil {
			_, err = g.datagrams.WriteToUDPAddrPort(data, addr)
		}
		if err != nil {
			g.counters.sendFailures.Add(1)
			continue
		}
		g.counters.datagramsSent.Add(1)
	}
}

// retryOnTimeout calls f with rowsFirstTimeout. If that timeout expires, it calls f
// once more with rowsSecondTimeout.
func retryOnTimeout[T any](ctx context.Context, f func(context.Context) (T, error)) (T, error) {
	firstCtx, cancel := context.WithTimeout(ctx, rowsFirstTimeout)
	v, err := f(firstCtx)
	timedOut := firstCtx.Err() != nil
	cancel()
	if err == nil || !timedOut {
		return v, err
	}
	secondCtx, cancel := context.WithTimeout(ctx, rowsSecondTimeout)
	defer cancel()
	return f(secondCtx)
}

func (g *Gateway) readTargets(e fleet.ReadTargets) {
	g.counters.storeCalls.Add(1)
	g.runEffect(func(ctx context.Context) fleet.Event {
		ctx, cancel := context.WithTimeout(ctx, e.Wait+storeReadTimeout)
		defer cancel()
		began := time.Now()
		targets, err := g.store.Targets(ctx, e.Known, e.Wait)
		g.metrics.recordStoreCall("targets", began, err)
		return fleet.TargetsRead{Targets: targets, Err: err}
	})
}

func (g *Gateway) readConfiguration(e fleet.ReadConfiguration) {
	g.counters.storeCalls.Add(1)
	g.runEffect(func(ctx context.Context) fleet.Event {
		ctx, cancel := context.WithTimeout(ctx, e.Wait+storeReadTimeout)
		defer cancel()
		began := time.Now()
		document, read, err := g.store.Configuration(ctx, g.control.snapshot.Load().Configuration, e.Known, e.Wait)
		g.metrics.recordStoreCall("configuration", began, err)
		return fleet.ConfigurationRead{Document: document, Reading: read, Err: err}
	})
}

func (g *Gateway) readPeers() {
	g.counters.storeCalls.Add(1)
	g.runEffect(func(ctx context.Context) fleet.Event {
		rows, err := retryOnTimeout(ctx, g.store.Hosts)
		var peers []fleet.Peer
		for _, row := range rows {
			p, err := share.DecodePeer(row)
			if err != nil {
				g.log.Warn().Err(err).Msg("skipped a host row that cannot be decoded")
				continue
			}
			peers = append(peers, p)
		}
		return fleet.PeersRead{Peers: peers, Err: err}
	})
}

func (g *Gateway) register(e fleet.Register) {
	g.counters.storeCalls.Add(1)
	g.runEffect(func(ctx context.Context) fleet.Event {
		rows := make(map[string][]byte, len(e.Peers))
		for _, p := range e.Peers {
			row, err := share.EncodePeer(p)
			if err != nil {
				return fleet.Registered{Peers: e.Peers, Err: err}
			}
			rows[string(p.ID)] = row
		}
		ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
		defer cancel()
		return fleet.Registered{Peers: e.Peers, Err: g.store.PutHosts(ctx, rows)}
	})
}

func (g *Gateway) removePeer(e fleet.RemovePeer) {
	g.counters.storeCalls.Add(1)
	g.background.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, storeWriteTimeout)
		defer cancel()
		if err := g.store.RemoveHost(ctx, string(e.ID)); err != nil {
			g.log.Warn().Err(err).Str("lost", string(e.ID)).Msg("failed to remove the row of a lost host")
		}
	})
}

func (g *Gateway) fetch(e fleet.Fetch) {
	g.counters.fetches.Add(1)
	g.runEffect(func(ctx context.Context) fleet.Event {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeoutFor(e, g.control.snapshot.Load().Configuration))
		defer cancel()
		client := sharev1connect.NewShareServiceClient(g.peers, "http://"+e.From)
		resp, err := client.Fetch(ctx, connect.NewRequest(&sharev1.FetchRequest{
			Hosts: e.Peers, Targets: e.Targets, TargetsHistory: uint64(e.TargetsHistory), TargetsSince: e.TargetsSince, Configuration: e.Configuration,
		}))
		if err != nil {
			return fleet.Fetched{Err: errors.Wrapf(err, "fetch from %s", e.From)}
		}
		return g.decodeFetched(resp.Msg)
	})
}

// fetchTimeoutFor returns the timeout of a fetch. The configuration to come is expected to be as large as the one
// in force.
func fetchTimeoutFor(e fleet.Fetch, inForce *discovery.Configuration) time.Duration {
	if !e.Configuration || inForce == nil {
		return fetchTimeout
	}
	return fetchTimeout + time.Duration(inForce.Accounts.Len())*fetchTimePerAccount
}

// decodeFetched decodes the documents in a peer's response.
func (g *Gateway) decodeFetched(resp *sharev1.FetchResponse) fleet.Event {
	var fetched fleet.Fetched
	for _, peer := range resp.GetHosts() {
		fetched.Peers = append(fetched.Peers, share.PeerFromProto(peer))
	}
	fetched.Notices = share.NoticesFromProto(resp.GetNotices())
	fetched.Targets, fetched.TargetChanges, fetched.TargetsStamp = share.TargetsFromProto(resp.GetTargets())
	if c := resp.GetConfiguration(); c != nil {
		// A host of an older version sends the document as the operator wrote it, with the keys.
		document, err := g.protocol.ParseConfiguration(c.GetDocument(), g.control.snapshot.Load().Configuration)
		if err != nil {
			return fleet.Fetched{Err: err}
		}
		fetched.DocumentStamp = share.StampFromProto(c.GetStamp())
		document.History = fetched.DocumentStamp.History
		fetched.Document = document
	}
	return fetched
}

// documentServer serves this host's copies of the fleet's documents to other hosts.
type documentServer struct{ control *control }

// Fetch implements sharev1connect.ShareServiceHandler.
func (s *documentServer) Fetch(ctx context.Context, req *connect.Request[sharev1.FetchRequest]) (*connect.Response[sharev1.FetchResponse], error) {
	var documents fleet.Fetched
	if err := s.control.Call(ctx, func(core *fleet.Core) {
		documents = core.Documents(time.Now(), history.ID(req.Msg.GetTargetsHistory()), req.Msg.GetTargetsSince())
	}); err != nil {
		return nil, err
	}
	resp := &sharev1.FetchResponse{Notices: share.NoticesToProto(documents.Notices)}
	if req.Msg.GetHosts() {
		for _, p := range documents.Peers {
			resp.Hosts = append(resp.Hosts, share.PeerToProto(p))
		}
	}
	if req.Msg.GetTargets() {
		resp.Targets = share.TargetsToProto(documents.Targets, documents.TargetChanges, documents.TargetsStamp)
	}
	if d := documents.Document; req.Msg.GetConfiguration() && d != nil {
		resp.Configuration = &sharev1.Configuration{
			Stamp:    share.StampToProto(documents.DocumentStamp),
			Document: d.Bytes,
		}
	}
	return connect.NewResponse(resp), nil
}

// record logs a change of state.
func (g *Gateway) record(e timeline.Event) {
	g.log.Info().Str("kind", string(e.Kind)).Str("service", e.Service).Str("target", e.Target).
		Str("from", e.From).Str("to", e.To).Str("reason", e.Reason).Uint64("revision", e.Revision).Msg("state")
}
