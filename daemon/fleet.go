package daemon

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/credential"
	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/wire"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
	"github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1/fleetv1connect"
)

// callTimeout limits one call to a peer or to the platform.
const callTimeout = 2 * time.Second

// compressFrom is the size from which an answer to another host is compressed,
// in bytes. Below it, the processor time is worth more than the bytes.
const compressFrom = 4 << 10

// authorizationHeader carries the fleet's or an operator's token.
const authorizationHeader = "Authorization"

var (
	errFleetToken = errors.New("missing or wrong fleet token")
	errNoSender   = errors.New("the message names no sender")
)

var _ fleetv1connect.FleetServiceHandler = (*fleetServer)(nil)

// fleetServer answers the other hosts.
type fleetServer struct {
	control *control
	peers   *fleetClient
	ring    *timeline.Ring
	// closing ends the streams of the time line.
	closing <-chan struct{}
}

// Ping implements fleetv1connect.FleetServiceHandler. The control thread
// answers, so that an answer shows that it works.
func (s *fleetServer) Ping(ctx context.Context, req *connect.Request[fleetv1.PingRequest]) (*connect.Response[fleetv1.PingResponse], error) {
	answer, err := s.answer(ctx, wire.MessageFromProto(req.Msg.GetMessage()))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&fleetv1.PingResponse{Message: wire.MessageToProto(answer)}), nil
}

// answer takes in a peer's message and returns the one for it.
func (s *fleetServer) answer(ctx context.Context, m host.Message) (host.Message, error) {
	if m.From.ID == "" {
		return host.Message{}, connect.NewError(connect.CodeInvalidArgument, errNoSender)
	}
	s.control.Send(ctx, host.MessageReceived{Message: m})
	var answer host.Message
	err := s.control.Call(ctx, func(core *host.Core) { answer = core.Message(time.Now(), m.From.ID) })
	return answer, err
}

// IndirectPing implements fleetv1connect.FleetServiceHandler.
func (s *fleetServer) IndirectPing(ctx context.Context, req *connect.Request[fleetv1.IndirectPingRequest]) (*connect.Response[fleetv1.IndirectPingResponse], error) {
	subject := wire.PeerFromProto(req.Msg.GetSubject())
	var m host.Message
	if err := s.control.Call(ctx, func(core *host.Core) { m = core.Message(time.Now(), subject.ID) }); err != nil {
		return nil, err
	}
	// The relay keeps half of the asker's time for its own answer.
	timeout := time.Duration(req.Msg.GetTimeoutMillis()) * time.Millisecond / 2
	pingCtx, cancel := context.WithTimeout(ctx, min(timeout, callTimeout))
	defer cancel()
	answer, err := s.peers.ping(pingCtx, subject.FleetAddress, m)
	reached := err == nil && answer.From.ID == subject.ID
	if reached {
		s.control.Send(ctx, host.PingSucceeded{Message: answer})
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
	if asked := req.Msg.GetSignsOf(); len(asked) > 0 {
		err := s.control.Call(ctx, func(core *host.Core) { resp.Leaving = wire.ReportsToProto(core.LeavingTargets(asked)) })
		if err != nil {
			return nil, err
		}
	}
	return connect.NewResponse(resp), nil
}

// Sync implements fleetv1connect.FleetServiceHandler.
func (s *fleetServer) Sync(ctx context.Context, req *connect.Request[fleetv1.SyncRequest]) (*connect.Response[fleetv1.SyncResponse], error) {
	asked := wire.MessageFromProto(req.Msg.GetMessage())
	answer, err := s.answer(ctx, asked)
	if err != nil {
		return nil, err
	}
	resp := &fleetv1.SyncResponse{Message: wire.MessageToProto(answer)}
	if answer.Digest == asked.Digest {
		return connect.NewResponse(resp), nil
	}
	err = s.control.Call(ctx, func(core *host.Core) { resp.Members = wire.UpdatesToProto(core.Members()) })
	return connect.NewResponse(resp), err
}

// Changes implements fleetv1connect.FleetServiceHandler.
func (s *fleetServer) Changes(ctx context.Context, req *connect.Request[fleetv1.ChangesRequest]) (*connect.Response[fleetv1.ChangesResponse], error) {
	resp := &fleetv1.ChangesResponse{}
	err := s.control.Call(ctx, func(core *host.Core) {
		resp.Revision = core.Revision()
		for _, ch := range core.ChangesAfter(req.Msg.GetAfter()) {
			resp.Changes = append(resp.Changes, wire.ChangeToProto(ch))
		}
	})
	return connect.NewResponse(resp), err
}

// Timeline implements fleetv1connect.FleetServiceHandler.
func (s *fleetServer) Timeline(ctx context.Context, req *connect.Request[fleetv1.TimelineRequest], stream *connect.ServerStream[fleetv1.TimelineResponse]) error {
	after := wire.StampFromProto(req.Msg.GetAfter())
	f := wire.FilterFromProto(req.Msg)
	for first := true; ; first = false {
		events, more := s.ring.After(after)
		// Read after the events, so that none of those from it on is missing.
		oldest := s.ring.Oldest()
		if len(events) > 0 {
			after = events[len(events)-1].Stamp
		}
		events = f.Select(events)
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
		case <-s.closing:
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

// requireFleetToken refuses calls that do not come from a host of the fleet.
func (d *Daemon) requireFleetToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get(authorizationHeader), bearer)
		if !ok || !d.credentials.acceptsPeer(token) {
			d.refusedPeers.Add(1)
			http.Error(w, errFleetToken.Error(), http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// fleetTransport adds the fleet token in force to every request.
type fleetTransport struct {
	tokens *credential.Watched[credential.Tokens]
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t fleetTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(authorizationHeader, bearer+t.tokens.Load().Current())
	return t.next.RoundTrip(r)
}

// Limits of the connections to other hosts.
const (
	// fleetIdleTime is how long an idle connection is kept. At hundreds of
	// hosts a host pings the same peer every few minutes only; at tens, a
	// longer time saves the handshakes.
	fleetIdleTime = 90 * time.Second
	// fleetIdleConnections bounds the idle connections to all peers together.
	fleetIdleConnections = 64
)

// fleetClient calls the other hosts.
type fleetClient struct{ http *http.Client }

func newFleetClient(c *credentials, network Network) *fleetClient {
	transport := &http.Transport{
		DialContext:         network.DialContext,
		MaxIdleConns:        fleetIdleConnections,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     fleetIdleTime,
		DisableCompression:  true,
	}
	secure := c.secureTransport(transport, fleetAPIServer)
	return &fleetClient{http: &http.Client{Transport: fleetTransport{tokens: c.fleet, next: secure}}}
}

func (c *fleetClient) to(fleetAddress string) fleetv1connect.FleetServiceClient {
	return fleetv1connect.NewFleetServiceClient(c.http, "http://"+fleetAddress)
}

// ping sends a message to a host and returns its answer.
func (c *fleetClient) ping(ctx context.Context, fleetAddress string, m host.Message) (host.Message, error) {
	req := connect.NewRequest(&fleetv1.PingRequest{Message: wire.MessageToProto(m)})
	resp, err := c.to(fleetAddress).Ping(ctx, req)
	if err != nil {
		return host.Message{}, err
	}
	return wire.MessageFromProto(resp.Msg.GetMessage()), nil
}
