package traffic

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestRefusedBodyKeepsHTTP2Connection checks that the refusal of a request body does not
// close the caller's HTTP/2 connection, on which other requests may be in flight.
func TestRefusedBodyKeepsHTTP2Connection(t *testing.T) {
	is := is.New(t)
	address := startHost(t, nil, newCountingTarget(t, echo).address())
	var dials atomic.Int64
	c := newClient(t, true)
	c.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	for range 20 {
		resp, err := c.Do(newRequest(t, http.MethodPost, "http://"+address+"/prices", bytes.NewReader(make([]byte, 1<<16+1))))
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	}
	is.Equal(dials.Load(), int64(1))
}
