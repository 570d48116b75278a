package traffic

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blackholeAddress is the address of a target at which every attempt to connect times
// out.
const blackholeAddress = "blackhole:80"

// dialExceptBlackhole connects to any address but blackholeAddress, for which it waits
// for dialTimeout and returns an error.
func (p pipeListener) dialExceptBlackhole(ctx context.Context, network, address string) (net.Conn, error) {
	if address != blackholeAddress {
		return p.dial(ctx, network, address)
	}
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
}

// TestConnectTimeout checks requests to a service with a target that cannot be
// connected to. Each attempt at that target takes dialTimeout.
func TestConnectTimeout(t *testing.T) {
	// Each attempt takes the connect timeout and the backoff before the next one.
	const maxTotal = maxAttempts * (dialTimeout + 200*time.Millisecond)
	for name, test := range map[string]struct {
		request string
		targets []string
		status  int
		result  string
		// maxTime is the longest time until the response.
		maxTime time.Duration
	}{
		"order, no other target":   {"POST /orders", []string{blackholeAddress}, http.StatusBadGateway, "not-run", maxTotal},
		"price, no other target":   {"GET /prices", []string{blackholeAddress}, http.StatusBadGateway, "not-run", maxTotal},
		"price, one other target":  {"GET /prices", []string{blackholeAddress, "target:80"}, http.StatusCreated, "completed", maxTotal},
		"order, only other target": {"POST /orders", []string{"target:80"}, http.StatusCreated, "completed", 0},
	} {
		t.Run(name, func(t *testing.T) {
			newDial := func(targets pipeListener) DialFunc { return targets.dialExceptBlackhole }
			testOverPipes(t, test.targets, echo, newDial, func(t *testing.T, callers pipeListener) {
				is := is.New(t)
				for range 10 {
					start := time.Now()
					conn, _ := callers.dial(t.Context(), "", "")
					_, err := io.WriteString(conn, rawRequest(test.request, "Content-Length: 0"))
					is.NoErr(err)
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					is.NoErr(err)
					is.Equal(resp.StatusCode, test.status)
					is.Equal(resp.Header.Get(HeaderResult), test.result)
					is.True(time.Since(start) <= test.maxTime)
					conn.Close()
				}
			})
		})
	}
}
