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

// sending is the end of one copy of a request.
type sending struct {
	// sent is set unless it is certain that nothing was sent.
	sent     bool
	response Response
	err      error
}

// errAnswerCut means that an answer did not arrive whole.
var errAnswerCut = errors.New("the answer did not arrive whole")

// send sends one copy of a request to a host.
func (c *Client) send(ctx context.Context, address string, req Request, id string) sending {
	out, err := c.outbound(ctx, address, req, id)
	if err != nil {
		return sending{err: err}
	}
	resp, err := c.cfg.Transport.RoundTrip(out)
	if err != nil {
		c.noteFailed(address)
		return sending{sent: !dialFailed(err), err: errors.Wrapf(err, "host %s", address)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.noteFailed(address)
		return sending{sent: true, err: errors.Wrapf(errAnswerCut, "host %s: %v", address, err)}
	}
	r := Response{Result: caller.Unknown, Status: resp.StatusCode, Header: resp.Header, Body: body, RequestID: id}
	if result, ok := caller.ParseResult(resp.Header.Get(wire.HeaderResult)); ok {
		r.Result = result
	}
	if echo := resp.Header.Get(wire.HeaderRequestID); echo != "" {
		r.RequestID = echo
	}
	return sending{sent: true, response: r}
}

// outbound builds one copy of a request. Its body cannot be replayed by the
// transport.
func (c *Client) outbound(ctx context.Context, address string, req Request, id string) (*http.Request, error) {
	body := io.NopCloser(struct{ io.Reader }{bytes.NewReader(req.Body)})
	out, err := http.NewRequestWithContext(ctx, req.Method, c.scheme+"://"+address+req.Path, body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	out.ContentLength = int64(len(req.Body))
	for name, values := range req.Header {
		out.Header[http.CanonicalHeaderKey(name)] = values
	}
	out.Header.Set(wire.HeaderKey, c.cfg.Key)
	if id != "" {
		out.Header.Set(wire.HeaderRequestID, id)
	}
	if req.Key != "" {
		// net/http replays requests whose key it finds under its usual name.
		out.Header[strings.ToLower(wire.HeaderIdempotencyKey)] = []string{req.Key}
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(0, time.Until(deadline))
		out.Header.Set(wire.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	}
	return out, nil
}

// dialFailed reports whether a transport error means that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// pause waits before a retry. It returns false when ctx ends first.
func pause(ctx context.Context, retry int) bool {
	return wait.For(ctx, caller.Backoff(retry, rand.Float64()))
}
