package daemon

import (
	"context"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/crocushinge/crocushinge/credential"
	"github.com/crocushinge/crocushinge/storage/memory"
	fleetv1 "github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1"
	"github.com/crocushinge/crocushinge/wire/gen/crocushinge/fleet/v1/fleetv1connect"
)

// A ping without a valid fleet token is rejected and counted, and its sender doesn't
// become a peer.
func TestPeerWithoutTheFleetTokenIsRefused(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, testSettings("one"), memory.New())
	ping := connect.NewRequest(&fleetv1.PingRequest{Message: &fleetv1.Message{
		From: &fleetv1.Peer{Id: "stranger", Incarnation: 1, FleetAddress: "127.0.0.1:1"},
	}})
	for i, token := range []string{"", "wrong", "fleets"} {
		client := fleetv1connect.NewFleetServiceClient(
			&http.Client{Transport: fleetTokenTransport{tokens: credential.Static(credential.Tokens{token}), next: http.DefaultTransport}},
			"http://"+d.Self().FleetAddress)
		_, err := client.Ping(context.Background(), ping)
		is.Equal(connect.CodeOf(err), connect.CodeUnauthenticated)
		is.Equal(d.refusedPeerCalls.Load(), int64(i+1))
	}
	is.Equal(len(d.control.snapshot.Load().Peers), 0)
}

// A request with a missing or wrong account key gets status 401 and is counted.
func TestCallerWithoutCredentialsIsCounted(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, testSettings("one"), memory.New())
	eventually(t, "ready", func() bool { return d.control.snapshot.Load().Ready })
	for i, key := range []string{"", "wrong"} {
		status, result, _ := sendRequest(t, d.Self().Address, key)
		is.Equal(status, http.StatusUnauthorized)
		is.Equal(result, "not-run")
		is.Equal(d.handler.Counters().Denied.Load(), int64(i+1))
	}
}
