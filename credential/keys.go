package credential

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
)

// KeyFiles are the paths of the PEM files for one listen address.
type KeyFiles struct {
	// Certificate holds the certificate, followed by the intermediate certificates.
	Certificate string
	// Key holds the private key of the certificate.
	Key string
	// CA holds the CAs that signed the certificates of the other hosts. It is
	// empty for an address that is not used for connections between hosts.
	CA string
}

// KeyOptions say how the keys of an address are used.
type KeyOptions struct {
	// Address is the IP address that the certificate must be valid for. Default:
	// not checked.
	Address netip.Addr
	// Mutual makes servers and clients verify each other's certificates (mutual
	// TLS).
	Mutual bool
	// Now is the clock. Default: time.Now.
	Now func() time.Time
}

// Keys hold the TLS settings of one address, for servers and for clients.
type Keys struct {
	server *tls.Config
	client *tls.Config
	// expires is when the first certificate of the chain, CA included, expires.
	expires time.Time
}

// Expires returns when the certificate becomes invalid: when the certificate, an
// intermediate certificate or the CA expires, whichever is first.
func (k *Keys) Expires() time.Time { return k.expires }

// LoadKeys loads the keys of an address. Errors are of type Faults.
func LoadKeys(files KeyFiles, opts KeyOptions) (*Reloadable[*Keys], error) {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return newReloadable(files.read, func(c contents) (*Keys, error) { return files.parse(c, opts) })
}

// Indexes of the files in the contents of KeyFiles.
const (
	certificateIndex = iota
	keyIndex
	caIndex
)

// othersPermissions are the permission bits of users that are neither the owner of
// a file nor in its group.
const othersPermissions = 0o007

// read reads the files. Files that cannot be read and a key file that other users
// may access are reported as faults in the contents.
func (f KeyFiles) read() (contents, error) {
	c := contents{data: make([][]byte, caIndex+1)}
	for i, file := range [...]struct{ field, path string }{
		certificateIndex: {"certificate-file", f.Certificate},
		keyIndex:         {"key-file", f.Key},
		caIndex:          {"ca-file", f.CA},
	} {
		if file.path == "" {
			continue
		}
		data, err := os.ReadFile(file.path)
		if err != nil {
			c.faults = append(c.faults, Fault{file.field, file.field + ": " + err.Error(), "correct the path, or create the file"})
		}
		c.data[i] = data
	}
	if info, err := os.Stat(f.Key); err == nil && info.Mode().Perm()&othersPermissions != 0 {
		c.faults = append(c.faults, Fault{"key-file", "key file " + f.Key + " is open to every user of the machine", "run chmod 600 " + f.Key})
	}
	return c, nil
}

// parser checks the files of one address and collects their faults.
type parser struct {
	files  KeyFiles
	opts   KeyOptions
	data   [][]byte
	faults Faults
}

// parse builds the keys from the contents of the files. It checks that the files
// belong together and satisfy the options, and reports all faults together.
func (f KeyFiles) parse(c contents, opts KeyOptions) (*Keys, error) {
	p := parser{files: f, opts: opts, data: c.data, faults: c.faults}
	chain := p.chain()
	keyPair := p.keyPair(chain)
	cas := p.cas()
	expires := p.check(chain, cas)
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return newKeys(keyPair, cas, expires, opts), nil
}

func (p *parser) report(field, message, fix string) {
	p.faults = append(p.faults, Fault{field, message, fix})
}

func (p *parser) chain() []*x509.Certificate {
	if p.data[certificateIndex] == nil {
		return nil
	}
	chain, err := parseCertificates(p.data[certificateIndex])
	if err != nil {
		p.report("certificate-file", "certificate file "+p.files.Certificate+" "+err.Error(), "store a PEM certificate in this file")
	}
	return chain
}

func (p *parser) keyPair(chain []*x509.Certificate) tls.Certificate {
	if len(chain) == 0 || p.data[keyIndex] == nil {
		return tls.Certificate{}
	}
	pair, err := tls.X509KeyPair(p.data[certificateIndex], p.data[keyIndex])
	if err != nil {
		p.report("key-file", "key file "+p.files.Key+" does not fit the certificate: "+err.Error(), "store the private key of this certificate in the file")
	}
	return pair
}

func (p *parser) cas() *x509.CertPool {
	if p.data[caIndex] == nil {
		return nil
	}
	pool, err := parsePool(p.data[caIndex])
	if err != nil {
		p.report("ca-file", "CA file "+p.files.CA+" "+err.Error(), "store the CA certificates in this file, as PEM")
	}
	return pool
}

// check adds the faults of the certificate chain, and returns when it expires.
func (p *parser) check(chain []*x509.Certificate, cas *x509.CertPool) time.Time {
	if len(chain) == 0 {
		return time.Time{}
	}
	check := chainCheck{file: p.files.Certificate, chain: chain, cas: cas, opts: p.opts}
	check.run()
	p.faults = append(p.faults, check.faults...)
	return check.expires
}

func parsePool(data []byte) (*x509.CertPool, error) {
	certificates, err := parseCertificates(data)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	for _, certificate := range certificates {
		pool.AddCert(certificate)
	}
	return pool, nil
}

// LoadCAs loads the CAs of a PEM file.
func LoadCAs(file string) (*Reloadable[*x509.CertPool], error) {
	return newReloadableFile(file, "read CA file", func(data []byte) (*x509.CertPool, error) {
		pool, err := parsePool(data)
		return pool, errors.Wrapf(err, "CA file %s", file)
	})
}
