// Package credentialtest creates CAs and certificates for tests.
package credentialtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Lifetime is how long an issued certificate is valid by default.
const Lifetime = 24 * time.Hour

// privateFileMode is the mode of all written files. Key files that other users may
// access are refused.
const privateFileMode = 0o600

// CA is a certificate authority that issues certificates for a test.
type CA struct {
	t           testing.TB
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// PEM is the certificate of the CA.
	PEM []byte
}

// Certificate is a certificate and its private key, both in PEM.
type Certificate struct{ PEM, Key []byte }

// Option changes a certificate before it is signed.
type Option func(*x509.Certificate)

// WithValidity sets the validity period of a certificate.
func WithValidity(from, until time.Time) Option {
	return func(c *x509.Certificate) { c.NotBefore, c.NotAfter = from, until }
}

// WithIP makes a certificate valid for an IP address other than 127.0.0.1.
func WithIP(ip string) Option {
	return func(c *x509.Certificate) { c.IPAddresses = []net.IP{net.ParseIP(ip)} }
}

// ServerOnly makes a certificate invalid for use by clients.
func ServerOnly(c *x509.Certificate) { c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth} }

// NewCA returns a new CA that is valid for ten times Lifetime.
func NewCA(t testing.TB) *CA {
	t.Helper()
	ca := &CA{t: t, key: newKey(t)}
	ca.certificate = &x509.Certificate{
		SerialNumber: newSerial(t), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(10 * Lifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	ca.PEM = ca.sign(ca.certificate, ca.key)
	return ca
}

// Issue returns a new certificate for the IP address 127.0.0.1, valid for servers
// and clients unless changes say otherwise.
func (ca *CA) Issue(changes ...Option) Certificate {
	ca.t.Helper()
	c := &x509.Certificate{
		SerialNumber: newSerial(ca.t), Subject: pkix.Name{CommonName: "host"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(Lifetime),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, change := range changes {
		change(c)
	}
	key := newKey(ca.t)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		ca.t.Fatal(err)
	}
	return Certificate{PEM: ca.sign(c, key), Key: pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der})}
}

func (ca *CA) sign(c *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	ca.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, c, ca.certificate, &key.PublicKey, ca.key)
	if err != nil {
		ca.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newSerial(t testing.TB) *big.Int {
	t.Helper()
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 64))
	if err != nil {
		t.Fatal(err)
	}
	return serial
}

// Files are the paths of the files for one listen address.
type Files struct{ Certificate, Key, CA string }

// FilesIn returns the default paths in a directory.
func FilesIn(dir string) Files {
	return Files{filepath.Join(dir, "host.pem"), filepath.Join(dir, "host.key"), filepath.Join(dir, "ca.pem")}
}

// Write writes the files. A file for which there is no data is left unchanged.
func (f Files) Write(t testing.TB, c Certificate, ca []byte) {
	t.Helper()
	for path, data := range map[string][]byte{f.Certificate: c.PEM, f.Key: c.Key, f.CA: ca} {
		if len(data) == 0 {
			continue
		}
		if err := os.WriteFile(path, data, privateFileMode); err != nil {
			t.Fatal(err)
		}
	}
}
