package main

import (
	"crypto/x509"
	"net"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/credential"
)

// systemCAs stands for the CAs of this machine.
const systemCAs = "system"

// dialTimeout limits opening a connection to one host.
const dialTimeout = 3 * time.Second

// newTransport returns the scheme and the transport to hosts. Without CAs they
// are for plain HTTP.
func newTransport(cas string) (scheme string, transport *http.Transport, err error) {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	if cas == "" {
		return "http", &http.Transport{DialContext: dial, Proxy: http.ProxyFromEnvironment}, nil
	}
	pool := credential.Static[*x509.CertPool](nil)
	if cas != systemCAs {
		if pool, err = credential.LoadCAs(cas); err != nil {
			return "", nil, err
		}
	}
	return "https", &http.Transport{DialTLSContext: credential.DialWithCAs(dial, pool)}, nil
}
