package client

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/internal/wait"
	"github.com/crocushinge/crocushinge/wire"
)

// sendResult is what sending one copy of a request led to.
type sendResult struct {
	// maybeSent is set unless it is certain that nothing was sent.
	maybeSent bool
	response  Response
	err       error
}

var errIncompleteResponse = errors.New("incomplete response")

// send sends one copy of a request to a host.
func (c *Client) send(ctx context.Context, address string, req Request, id string) sendResult {
	out, err := c.newHTTPRequest(ctx, address, req, id)
	if err != nil {
		return sendResult{err: err}
	}
	resp, err := c.cfg.Transport.RoundTrip(out)
	if err != nil {
		c.recordFailure(address)
		return sendResult{maybeSent: !dialFailed(err), err: errors.Wrapf(err, "host %s", address)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.recordFailure(address)
		return sendResult{maybeSent: true, err: errors.Wrapf(errIncompleteResponse, "host %s: %v", address, err)}
	}
	r := Response{Result: caller.Unknown, Status: resp.StatusCode, Header: resp.Header, Body: body, RequestID: id}
	if result, ok := caller.ParseResult(resp.Header.Get(wire.HeaderResult)); ok {
		r.Result = result
	}
	if echo := resp.Header.Get(wire.HeaderRequestID); echo != "" {
		r.RequestID = echo
	}
	return sendResult{maybeSent: true, response: r}
}

// newHTTPRequest builds one copy of a request. The type of the body hides that the
// body can be rewound, so that the transport never sends the copy a second time.
func (c *Client) newHTTPRequest(ctx context.Context, address string, req Request, id string) (*http.Request, error) {
	body := io.NopCloser(struct{ io.Reader }{bytes.NewReader(req.Body)})
	out, err := http.NewRequestWithContext(ctx, req.Method, c.scheme+"://"+address+req.Path, body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	out.ContentLength = int64(len(req.Body))
	for name, values := range req.Header {
		out.Header[http.CanonicalHeaderKey(name)] = values
	}
	out.Header.Set(wire.HeaderAccountKey, c.cfg.AccountKey)
	if id != "" {
		out.Header.Set(wire.HeaderRequestID, id)
	}
	if req.IdempotencyKey != "" {
		// In lower case, since net/http retries requests on its own if it finds
		// the header under its canonical name.
		out.Header[strings.ToLower(wire.HeaderIdempotencyKey)] = []string{req.IdempotencyKey}
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(0, time.Until(deadline))
		out.Header.Set(wire.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	}
	return out, nil
}

// dialFailed reports whether a transport error occurred while the connection was
// opened, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// waitBackoff waits before a retry. It returns false if ctx ends first.
func waitBackoff(ctx context.Context, retry int) bool {
	return wait.For(ctx, caller.Backoff(retry, rand.Float64()))
}
