package daemon

import (
	"bytes"
	"log"
	"net/http"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/crocushinge/crocushinge/credential"
	"github.com/crocushinge/crocushinge/traffic"
)

// enableTLS makes a server use TLS with the keys in force at each handshake. ALPN
// selects HTTP/1.1 or HTTP/2.
func (s *server) enableTLS(keys *credential.Reloadable[*credential.Keys]) {
	s.usesTLS = true
	s.http.TLSConfig = credential.ServerConfig(keys)
	s.http.Protocols = new(http.Protocols)
	s.http.Protocols.SetHTTP1(true)
	s.http.Protocols.SetHTTP2(true)
}

// enableTLS makes the servers that have keys use TLS.
func (d *Daemon) enableTLS() {
	for i, s := range d.servers {
		if keys := d.credentials.tlsKeys[i]; keys != nil {
			s.enableTLS(keys)
			s.http.ErrorLog = log.New(&serverErrorLog{failedHandshakes: &d.credentials.failedHandshakes, log: d.log}, "", 0)
		}
	}
}

// handshakeErrorPrefix is how net/http starts its log lines about failed handshakes.
const handshakeErrorPrefix = "http: TLS handshake error"

// serverErrorLog receives the log lines of an http.Server. It only counts failed
// handshakes, since anyone who can connect could flood the log with them, and logs
// all other lines.
type serverErrorLog struct {
	failedHandshakes *atomic.Int64
	log              zerolog.Logger
}

// Write implements io.Writer.
func (l *serverErrorLog) Write(line []byte) (int, error) {
	if bytes.HasPrefix(line, []byte(handshakeErrorPrefix)) {
		l.failedHandshakes.Add(1)
		return len(line), nil
	}
	l.log.Error().Msg(string(bytes.TrimSpace(line)))
	return len(line), nil
}

// forwardTransport returns the transport for requests that are forwarded to other
// hosts.
func (d *Daemon) forwardTransport(network Network) http.RoundTripper {
	transport := traffic.NewPeerTransport(network.DialContext)
	return d.credentials.tlsTransport(transport, callerServer)
}

// tlsTransport returns a transport that connects to the given server of other hosts
// with TLS. If that server has no TLS, it returns t unchanged.
func (c *credentials) tlsTransport(t *http.Transport, server int) http.RoundTripper {
	keys := c.tlsKeys[server]
	if keys == nil {
		return t
	}
	t.DialTLSContext = credential.DialWithKeys(t.DialContext, keys)
	// Without DialContext, the transport can open no connection in cleartext.
	t.DialContext = nil
	return httpsTransport{next: t}
}

// httpsTransport changes the scheme of every request to https.
type httpsTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t httpsTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	out := *r
	address := *r.URL
	address.Scheme = "https"
	out.URL = &address
	return t.next.RoundTrip(&out)
}
