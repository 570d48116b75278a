package credential

import (
	"crypto/x509"
	"encoding/pem"
	"time"

	"github.com/pkg/errors"
)

// certificateBlock is the type of a PEM block that holds a certificate.
const certificateBlock = "CERTIFICATE"

// parseCertificates returns the certificates of a PEM file. It fails when there
// is none.
func parseCertificates(data []byte) ([]*x509.Certificate, error) {
	var out []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != certificateBlock {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errors.Wrap(err, "holds a broken certificate")
		}
		out = append(out, certificate)
	}
	if len(out) == 0 {
		return nil, errors.New("holds no certificate")
	}
	return out, nil
}

// chainCheck collects the faults of a certificate with those behind it.
type chainCheck struct {
	file  string
	chain []*x509.Certificate
	// cas are the CAs that must have signed it, or nil for any.
	cas     *x509.CertPool
	opts    KeyOptions
	faults  Faults
	expires time.Time
}

func (c *chainCheck) report(message, fix string) {
	c.faults = append(c.faults, Fault{"certificate-file", "certificate file " + c.file + " " + message, fix})
}

func (c *chainCheck) run() {
	c.expires = earliestExpiry(c.chain)
	address := c.opts.Address.String()
	if err := c.chain[0].VerifyHostname(address); err != nil && c.opts.Address.IsValid() {
		c.report("does not name "+address, "have it made with the IP number "+address+" as a subject alternative name")
	}
	if c.inTime() && c.cas != nil {
		c.verify()
	}
}

// inTime reports certificates that have expired or are not yet valid.
func (c *chainCheck) inTime() bool {
	now := c.opts.Now()
	for _, certificate := range c.chain {
		switch {
		case now.After(certificate.NotAfter):
			c.report("expired at "+certificate.NotAfter.UTC().Format(time.RFC3339), "have it renewed")
			return false
		case now.Before(certificate.NotBefore):
			c.report("is not valid before "+certificate.NotBefore.UTC().Format(time.RFC3339), "wait until then, or set this machine's clock")
			return false
		}
	}
	return true
}

// verify reports a certificate that the other hosts would refuse.
func (c *chainCheck) verify() {
	usages := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	if c.opts.Mutual {
		usages = append(usages, x509.ExtKeyUsageClientAuth)
	}
	between := x509.NewCertPool()
	for _, certificate := range c.chain[1:] {
		between.AddCert(certificate)
	}
	for _, usage := range usages {
		chains, err := c.chain[0].Verify(x509.VerifyOptions{
			Roots: c.cas, Intermediates: between, CurrentTime: c.opts.Now(), KeyUsages: []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			c.report("would be refused by the other hosts: "+err.Error(), "have it signed by a CA of ca-file, for servers and, on the fleet address, for clients")
			return
		}
		c.expires = latestExpiry(chains)
	}
}

// latestExpiry returns when the last of several chains expires.
func latestExpiry(chains [][]*x509.Certificate) time.Time {
	var latest time.Time
	for _, chain := range chains {
		if expires := earliestExpiry(chain); expires.After(latest) {
			latest = expires
		}
	}
	return latest
}

func earliestExpiry(chain []*x509.Certificate) time.Time {
	earliest := chain[0].NotAfter
	for _, certificate := range chain[1:] {
		if certificate.NotAfter.Before(earliest) {
			earliest = certificate.NotAfter
		}
	}
	return earliest
}
