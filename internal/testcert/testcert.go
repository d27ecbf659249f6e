// Package testcert issues certificates for tests of TLS ports.
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

// lifetime covers the time of every test, also in virtual time, which starts
// in 2000.
const lifetime = 100 * 365 * 24 * time.Hour

// CA is a certificate authority.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCA returns an authority with a new key and a self-signed certificate.
func NewCA(t testing.TB) *CA {
	t.Helper()
	key := newKey(t)
	template := newTemplate("test CA")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	failOnError(t, err)
	cert, err := x509.ParseCertificate(der)
	failOnError(t, err)
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
	return writePEM(t, filepath.Join(dir, "ca.pem"), "CERTIFICATE", c.cert.Raw)
}

// Issue issues a certificate for 127.0.0.1 and writes it and its key to dir.
func (c *CA) Issue(t testing.TB, dir, name string) (certFile, keyFile string) {
	t.Helper()
	key := newKey(t)
	template := newTemplate(name)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, c.cert, &key.PublicKey, c.key)
	failOnError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	failOnError(t, err)
	return writePEM(t, filepath.Join(dir, name+".pem"), "CERTIFICATE", der),
		writePEM(t, filepath.Join(dir, name+".key"), "PRIVATE KEY", encoded)
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
	failOnError(t, err)
	return key
}

func writePEM(t testing.TB, name, blockType string, der []byte) string {
	t.Helper()
	failOnError(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
	return name
}

func failOnError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
