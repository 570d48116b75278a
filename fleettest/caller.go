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

// Told is what a caller was told of one request.
type Told struct {
	// ID is the id of the request, empty when no answer named it.
	ID     string
	Method string
	Status int
	// Result is Unknown when no whole answer arrived.
	Result caller.Result
	// Body is the whole body of the answer.
	Body string
	Err  error
	At   time.Time
	Took time.Duration
}

// Caller sends requests and records what it was told.
type Caller struct {
	key  string
	http *http.Client
	mu   sync.Mutex
	told []Told
}

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 10 * time.Second

// NewCaller returns a caller at a place, with the key of its account.
func NewCaller(n *Network, place, key string) *Caller {
	transport := &http.Transport{DialContext: n.At(place).DialContext, MaxIdleConnsPerHost: 16}
	return &Caller{key: key, http: &http.Client{Transport: transport, Timeout: callerTimeout}}
}

// Close ends the caller's idle connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Told returns all that the caller was told.
func (c *Caller) Told() []Told {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Told(nil), c.told...)
}

// Send sends one request and records the answer. An empty id lets the host
// mint one.
func (c *Caller) Send(ctx context.Context, address, method, path, id string) Told {
	t := Told{ID: id, Method: method, Result: caller.Unknown, At: time.Now()}
	t.Err = c.do(ctx, "http://"+address+path, &t)
	t.Took = time.Since(t.At)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = append(c.told, t)
	return t
}

func (c *Caller) do(ctx context.Context, url string, t *Told) error {
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
