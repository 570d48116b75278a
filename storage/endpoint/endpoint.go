// Package endpoint holds what the adapters to the platform's services share:
// where a service is, the HTTP client to it, and what a failed call says about
// its effect.
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

// DefaultTimeout limits one call to a service.
const DefaultTimeout = 2 * time.Second

// Timeouts and bounds of the connections to a service.
const (
	dialTimeout  = time.Second
	idleTimeout  = 30 * time.Second
	maxConns     = 16
	maxIdleConns = 4
)

// Credentials identify this system to the platform.
type Credentials struct {
	AccessKeyID     string `yaml:"access-key-id"`
	SecretAccessKey string `yaml:"secret-access-key"`
}

// Config says where a service is and how to call it.
type Config struct {
	// URL is the service's base address, "http://ip:port". Required.
	URL string
	// Region is the region that requests are signed for. Required.
	Region      string
	Credentials Credentials
	// Timeout limits one call; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Check returns what is wrong with the configuration, or nil.
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

// CheckURL returns what is wrong with a service's address, or nil.
func CheckURL(address string) error {
	u, err := url.Parse(address)
	if err != nil {
		return errors.Wrap(err, "endpoint")
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.Errorf("endpoint %q: write it as http://ip:port or https://ip:port", address)
	}
	return nil
}

// Limit bounds a call by the configured timeout.
func (c Config) Limit(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

// NewClient returns an HTTP client that reuses its connections, follows no
// redirect and fails on answers of more than maxAnswer bytes.
func NewClient(maxAnswer int64) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		TLSHandshakeTimeout: dialTimeout,
	}
	return &http.Client{
		Transport: limiter{next: transport, maxAnswer: maxAnswer},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// ErrAnswerTooLarge means that a service answered with more bytes than any
// valid answer has.
var ErrAnswerTooLarge = errors.New("answer too large")

// limiter bounds the bodies of answers.
type limiter struct {
	next      http.RoundTripper
	maxAnswer int64
}

// RoundTrip implements http.RoundTripper.
func (l limiter) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, left: l.maxAnswer}
	return resp, nil
}

// limitedBody gives out the bytes left and fails when there are more.
type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.left {
		n, err = int(b.left), ErrAnswerTooLarge
	}
	b.left -= int64(n)
	return n, err
}

// Sent tells whether a call got as far as a connection, so that a byte of it
// may have reached the service.
type Sent struct{ connected atomic.Bool }

// Maybe reports whether a byte may have been sent. While it is false, the call
// certainly had no effect.
func (s *Sent) Maybe() bool { return s.connected.Load() }

// Track returns a context under which a call notes in Sent how far it got.
func Track(ctx context.Context) (context.Context, *Sent) {
	sent := &Sent{}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.connected.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), sent
}
