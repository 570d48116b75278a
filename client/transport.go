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

// caCheckInterval is the minimum time between two checks of the CA file.
const caCheckInterval = 10 * time.Second

// setDefaultTransport creates a transport if none was given.
func (cfg *Config) setDefaultTransport() error {
	if cfg.Transport != nil {
		if cfg.CAFile != "" || cfg.Dial != nil {
			return errors.New("client: Transport cannot be combined with CAFile or Dial; set up CAs and dialing in the transport")
		}
		return nil
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: maxIdleConnsPerHost}
	switch {
	case cfg.CAFile != "":
		cas, err := credential.LoadCAs(cfg.CAFile)
		if err != nil {
			return errors.Wrap(err, "client")
		}
		r := &caRefresher{cas: cas, lastChecked: time.Now()}
		transport.DialTLSContext = r.refreshBeforeDial(credential.DialWithCAs(cfg.Dial, cas))
	case cfg.TLS:
		transport.DialTLSContext = credential.DialWithCAs(cfg.Dial, credential.Static[*x509.CertPool](nil))
	}
	cfg.Transport = transport
	return nil
}

// caRefresher reloads the CA file before a connection is opened.
type caRefresher struct {
	cas         *credential.Reloadable[*x509.CertPool]
	mu          sync.Mutex
	lastChecked time.Time
}

// refreshBeforeDial returns a Dial that first reloads the CA file if that is due.
func (r *caRefresher) refreshBeforeDial(dial credential.DialFunc) credential.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		r.refresh()
		return dial(ctx, network, address)
	}
}

func (r *caRefresher) refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastChecked) < caCheckInterval {
		return
	}
	r.lastChecked = time.Now()
	// If the file is unusable, the previous CAs stay in use.
	_, _ = r.cas.Reload()
}
