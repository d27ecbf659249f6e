// Package testcert makes certificates for tests of TLS ports.
package testcert

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

// lifetime is longer than any test, also in virtual time, which starts in 2000.
const lifetime = 100 * 365 * 24 * time.Hour

// CA is a certificate authority.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCA returns a new authority.
func NewCA(t testing.TB) *CA {
	t.Helper()
	key := newKey(t)
	template := newTemplate("test CA")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	check(t, err)
	cert, err := x509.ParseCertificate(der)
	check(t, err)
	return &CA{cert: cert, key: key}
}

// Pool returns a pool that trusts the authority.
func (c *CA) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(c.cert)
	return pool
}

// WriteCertificate writes the certificate of the authority to dir and returns
// the path of the file.
func (c *CA) WriteCertificate(t testing.TB, dir string) string {
	t.Helper()
	return write(t, filepath.Join(dir, "ca.pem"), "CERTIFICATE", c.cert.Raw)
}

// Issue writes a certificate for 127.0.0.1 and its key to dir.
func (c *CA) Issue(t testing.TB, dir, name string) (certFile, keyFile string) {
	t.Helper()
	key := newKey(t)
	template := newTemplate(name)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, c.cert, &key.PublicKey, c.key)
	check(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	check(t, err)
	return write(t, filepath.Join(dir, name+".pem"), "CERTIFICATE", der),
		write(t, filepath.Join(dir, name+".key"), "PRIVATE KEY", encoded)
}

func newTemplate(name string) *x509.Certificate {
	start := time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC)
	return &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: start, NotAfter: start.Add(lifetime), KeyUsage: x509.KeyUsageDigitalSignature,
	}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	return key
}

func write(t testing.TB, name, kind string, der []byte) string {
	t.Helper()
	check(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return name
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
