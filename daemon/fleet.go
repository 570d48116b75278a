package daemon

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/credential"
	"github.com/crocushinge/crocushinge/history"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/wire"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
	"github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1/fleetv1connect"
)

// callTimeout limits a call to a peer or to the platform.
const callTimeout = 2 * time.Second

// compressMinBytes is the size from which responses to other hosts are compressed.
// For smaller responses, compression costs more CPU time than the saved bytes are
// worth.
const compressMinBytes = 4 << 10

// authorizationHeader carries a fleet or operator token.
const authorizationHeader = "Authorization"

var (
	errFleetToken = errors.New("missing or wrong fleet token")
	errNoSender   = errors.New("the message names no sender")
)

var _ fleetv1connect.FleetServiceHandler = (*fleetServer)(nil)

// fleetServer handles calls from other hosts.
type fleetServer struct {
	control *controlThread
	peers   *fleetClient
	ring    *timeline.Ring
	// shuttingDown is closed at shutdown, which ends the timeline streams.
	shuttingDown <-chan struct{}
}

// Ping implements fleetv1connect.FleetServiceHandler. The control thread builds the
// response, so that a response proves that the control thread is working.
func (s *fleetServer) Ping(ctx context.Context, req *connect.Request[fleetv1.PingRequest]) (*connect.Response[fleetv1.PingResponse], error) {
	reply, err := s.exchangeMessage(ctx, wire.MessageFromProto(req.Msg.GetMessage()))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&fleetv1.PingResponse{Message: wire.MessageToProto(reply)}), nil
}

// exchangeMessage delivers a peer's message to the control thread and returns this
// host's message to that peer.
func (s *fleetServer) exchangeMessage(ctx context.Context, m host.Message) (host.Message, error) {
	if m.From.ID == "" {
		return host.Message{}, connect.NewError(connect.CodeInvalidArgument, errNoSender)
	}
	s.control.Send(ctx, host.MessageReceived{Message: m})
	var reply host.Message
	err := s.control.Call(ctx, func(core *host.Core) { reply = core.Message(time.Now(), m.From.ID) })
	return reply, err
}

// IndirectPing implements fleetv1connect.FleetServiceHandler.
func (s *fleetServer) IndirectPing(ctx context.Context, req *connect.Request[fleetv1.IndirectPingRequest]) (*connect.Response[fleetv1.IndirectPingResponse], error) {
	subject := wire.PeerFromProto(req.Msg.GetSubject())
	var m host.Message
	if err := s.control.Call(ctx, func(core *host.Core) { m = core.Message(time.Now(), subject.ID) }); err != nil {
		return nil, err
	}
	// Only half of the requesting host's timeout is used for the ping, so that the
	// response reaches that host in time.
	timeout := time.Duration(req.Msg.GetTimeoutMillis()) * time.Millisecond / 2
	pingCtx, cancel := context.WithTimeout(ctx, min(timeout, callTimeout))
	defer cancel()
	reply, err := s.peers.ping(pingCtx, subject.FleetAddress, m)
	reached := err == nil && reply.From.ID == subject.ID
	if reached {
		s.control.Send(ctx, host.PingSucceeded{Message: reply})
	}
	return connect.NewResponse(&fleetv1.IndirectPingResponse{Reached: reached}), nil
}

// Report implements fleetv1connect.FleetServiceHandler.
func (s *fleetServer) Report(ctx context.Context, req *connect.Request[fleetv1.ReportRequest]) (*connect.Response[fleetv1.ReportResponse], error) {
	s.control.Send(ctx, host.ReportsReceived{
		From:    wire.PeerFromProto(req.Msg.GetFrom()),
		Reports: wire.ReportsFromProto(req.Msg.GetReports()),
	})
	resp := &fleetv1.ReportResponse{}
	if services := req.Msg.GetSignsOf(); len(services) > 0 {
		err := s.control.Call(ctx, func(core *host.Core) { resp.Leaving = wire.ReportsToProto(core.LeavingTargets(services)) })
		if err != nil {
			return nil, err
		}
	}
	return connect.NewResponse(resp), nil
}

// Sync implements fleetv1connect.FleetServiceHandler. The list of members is sent
// only when the digests of the two hosts differ.
func (s *fleetServer) Sync(ctx context.Context, req *connect.Request[fleetv1.SyncRequest]) (*connect.Response[fleetv1.SyncResponse], error) {
	m := wire.MessageFromProto(req.Msg.GetMessage())
	reply, err := s.exchangeMessage(ctx, m)
	if err != nil {
		return nil, err
	}
	resp := &fleetv1.SyncResponse{Message: wire.MessageToProto(reply)}
	if reply.Digest == m.Digest {
		return connect.NewResponse(resp), nil
	}
	err = s.control.Call(ctx, func(core *host.Core) { resp.Members = wire.UpdatesToProto(core.Members()) })
	return connect.NewResponse(resp), err
}

