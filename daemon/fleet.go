package daemon

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/host"
	"github.com/crocushinge/crocushinge/timeline"
	"github.com/crocushinge/crocushinge/wire"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
	"github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1/fleetv1connect"
)

// callTimeout limits one call to a peer or to the platform.
const callTimeout = 2 * time.Second

// authorizationHeader carries the fleet's or an operator's token.
const authorizationHeader = "Authorization"

var errFleetToken = errors.New("missing or wrong fleet token")

var _ fleetv1connect.FleetServiceHandler = (*fleetServer)(nil)

// fleetServer answers the other hosts.
type fleetServer struct {
	control *control
	ring    *timeline.Ring
}

// Heartbeat implements fleetv1connect.FleetServiceHandler.
func (s *fleetServer) Heartbeat(ctx context.Context, req *connect.Request[fleetv1.HeartbeatRequest]) (*connect.Response[fleetv1.HeartbeatResponse], error) {
	m := req.Msg
	s.control.send(ctx, host.HeartbeatHeard{
		From:     wire.PeerFromProto(m.GetFrom()),
		Revision: m.GetRevision(),
		Stamp:    wire.StampFromProto(m.GetStamp()),
	})
	resp := &fleetv1.HeartbeatResponse{}
	err := s.control.call(ctx, func(core *host.Core) {
		resp.From = wire.PeerToProto(core.Self())
		resp.Revision = core.Revision()
		resp.Stamp = wire.StampToProto(core.Stamp(time.Now()))
		resp.Peers = wire.PeersToProto(core.Peers())
	})
	return connect.NewResponse(resp), err
}

// Changes implements fleetv1connect.FleetServiceHandler.
func (s *fleetServer) Changes(ctx context.Context, req *connect.Request[fleetv1.ChangesRequest]) (*connect.Response[fleetv1.ChangesResponse], error) {
	resp := &fleetv1.ChangesResponse{}
	err := s.control.call(ctx, func(core *host.Core) {
		resp.Revision = core.Revision()
		for _, ch := range core.Changes(req.Msg.GetAfter()) {
			resp.Changes = append(resp.Changes, wire.ChangeToProto(ch))
		}
	})
	return connect.NewResponse(resp), err
}

// Timeline implements fleetv1connect.FleetServiceHandler.
func (s *fleetServer) Timeline(ctx context.Context, req *connect.Request[fleetv1.TimelineRequest], stream *connect.ServerStream[fleetv1.TimelineResponse]) error {
	after := wire.StampFromProto(req.Msg.GetAfter())
	for {
		events, more := s.ring.After(after)
		for _, e := range events {
			data, err := json.Marshal(e)
			if err != nil {
				return errors.Wrap(err, "encode event")
			}
			if err := stream.Send(&fleetv1.TimelineResponse{Event: data}); err != nil {
				return err
			}
			after = e.Stamp
		}
		if !req.Msg.GetFollow() {
			return nil
		}
		select {
		case <-more:
		case <-ctx.Done():
			return nil
		}
	}
}

// requireToken refuses requests without the bearer token.
func requireToken(token string, next http.Handler) http.Handler {
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(authorizationHeader)), want) != 1 {
			http.Error(w, errFleetToken.Error(), http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// tokenTransport adds the bearer token to every request.
type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(authorizationHeader, "Bearer "+t.token)
	return t.next.RoundTrip(r)
}

// fleetClient calls the other hosts.
type fleetClient struct{ http *http.Client }

func newFleetClient(token string) *fleetClient {
	return &fleetClient{http: &http.Client{Transport: tokenTransport{token: token, next: http.DefaultTransport}}}
}

func (c *fleetClient) to(fleetAddress string) fleetv1connect.FleetServiceClient {
	return fleetv1connect.NewFleetServiceClient(c.http, "http://"+fleetAddress)
}
