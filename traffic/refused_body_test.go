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

// An HTTP/2 caller whose body is refused keeps its connection: its other
// requests on it are not disturbed, and the next ones need no new connection.
func TestRefusedBodyKeepsAnHTTP2Connection(t *testing.T) {
	is := is.New(t)
	address := front(t, nil, newTarget(t, echo).address())
	var dials atomic.Int64
	c := client(t, true)
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
