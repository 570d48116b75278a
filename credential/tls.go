package credential

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Protocol names for ALPN (RFC 7301).
const (
	alpnHTTP1 = "http/1.1"
	alpnHTTP2 = "h2"
)

// handshakeTimeout limits opening a connection as a client, the TLS handshake
// included.
const handshakeTimeout = 2 * time.Second

func newKeys(pair tls.Certificate, cas *x509.CertPool, expires time.Time, opts KeyOptions) *Keys {
	k := &Keys{expires: expires}
	k.server = &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{pair},
		NextProtos:   []string{alpnHTTP2, alpnHTTP1},
		Time:         opts.Now,
	}
	k.client = newClientConfig(cas, opts.Now)
	if opts.Mutual {
		k.server.MinVersion, k.client.MinVersion = tls.VersionTLS13, tls.VersionTLS13
		k.server.ClientAuth, k.server.ClientCAs = tls.RequireAndVerifyClientCert, cas
		k.client.Certificates = []tls.Certificate{pair}
	}
	return k
}

func newClientConfig(cas *x509.CertPool, now func() time.Time) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    cas,
		NextProtos: []string{alpnHTTP1},
		Time:       now,
	}
}

// ServerConfig returns the configuration of a TLS server. Each handshake uses the
// keys that are current at that moment.
func ServerConfig(keys *Reloadable[*Keys]) *tls.Config {
	initial := keys.Load().server
	return &tls.Config{
		MinVersion: initial.MinVersion,
		NextProtos: initial.NextProtos,
		Time:       initial.Time,
		// A resumed session would stay valid after the CA that verified the client
		// was removed.
		SessionTicketsDisabled: initial.ClientAuth == tls.RequireAndVerifyClientCert,
		GetConfigForClient:     func(*tls.ClientHelloInfo) (*tls.Config, error) { return keys.Load().server, nil },
	}
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialWithKeys returns a DialFunc that connects to other hosts with TLS. Each connection
// uses the keys that are current when it is opened.
func DialWithKeys(dial DialFunc, keys *Reloadable[*Keys]) DialFunc {
	return dialTLS(dial, func() *tls.Config { return keys.Load().client })
}

// DialWithCAs returns a DialFunc that connects with TLS to hosts whose certificates were
// signed by one of the CAs. A nil pool stands for the CAs of the system.
func DialWithCAs(dial DialFunc, cas *Reloadable[*x509.CertPool]) DialFunc {
	return dialTLS(dial, func() *tls.Config { return newClientConfig(cas.Load(), nil) })
}

// dialTLS returns a Dial that includes the TLS handshake. A failed handshake is
// returned as a net.OpError with the operation "dial", which tells callers that no
// byte of a request was sent.
func dialTLS(dial DialFunc, config func() *tls.Config) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		cfg := config().Clone()
		if cfg.ServerName, _, err = net.SplitHostPort(address); err != nil {
			cfg.ServerName = address
		}
		tlsConn := tls.Client(conn, cfg)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Addr: conn.RemoteAddr(), Err: errors.Wrap(err, "TLS handshake")}
		}
		return tlsConn, nil
	}
}
