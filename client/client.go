// Package client calls services through the fleet. It asks the caller
// directory which hosts to use, keeps the answer for its time, and turns to
// another host when one fails. An idempotent request may be sent again at will.
// A non-idempotent one is sent again only under the id that it was first sent
// with, or under a new id after it is certain that the old one was not run and
// never will be, so that it runs once at most.
//
//	c, err := client.New(client.Config{
//		Seeds:   []string{"10.0.0.1:8081", "10.0.1.1:8081"},
//		Service: "checkout",
//		Key:     key,
//	})
//	resp, err := c.Do(ctx, client.Request{Method: "POST", Path: "/orders", Body: order})
package client

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/caller"
)

// Config is what a Client needs.
type Config struct {
	// Seeds are API addresses of hosts, "ip:port", to ask first. Required.
	Seeds []string
	// Service is the service to call. Required.
	Service string
	// Zone is the caller's availability zone. Default: none, any host is near.
	Zone string
	// Key is the secret key of the caller's account.
	Key string
	// Attempts is how many times one request is sent at most. Default: 6.
	Attempts int
	// CAFile names the PEM file of the CAs that signed the hosts' certificates,
	// and makes the client use TLS. It is read again when it changes. Default:
	// none, plain HTTP.
	CAFile string
	// Dial opens the connections of the client's own transport. Default: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Transport sends the requests. Default: one of the client's own. It is not
	// given together with CAFile or Dial.
	Transport http.RoundTripper
	// TLS makes the client use TLS without a CAFile: with the CAs of the machine,
	// or of the Transport that was given.
	TLS bool
}

// Defaults of a Config.
const (
	defaultAttempts = 6
	dialTimeout     = time.Second
	idlePerHost     = 16
)

// Request is one request to the service.
type Request struct {
	Method string
	// Path is the path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent declares that the request may run more than once, as the
	// route of the service does.
	Idempotent bool
	// Key is an idempotency key of the caller's own, or empty.
	Key string
}

// Response is a whole answer, or the news that there is none.
type Response struct {
	// Result tells what became of the request. When it is Unknown, repeating
	// the request could run it twice; its RequestID explains it to operators.
	Result caller.Result
	// Status is the HTTP status of the answer; 0 when there is none.
	Status int
	Header http.Header
	Body   []byte
	// RequestID is the id under which the request was sent last.
	RequestID string
}

// ErrNoHost means that no host could be asked.
var ErrNoHost = errors.New("no host of the fleet can be reached")

// Client calls one service. It is safe for concurrent use.
type Client struct {
	cfg Config
	// scheme is http or https.
	scheme string

	mu        sync.Mutex
	directory directory
	// failed holds when a host last failed, by its caller address.
	failed map[string]time.Time
}

// New returns a client.
func New(cfg Config) (*Client, error) {
	if len(cfg.Seeds) == 0 || cfg.Service == "" {
		return nil, errors.New("client: seeds and service are required")
	}
	if cfg.Attempts == 0 {
		cfg.Attempts = defaultAttempts
	}
	c := &Client{cfg: cfg, scheme: "http", failed: make(map[string]time.Time)}
	if cfg.TLS || cfg.CAFile != "" {
		c.scheme = "https"
	}
	if err := c.cfg.completeTransport(); err != nil {
		return nil, err
	}
	return c, nil
}

// Do sends a request and returns the whole answer. The error is not nil only
// when there is no answer to pass on; Response.Result holds in any case.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	if req.Idempotent {
		return c.doIdempotent(ctx, req)
	}
	return c.doOnce(ctx, req)
}

// doIdempotent sends a request to one host after the other.
func (c *Client) doIdempotent(ctx context.Context, req Request) (Response, error) {
	last := Response{Result: caller.NotRun}
	var err error
	for attempt := range c.cfg.Attempts {
		if attempt > 0 && !pause(ctx, attempt) {
			break
		}
		var hosts []string
		if hosts, _, err = c.hosts(ctx); err != nil {
			continue
		}
		s := c.send(ctx, hosts[attempt%len(hosts)], req, "")
		if !s.sent {
			err = s.err
			continue
		}
		last, err = s.response, s.err
		if err == nil && (last.Result == caller.Completed || !worthRetry(last)) {
			return last, nil
		}
	}
	return last, err
}

// worthRetry reports whether another host, or the same one later, may do
// better: the request itself was not at fault.
func worthRetry(r Response) bool { return r.Status >= http.StatusInternalServerError }
