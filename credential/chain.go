package credential

import (
	"crypto/x509"
	"encoding/pem"
	"time"

	"github.com/pkg/errors"
)

// certificateBlockType is the type of a PEM block that holds a certificate.
const certificateBlockType = "CERTIFICATE"

// parseCertificates returns the certificates of a PEM file. It returns an error
// if there are none.
func parseCertificates(data []byte) ([]*x509.Certificate, error) {
	var certificates []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != certificateBlockType {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errors.Wrap(err, "holds an invalid certificate")
		}
		certificates = append(certificates, certificate)
	}
	if len(certificates) == 0 {
		return nil, errors.New("holds no certificate")
	}
	return certificates, nil
}

// chainCheck collects the faults of a certificate and of its intermediates.
type chainCheck struct {
	file  string
	chain []*x509.Certificate
	// cas are the CAs of which one must have signed the certificate, or nil if any
	// CA is accepted.
	cas     *x509.CertPool
	opts    KeyOptions
	faults  Faults
	expires time.Time
}

func (c *chainCheck) report(message, fix string) {
	c.faults = append(c.faults, Fault{"certificate-file", "certificate file " + c.file + " " + message, fix})
}

// run finds the faults and sets expires. The signatures are verified only if all
// certificates are within their validity, since an expired one would be reported
// twice.
func (c *chainCheck) run() {
	c.expires = earliestExpiry(c.chain)
	address := c.opts.Address.String()
	if err := c.chain[0].VerifyHostname(address); err != nil && c.opts.Address.IsValid() {
		c.report("does not name "+address, "issue it with the IP address "+address+" as a subject alternative name")
	}
	if c.withinValidity() && c.cas != nil {
		c.verify()
	}
}

// withinValidity returns false and adds a fault if a certificate has expired or is
// not yet valid.
func (c *chainCheck) withinValidity() bool {
	now := c.opts.Now()
	for _, certificate := range c.chain {
		switch {
		case now.After(certificate.NotAfter):
			c.report("expired at "+certificate.NotAfter.UTC().Format(time.RFC3339), "have it renewed")
			return false
		case now.Before(certificate.NotBefore):
			c.report("is not valid before "+certificate.NotBefore.UTC().Format(time.RFC3339), "wait until then, or correct the clock of this machine")
			return false
		}
	}
	return true
}

// verify adds a fault if other hosts would refuse the certificate.
func (c *chainCheck) verify() {
	usages := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	if c.opts.Mutual {
		usages = append(usages, x509.ExtKeyUsageClientAuth)
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range c.chain[1:] {
		intermediates.AddCert(certificate)
	}
	for _, usage := range usages {
		chains, err := c.chain[0].Verify(x509.VerifyOptions{
			Roots: c.cas, Intermediates: intermediates, CurrentTime: c.opts.Now(), KeyUsages: []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			c.report("would be refused by the other hosts: "+err.Error(), "have it signed by a CA of ca-file, with the extended key usage serverAuth and, for the fleet address, clientAuth")
			return
		}
		c.expires = latestExpiry(chains)
	}
}

// latestExpiry returns the expiry of the chain that stays valid longest.
func latestExpiry(chains [][]*x509.Certificate) time.Time {
	var latest time.Time
	for _, chain := range chains {
		if expires := earliestExpiry(chain); expires.After(latest) {
			latest = expires
		}
	}
	return latest
}

// earliestExpiry returns when the first certificate of a chain expires.
func earliestExpiry(chain []*x509.Certificate) time.Time {
	earliest := chain[0].NotAfter
	for _, certificate := range chain[1:] {
		if certificate.NotAfter.Before(earliest) {
			earliest = certificate.NotAfter
		}
	}
	return earliest
}
