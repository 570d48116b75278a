package main

import (
	"crypto/x509"
	"net"
	"net/http"
	"time"

	"github.com/crocushinge/crocushinge/credential"
)

// systemCAs is the value of --ca that selects the CAs of this machine.
const systemCAs = "system"

// dialTimeout limits how long a connection attempt to one host takes.
const dialTimeout = 3 * time.Second

// newTransport returns the URL scheme and the transport for requests to hosts.
// They use TLS with the CAs in caFile or, if it is systemCAs, with those of this
// machine. If caFile is empty, they use plain HTTP.
func newTransport(caFile string) (scheme string, transport *http.Transport, err error) {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	if caFile == "" {
		return "http", &http.Transport{DialContext: dial, Proxy: http.ProxyFromEnvironment}, nil
	}
	caPool := credential.Static[*x509.CertPool](nil)
	if caFile != systemCAs {
		if caPool, err = credential.LoadCAs(caFile); err != nil {
			return "", nil, err
		}
	}
	return "https", &http.Transport{DialTLSContext: credential.DialWithCAs(dial, caPool)}, nil
}
