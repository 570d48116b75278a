// Package endpoint holds the code that the adapters to the platform's services
// share: the configuration of a service, the HTTP client, and the mapping of a
// failed call to an error that says whether it may have taken effect.
package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// DefaultTimeout is the timeout of one call to a service.
const DefaultTimeout = 2 * time.Second

// Timeouts and limits of the connections to a service.
const (
	dialTimeout  = time.Second
	idleTimeout  = 30 * time.Second
	maxConns     = 16
	maxIdleConns = 4
)

// Credentials are the keys with which requests to the platform are signed.
type Credentials struct {
	AccessKeyID     string `yaml:"access-key-id"`
	SecretAccessKey string `yaml:"secret-access-key"`
}

// Config is the configuration of a service's client.
type Config struct {
	// URL is the service's base address, "http://ip:port". Required.
	URL string
	// Region is the region for which requests are signed. Required.
	Region      string
	Credentials Credentials
	// Timeout is the timeout of one call; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Check returns the first error in the configuration, or nil.
func (c Config) Check() error {
	if err := CheckURL(c.URL); err != nil {
		return err
	}
	switch {
	case c.Region == "":
		return errors.New("region is missing")
	case c.Credentials.AccessKeyID == "":
		return errors.New("access-key-id is missing")
	case c.Credentials.SecretAccessKey == "":
		return errors.New("secret-access-key is missing")
	default:
		return nil
	}
}

// CheckURL returns an error unless address is the URL of an HTTP server.
func CheckURL(address string) error {
	u, err := url.Parse(address)
	if err != nil {
		return errors.Wrap(err, "parse endpoint URL")
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.Errorf("endpoint %q: write it as http://ip:port or https://ip:port", address)
	}
	return nil
}

// WithTimeout returns a context for one call that ends after the configured timeout.
func (c Config) WithTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

// NewClient returns an HTTP client that reuses its connections and follows no
// redirects. Reading a response body fails after maxResponseBytes.
func NewClient(maxResponseBytes int64) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		TLSHandshakeTimeout: dialTimeout,
	}
	return &http.Client{
		Transport: responseLimiter{next: transport, maxBytes: maxResponseBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// ErrResponseTooLarge means that a response is larger than any valid one.
var ErrResponseTooLarge = errors.New("response too large")

// responseLimiter is an http.RoundTripper that limits the size of response
// bodies.
type responseLimiter struct {
	next     http.RoundTripper
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (l responseLimiter) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, remaining: l.maxBytes}
	return resp, nil
}

// limitedBody returns the first remaining bytes of a body and fails if the body
// has more.
type limitedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.remaining {
		n, err = int(b.remaining), ErrResponseTooLarge
	}
	b.remaining -= int64(n)
	return n, err
}

// SendTracker records whether a call obtained a connection. Once it has, a part of the
// call may have reached the service.
type SendTracker struct{ connected atomic.Bool }

// MayHaveSent reports whether a part of the call may have been sent. While it is
// false, the call cannot have had an effect.
func (s *SendTracker) MayHaveSent() bool { return s.connected.Load() }

// TrackSend returns a context for one call, and the SendTracker that records
// whether the call obtained a connection.
func TrackSend(ctx context.Context) (context.Context, *SendTracker) {
	sent := &SendTracker{}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.connected.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), sent
}
