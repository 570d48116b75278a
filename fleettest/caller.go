package fleettest

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
	"github.com/crocushinge/crocushinge/traffic"
)

// Response is the result of one request as its caller received it.
type Response struct {
	// ID is the id of the request, empty if the caller sent none and no response
	// contained one.
	ID     string
	Method string
	Status int
	// Result is Unknown if no complete response arrived.
	Result caller.Result
	// Body is the complete body of the response.
	Body string
	Err  error
	// SentAt is the time at which the request was sent.
	SentAt time.Time
	// Duration is the time until the end of the response or the error.
	Duration time.Duration
}

// Caller sends requests and records their results.
type Caller struct {
	key       string
	http      *http.Client
	mu        sync.Mutex
	responses []Response
}

// callerTimeout is the timeout of a request, from the connection attempt to the
// end of the response.
const callerTimeout = 10 * time.Second

// NewCaller returns a caller at a node, with the key of its account.
func NewCaller(n *Network, node, key string) *Caller {
	transport := &http.Transport{DialContext: n.At(node).DialContext, MaxIdleConnsPerHost: 16}
	return &Caller{key: key, http: &http.Client{Transport: transport, Timeout: callerTimeout}}
}

// Close closes the caller's idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Responses returns the results of all requests so far.
func (c *Caller) Responses() []Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Response(nil), c.responses...)
}

// Send sends one request and records its result. If id is empty, the host
// mints one.
func (c *Caller) Send(ctx context.Context, address, method, path, id string) Response {
	t := Response{ID: id, Method: method, Result: caller.Unknown, SentAt: time.Now()}
	t.Err = c.do(ctx, "http://"+address+path, &t)
	t.Duration = time.Since(t.SentAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses = append(c.responses, t)
	return t
}

func (c *Caller) do(ctx context.Context, url string, t *Response) error {
	req, err := http.NewRequestWithContext(ctx, t.Method, url, strings.NewReader(""))
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set(traffic.HeaderAccountKey, c.key)
	if t.ID != "" {
		req.Header.Set(traffic.HeaderRequestID, t.ID)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	t.Status = resp.StatusCode
	if id := resp.Header.Get(traffic.HeaderRequestID); id != "" {
		t.ID = id
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	t.Body = string(body)
	if result, ok := caller.ParseResult(resp.Header.Get(traffic.HeaderResult)); ok {
		t.Result = result
	}
	return nil
}
