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

// silentAddress is the address of a target that answers no attempt to connect.
const silentAddress = "silent:80"

// dialOrWait reaches every target but the silent one, for which it waits until
// the dial is given up.
func (p pipes) dialOrWait(ctx context.Context, network, address string) (net.Conn, error) {
	if address != silentAddress {
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

// TestSilentTarget sends requests to targets one of which lets every attempt
// to connect run into its timeout.
func TestSilentTarget(t *testing.T) {
	// Each attempt waits for its dial, and for a pause before the next.
	const longest = maxAttempts * (dialTimeout + 200*time.Millisecond)
	for name, test := range map[string]struct {
		request string
		targets []string
		status  int
		result  string
		// longest is the time for the answer.
		longest time.Duration
	}{
		"order, no other target":   {"POST /orders", []string{silentAddress}, http.StatusBadGateway, "not-run", longest},
		"price, no other target":   {"GET /prices", []string{silentAddress}, http.StatusBadGateway, "not-run", longest},
		"price, one other target":  {"GET /prices", []string{silentAddress, "target:80"}, http.StatusCreated, "completed", longest},
		"order, silent target out": {"POST /orders", []string{"target:80"}, http.StatusCreated, "completed", 0},
	} {
		t.Run(name, func(t *testing.T) {
			dialer := func(targets pipes) DialFunc { return targets.dialOrWait }
			pipeBench(t, test.targets, echo, dialer, func(t *testing.T, callers pipes) {
				is := is.New(t)
				for range 10 {
					start := time.Now()
					conn, _ := callers.dial(t.Context(), "", "")
					_, err := io.WriteString(conn, withKey(test.request, "Content-Length: 0"))
					is.NoErr(err)
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					is.NoErr(err)
					is.Equal(resp.StatusCode, test.status)
					is.Equal(resp.Header.Get(HeaderResult), test.result)
					is.True(time.Since(start) <= test.longest)
					conn.Close()
				}
			})
		})
	}
}
