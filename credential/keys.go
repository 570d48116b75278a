package credential

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
)

// KeyFiles name the PEM files of one address.
type KeyFiles struct {
	// Certificate holds the certificate, followed by those between it and the
	// CA.
	Certificate string
	// Key holds the private key of the certificate.
	Key string
	// CA holds the CAs that signed the certificates of the other hosts. Empty:
	// this address is not for connections between hosts.
	CA string
}

// KeyOptions say what the keys of an address are for.
type KeyOptions struct {
	// Address is the IP number that the certificate must name. Default: any.
	Address netip.Addr
	// Mutual makes both ends of a connection show a certificate.
	Mutual bool
	// Now is the clock. Default: time.Now.
	Now func() time.Time
}

// Keys are what one address needs for TLS.
type Keys struct {
	server *tls.Config
	client *tls.Config
	// expires is when the certificate, or the CA behind it, expires.
	expires time.Time
}

// Expires returns when the certificate expires, or one that it rests on.
func (k *Keys) Expires() time.Time { return k.expires }

// WatchKeys reads the keys of an address. The error is of type Faults.
func WatchKeys(files KeyFiles, opts KeyOptions) (*Watched[*Keys], error) {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return watch(files.read, func(c contents) (*Keys, error) { return files.parse(c, opts) })
}

// Positions in the contents of KeyFiles.
const (
	certificateContents = iota
	keyContents
	caContents
)

// modeOthers are the permissions of those who neither own a file nor are of
// its group.
const modeOthers = 0o007

// read reads the files. The faults are of files that are missing or open to
// others.
func (f KeyFiles) read() (contents, error) {
	c := contents{data: make([][]byte, caContents+1)}
	for i, file := range [...]struct{ field, path string }{
		certificateContents: {"certificate-file", f.Certificate},
		keyContents:         {"key-file", f.Key},
		caContents:          {"ca-file", f.CA},
	} {
		if file.path == "" {
			continue
		}
		data, err := os.ReadFile(file.path)
		if err != nil {
			c.faults = append(c.faults, Fault{file.field, file.field + ": " + err.Error(), "correct the name, or put the file there"})
		}
		c.data[i] = data
	}
	if info, err := os.Stat(f.Key); err == nil && info.Mode().Perm()&modeOthers != 0 {
		c.faults = append(c.faults, Fault{"key-file", "key file " + f.Key + " is open to every user of the machine", "run chmod 600 " + f.Key})
	}
	return c, nil
}

// parser collects the faults of the files of one address.
type parser struct {
	files  KeyFiles
	opts   KeyOptions
	data   [][]byte
	faults Faults
}

// parse checks what was read against each other and against the options.
func (f KeyFiles) parse(c contents, opts KeyOptions) (*Keys, error) {
	p := parser{files: f, opts: opts, data: c.data, faults: c.faults}
	chain := p.chain()
	pair := p.pair(chain)
	cas := p.cas()
	expires := p.check(chain, cas)
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return newKeys(pair, cas, expires, opts), nil
}

func (p *parser) report(field, message, fix string) {
	p.faults = append(p.faults, Fault{field, message, fix})
}

func (p *parser) chain() []*x509.Certificate {
	if p.data[certificateContents] == nil {
		return nil
	}
	chain, err := parseCertificates(p.data[certificateContents])
	if err != nil {
		p.report("certificate-file", "certificate file "+p.files.Certificate+" "+err.Error(), "put a certificate in PEM there")
	}
	return chain
}

func (p *parser) pair(chain []*x509.Certificate) tls.Certificate {
	if len(chain) == 0 || p.data[keyContents] == nil {
		return tls.Certificate{}
	}
	pair, err := tls.X509KeyPair(p.data[certificateContents], p.data[keyContents])
	if err != nil {
		p.report("key-file", "key file "+p.files.Key+" does not fit the certificate: "+err.Error(), "put the key there that the certificate was made for")
	}
	return pair
}

func (p *parser) cas() *x509.CertPool {
	if p.data[caContents] == nil {
		return nil
	}
	pool, err := parsePool(p.data[caContents])
	if err != nil {
		p.report("ca-file", "CA file "+p.files.CA+" "+err.Error(), "put the certificates of the CAs in PEM there")
	}
	return pool
}

// check reports a certificate that cannot be used, and returns when it expires.
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

// WatchCAs reads the CAs of a PEM file.
func WatchCAs(file string) (*Watched[*x509.CertPool], error) {
	return watchFile(file, "read CA file", func(data []byte) (*x509.CertPool, error) {
		pool, err := parsePool(data)
		return pool, errors.Wrapf(err, "CA file %s", file)
	})
}
