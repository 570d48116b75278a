package client

import (
	"context"
	"crypto/x509"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/credential"
)

// caInterval is the least time between two looks at the CA file.
const caInterval = 10 * time.Second

// completeTransport fills in the client's own transport.
func (cfg *Config) completeTransport() error {
	if cfg.Transport != nil {
		if cfg.CAFile != "" || cfg.Dial != nil {
			return errors.New("client: a transport comes with its own CAs and connections; give it without CAFile and Dial")
		}
		return nil
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: idlePerHost}
	switch {
	case cfg.CAFile != "":
		cas, err := credential.WatchCAs(cfg.CAFile)
		if err != nil {
			return errors.Wrap(err, "client")
		}
		r := &refresher{cas: cas, last: time.Now()}
		transport.DialTLSContext = r.before(credential.DialCAs(cfg.Dial, cas))
	case cfg.TLS:
		transport.DialTLSContext = credential.DialCAs(cfg.Dial, credential.Fixed[*x509.CertPool](nil))
	}
	cfg.Transport = transport
	return nil
}

// refresher reads the CA file again when a connection is opened.
type refresher struct {
	cas  *credential.Watched[*x509.CertPool]
	mu   sync.Mutex
	last time.Time
}

// before returns a Dial that looks at the CA file first.
func (r *refresher) before(dial credential.Dial) credential.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		r.refresh()
		return dial(ctx, network, address)
	}
}

func (r *refresher) refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.last) < caInterval {
		return
	}
	r.last = time.Now()
	// A file at fault leaves the earlier CAs in force.
	_, _ = r.cas.Refresh()
}
