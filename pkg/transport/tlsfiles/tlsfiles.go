// Package tlsfiles loads TLS certificates from files and reloads them when
// they change.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// reloadInterval bounds how often the files are examined for changes.
const reloadInterval = 10 * time.Second

type keyPair struct {
	certFile, keyFile string

	mu      sync.Mutex
	cert    *tls.Certificate
	changed time.Time
	checked time.Time
}

// Load returns a server configuration whose certificate follows the files. With
// clientCA, client certificates signed by it are accepted and verified.
func Load(certFile, keyFile, clientCA string) (*tls.Config, error) {
	if certFile == "" || keyFile == "" {
		return nil, errors.New("a certificate needs both a certificate file and a key file")
	}
	p := &keyPair{certFile: certFile, keyFile: keyFile}
	if err := p.load(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.current(time.Now()), nil
		},
	}
	if clientCA == "" {
		return config, nil
	}
	pem, err := os.ReadFile(clientCA)
	if err != nil {
		return nil, errors.Wrap(err, "read the CA of client certificates")
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no PEM certificate", clientCA)
	}
	config.ClientAuth = tls.VerifyClientCertIfGiven
	return config, nil
}

func (p *keyPair) load() error {
	info, err := os.Stat(p.certFile)
	if err != nil {
		return errors.Wrap(err, "read the certificate")
	}
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return errors.Wrap(err, "load the certificate and its key")
	}
	p.cert, p.changed = &cert, info.ModTime()
	return nil
}

// current returns the certificate, reloaded if its file changed. A broken new
// file leaves the old certificate in use.
func (p *keyPair) current(now time.Time) *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.checked) < reloadInterval {
		return p.cert
	}
	p.checked = now
	if info, err := os.Stat(p.certFile); err == nil && !info.ModTime().Equal(p.changed) {
		_ = p.load()
	}
	return p.cert
}
