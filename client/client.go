// Package client calls services through the fleet. It fetches the list of hosts
// from the caller directory, caches it for as long as the directory allows, and
// fails over to another host when one fails.
//
// Idempotent requests are retried freely. A non-idempotent request is retried
// only with the id it was first sent with, or with a new id once it is certain
// that the request with the old id has not run and never will. It therefore runs
// at most once.
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

// Config holds the settings of a Client.
type Config struct {
	// Seeds are the API addresses of hosts, as "ip:port", from which the client
	// fetches its first host list. Required.
	Seeds []string
	// Service is the service to call. Required.
	Service string
	// Zone is the caller's availability zone; the directory prefers hosts near it.
	// Default: none, no host is preferred.
	Zone string
	// AccountKey is the secret key of the caller's account.
	AccountKey string
	// MaxAttempts limits how many times a request is sent. Default: 6.
	MaxAttempts int
	// CAFile is the path of a PEM file with the CAs that signed the hosts'
	// certificates. When it is set, the client uses TLS. It is reloaded when it
	// changes. Default: none, plain HTTP.
	CAFile string
	// Dial opens the connections of the default transport. Default: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Transport sends the requests. It cannot be combined with CAFile or Dial.
	// Default: an http.Transport that the client creates.
	Transport http.RoundTripper
	// TLS makes the client use TLS without a CAFile. Certificates are verified
	// with the system's CAs, or as Transport does it if that is set.
	TLS bool
}

// Defaults of a Config.
const (
	defaultAttempts     = 6
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 16
)

// Request is one request to the service.
type Request struct {
	Method string
	// Path is the path, including the query.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent declares that the request may run more than once. It must agree
	// with the service's route.
	Idempotent bool
	// IdempotencyKey is a key that the caller chose, or empty.
	IdempotencyKey string
}

// Response is a complete response, or the result of a request without one.
type Response struct {
	// Result is the outcome of the request. If it is Unknown, sending the request
	// again could run it twice; operators can look it up by its RequestID.
	Result caller.Result
	// Status is the HTTP status; 0 if there is no response.
	Status int
	Header http.Header
	Body   []byte
	// RequestID is the id with which the request was last sent.
	RequestID string
}

// ErrNoHost means that no host list could be fetched and no usable one is cached.
var ErrNoHost = errors.New("no host of the fleet can be reached")

// Client calls one service. It is safe for concurrent use.
type Client struct {
	cfg Config
	// scheme is "http" or "https".
	scheme string

	mu        sync.Mutex
	directory directory
	// lastFailure holds the time of each host's last failure, by caller address.
	lastFailure map[string]time.Time
}

// New returns a client.
func New(cfg Config) (*Client, error) {
	if len(cfg.Seeds) == 0 || cfg.Service == "" {
		return nil, errors.New("client: seeds and service are required")
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultAttempts
	}
	c := &Client{cfg: cfg, scheme: "http", lastFailure: make(map[string]time.Time)}
	if cfg.TLS || cfg.CAFile != "" {
		c.scheme = "https"
	}
	if err := c.cfg.setDefaultTransport(); err != nil {
		return nil, err
	}
	return c, nil
}

// Do sends a request and returns the complete response. The error is non-nil
// only when there is no response; Response.Result is valid even then.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	if req.Idempotent {
		return c.doIdempotent(ctx, req)
	}
	return c.doAtMostOnce(ctx, req)
}

// doIdempotent sends a request to one host after another until a response is final
// or the attempts are used up.
func (c *Client) doIdempotent(ctx context.Context, req Request) (Response, error) {
	last := Response{Result: caller.NotRun}
	var err error
	for attempt := range c.cfg.MaxAttempts {
		if attempt > 0 && !waitBackoff(ctx, attempt) {
			break
		}
		var hosts []string
		if hosts, _, err = c.hostAddresses(ctx); err != nil {
			continue
		}
		sent := c.send(ctx, hosts[attempt%len(hosts)], req, "")
		if !sent.maybeSent {
			err = sent.err
			continue
		}
		last, err = sent.response, sent.err
		if err == nil && (last.Result == caller.Completed || !retryable(last)) {
			return last, nil
		}
	}
	return last, err
}

// retryable reports whether a retry, at another host or later, may succeed. That is
// so for statuses of 500 and above: the request itself was not at fault.
func retryable(r Response) bool { return r.Status >= http.StatusInternalServerError }