// Changes implements fleetv1connect.FleetServiceHandler.
func (s *fleetServer) Changes(ctx context.Context, req *connect.Request[fleetv1.ChangesRequest]) (*connect.Response[fleetv1.ChangesResponse], error) {
	resp := &fleetv1.ChangesResponse{}
	err := s.control.Call(ctx, func(core *host.Core) {
		resp.Revision, resp.History = core.Revision(), uint64(core.Position().History)
		resp.Kept = slices.Sorted(maps.Keys(core.Kept()))
		after := history.Position{History: history.ID(req.Msg.GetHistory()), Revision: req.Msg.GetAfter()}
		for _, change := range core.ChangesFrom(after) {
			resp.Changes = append(resp.Changes, wire.ChangeToProto(change))
		}
	})
	return connect.NewResponse(resp), err
}

// Timeline implements fleetv1connect.FleetServiceHandler. The first message of the
// stream has no event; it describes what this host keeps in memory.
func (s *fleetServer) Timeline(ctx context.Context, req *connect.Request[fleetv1.TimelineRequest], stream *connect.ServerStream[fleetv1.TimelineResponse]) error {
	after := wire.StampFromProto(req.Msg.GetAfter())
	filter := wire.FilterFromProto(req.Msg)
	for first := true; ; first = false {
		events, more := s.ring.After(after)
		// The oldest stamp is read after the events, because events may be
		// overwritten between the two reads. In this order, events has every event
		// from the oldest stamp on.
		oldest := s.ring.Oldest()
		if len(events) > 0 {
			after = events[len(events)-1].Stamp
		}
		events = filter.Select(events)
		if first {
			resp := &fleetv1.TimelineResponse{Oldest: wire.StampToProto(oldest)}
			if limit := req.Msg.GetLimit(); limit > 0 {
				events, resp.Truncated = timeline.Newest(events, int(limit))
			}
			if err := stream.Send(resp); err != nil {
				return err
			}
		}
		if err := sendEvents(stream, events); err != nil {
			return err
		}
		if !req.Msg.GetFollow() {
			return nil
		}
		select {
		case <-more:
		case <-s.shuttingDown:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func sendEvents(stream *connect.ServerStream[fleetv1.TimelineResponse], events []timeline.Event) error {
	for _, e := range events {
		data, err := wire.EncodeEvent(e)
		if err != nil {
			return err
		}
		if err := stream.Send(&fleetv1.TimelineResponse{Event: data}); err != nil {
			return err
		}
	}
	return nil
}

// requireFleetToken rejects calls without a valid fleet token.
func (d *Daemon) requireFleetToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get(authorizationHeader), bearerPrefix)
		if !ok || !d.credentials.acceptsFleetToken(token) {
			d.refusedPeerCalls.Add(1)
			http.Error(w, errFleetToken.Error(), http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// fleetTokenTransport adds the current fleet token to every request.
type fleetTokenTransport struct {
	tokens *credential.Reloadable[credential.Tokens]
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t fleetTokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(authorizationHeader, bearerPrefix+t.tokens.Load().Current())
	return t.next.RoundTrip(r)
}

// Limits on idle connections to other hosts.
const (
	// fleetIdleTimeout is how long an idle connection is kept. In a fleet of tens
	// of hosts, a longer timeout saves handshakes, because pings reuse idle
	// connections. In a fleet of hundreds of hosts it would not, because a host pings
	// the same peer only every few minutes.
	fleetIdleTimeout = 90 * time.Second
	// maxFleetIdleConnections limits the idle connections to all peers together.
	maxFleetIdleConnections = 64
)

// fleetClient calls the other hosts.
type fleetClient struct{ http *http.Client }

func newFleetClient(c *credentials, network Network) *fleetClient {
	transport := &http.Transport{
		DialContext:         network.DialContext,
		MaxIdleConns:        maxFleetIdleConnections,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     fleetIdleTimeout,
		DisableCompression:  true,
	}
	secure := c.tlsTransport(transport, fleetAPIServer)
	return &fleetClient{http: &http.Client{Transport: fleetTokenTransport{tokens: c.fleetTokens, next: secure}}}
}

// clientFor returns a client for the host at a fleet address. The transport changes
// the scheme of the URL to https when the fleet servers use TLS.
func (c *fleetClient) clientFor(fleetAddress string) fleetv1connect.FleetServiceClient {
	return fleetv1connect.NewFleetServiceClient(c.http, "http://"+fleetAddress)
}

// ping sends a message to a host and returns the message that it responds with.
func (c *fleetClient) ping(ctx context.Context, fleetAddress string, m host.Message) (host.Message, error) {
	req := connect.NewRequest(&fleetv1.PingRequest{Message: wire.MessageToProto(m)})
	resp, err := c.clientFor(fleetAddress).Ping(ctx, req)
	if err != nil {
		return host.Message{}, err
	}
	return wire.MessageFromProto(resp.Msg.GetMessage()), nil
}
