package daemon

import (
	"net/netip"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/credential"
)

// TLSSettings names the files for TLS on one address, in PEM. They are read
// again when they change.
type TLSSettings struct {
	// CertificateFile holds the certificate of this host, followed by those
	// between it and the CA. It names the host's IP number. Required.
	CertificateFile string `yaml:"certificate-file"`
	// KeyFile holds the private key, which only the process's user and group
	// may read. Required.
	KeyFile string `yaml:"key-file"`
	// CAFile holds the CAs that signed the certificates of this address on all
	// hosts; the hosts check each other by it. Required in caller-tls, where
	// hosts pass requests on, and in fleet-tls, where both ends of a connection
	// show a certificate.
	CAFile string `yaml:"ca-file"`
}

func (t TLSSettings) given() bool { return t != TLSSettings{} }

// tlsSection is the TLS of one address.
type tlsSection struct {
	// name is the field of the settings.
	name    string
	files   *TLSSettings
	address string
	needsCA bool
	// mutual is set where both ends of a connection show a certificate.
	mutual bool
}

// tlsSections returns the TLS of the addresses, in the order of the servers.
func (s *Settings) tlsSections() []tlsSection {
	return []tlsSection{
		callerServer:   {name: "caller-tls", files: &s.CallerTLS, address: s.Address, needsCA: true},
		apiServer:      {name: "api-tls", files: &s.APITLS, address: s.APIAddress},
		fleetAPIServer: {name: "fleet-tls", files: &s.FleetTLS, address: s.FleetAddress, needsCA: true, mutual: true},
	}
}

// watch reads the keys of the address. The error is of credential.Faults.
func (t tlsSection) watch() (*credential.Watched[*credential.Keys], error) {
	address, _ := netip.ParseAddrPort(t.address)
	return credential.WatchKeys(
		credential.KeyFiles{Certificate: t.files.CertificateFile, Key: t.files.KeyFile, CA: t.files.CAFile},
		credential.KeyOptions{Address: address.Addr(), Mutual: t.mutual},
	)
}

// tls checks the TLS of all addresses. One address without it would carry in
// plain a token that the others keep secret: the fleet's with requests that are
// passed on, or an operator's.
func (c *settingsCheck) tls() {
	sections := c.settings.tlsSections()
	given := false
	for _, t := range sections {
		given = given || t.files.given() || c.places.Has(t.name)
	}
	if !given {
		return
	}
	for _, t := range sections {
		if !t.files.given() {
			c.report(t.name, t.name+" is missing while another address has TLS, so that tokens would travel in plain", "give "+t.name+" too")
			continue
		}
		c.tlsFiles(t)
	}
}

func (c *settingsCheck) tlsFiles(t tlsSection) {
	for _, f := range []struct {
		field    string
		path     *string
		required bool
	}{
		{"certificate-file", &t.files.CertificateFile, true},
		{"key-file", &t.files.KeyFile, true},
		{"ca-file", &t.files.CAFile, t.needsCA},
	} {
		c.absolute(f.path)
		if *f.path == "" && f.required {
			c.report(t.name+"."+f.field, f.field+" of "+t.name+" is missing", "name the file in PEM")
		}
	}
	_, err := t.watch()
	var faults credential.Faults
	errors.As(err, &faults)
	for _, f := range faults {
		// One file may have several faults.
		c.findings = append(c.findings, c.places.Finding(t.name+"."+f.Field, f.Message, f.Fix))
	}
}
