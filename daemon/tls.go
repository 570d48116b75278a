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

// secure makes a server speak TLS by the keys in force, with HTTP/1.1 and
// HTTP/2 by ALPN.
func (s *server) secure(keys *credential.Watched[*credential.Keys]) {
	s.tls = true
	s.http.TLSConfig = credential.ServerConfig(keys)
	s.http.Protocols = new(http.Protocols)
	s.http.Protocols.SetHTTP1(true)
	s.http.Protocols.SetHTTP2(true)
}

// secureServers turns TLS on for the servers that have keys.
func (d *Daemon) secureServers() {
	for i, s := range d.servers {
		if keys := d.credentials.keys[i]; keys != nil {
			s.secure(keys)
			s.http.ErrorLog = log.New(&serverLog{refused: &d.credentials.refusedHandshakes, log: d.log}, "", 0)
		}
	}
}

// handshakeFailed begins the lines of net/http on failed handshakes.
const handshakeFailed = "http: TLS handshake error"

// serverLog takes the lines of an http.Server. It counts failed handshakes,
// which any stranger can cause, and logs the rest.
type serverLog struct {
	refused *atomic.Int64
	log     zerolog.Logger
}

// Write implements io.Writer.
func (l *serverLog) Write(line []byte) (int, error) {
	if bytes.HasPrefix(line, []byte(handshakeFailed)) {
		l.refused.Add(1)
		return len(line), nil
	}
	l.log.Error().Msg(string(bytes.TrimSpace(line)))
	return len(line), nil
}

// peerTraffic returns the transport of requests that are passed on to other
// hosts.
func (d *Daemon) peerTraffic(network Network) http.RoundTripper {
	transport := traffic.NewPeerTransport(network.DialContext)
	return d.credentials.secureTransport(transport, callerServer)
}

// secureTransport makes a transport to a server of the other hosts use TLS,
// when that server has it.
func (c *credentials) secureTransport(t *http.Transport, server int) http.RoundTripper {
	keys := c.keys[server]
	if keys == nil {
		return t
	}
	t.DialTLSContext = credential.DialKeys(t.DialContext, keys)
	// Nothing is ever sent in plain.
	t.DialContext = nil
	return httpsTransport{next: t}
}

// httpsTransport sends every request by TLS.
type httpsTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t httpsTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	out := *r
	address := *r.URL
	address.Scheme = "https"
	out.URL = &address
	return t.next.RoundTrip(&out)
}
