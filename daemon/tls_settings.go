package daemon

import (
	"net/netip"

	"github.com/pkg/errors"

	"github.com/crocushinge/crocushinge/credential"
)

// TLSSettings names the PEM files for TLS on an address. They are reloaded when they
// change.
type TLSSettings struct {
	// CertificateFile holds the certificate of this host, followed by the
	// intermediate certificates. It must be valid for the host's IP address.
	// Required.
	CertificateFile string `yaml:"certificate-file"`
	// KeyFile holds the private key. Only the user and group of the process may have
	// access to it. Required.
	KeyFile string `yaml:"key-file"`
	// CAFile holds the CAs that signed the certificates for this address on all
	// hosts. Hosts verify each other's certificates with it. Required in caller-tls,
	// because hosts forward requests to each other, and in fleet-tls, which uses
	// mutual TLS.
	CAFile string `yaml:"ca-file"`
}

func (t TLSSettings) isSet() bool { return t != TLSSettings{} }

// tlsSection is the TLS section of an address in the settings.
type tlsSection struct {
	// name is the key of the section.
	name    string
	files   *TLSSettings
	address string
	needsCA bool
	// mutual is set when both ends of a connection present a certificate.
	mutual bool
}

// tlsSections returns the TLS sections, indexed by server.
func (s *Settings) tlsSections() []tlsSection {
	return []tlsSection{
		callerServer:   {name: "caller-tls", files: &s.CallerTLS, address: s.Address, needsCA: true},
		apiServer:      {name: "api-tls", files: &s.APITLS, address: s.APIAddress},
		fleetAPIServer: {name: "fleet-tls", files: &s.FleetTLS, address: s.FleetAddress, needsCA: true, mutual: true},
	}
}

// loadKeys reads the TLS keys of the address. The error holds credential.Faults.
func (t tlsSection) loadKeys() (*credential.Reloadable[*credential.Keys], error) {
	address, _ := netip.ParseAddrPort(t.address)
	return credential.LoadKeys(
		credential.KeyFiles{Certificate: t.files.CertificateFile, Key: t.files.KeyFile, CA: t.files.CAFile},
		credential.KeyOptions{Address: address.Addr(), Mutual: t.mutual},
	)
}

// checkTLS validates the TLS sections of all addresses. TLS must be set for all
// addresses or for none. An address without TLS would carry tokens in cleartext: the
// fleet token in forwarded requests, or an operator's token.
func (c *settingsChecker) checkTLS() {
	sections := c.settings.tlsSections()
	given := false
	for _, t := range sections {
		given = given || t.files.isSet() || c.positions.Has(t.name)
	}
	if !given {
		return
	}
	for _, t := range sections {
		if !t.files.isSet() {
			c.addFinding(t.name, t.name+" is missing while another address has TLS, so that tokens would be sent in cleartext", "give "+t.name+" too")
			continue
		}
		c.checkTLSFiles(t)
	}
}

func (c *settingsChecker) checkTLSFiles(t tlsSection) {
	for _, f := range []struct {
		field    string
		path     *string
		required bool
	}{
		{"certificate-file", &t.files.CertificateFile, true},
		{"key-file", &t.files.KeyFile, true},
		{"ca-file", &t.files.CAFile, t.needsCA},
	} {
		c.makeAbsolute(f.path)
		if *f.path == "" && f.required {
			c.addFinding(t.name+"."+f.field, f.field+" of "+t.name+" is missing", "name the file in PEM")
		}
	}
	_, err := t.loadKeys()
	var faults credential.Faults
	errors.As(err, &faults)
	for _, f := range faults {
		// The finding is appended directly, because addFinding would report only one
		// fault per file.
		c.findings = append(c.findings, c.positions.Finding(t.name+"."+f.Field, f.Message, f.Fix))
	}
}
