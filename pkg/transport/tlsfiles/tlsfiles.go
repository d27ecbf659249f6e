// Package tlsfiles loads TLS certificates from files and reloads them when
// they change.
package tlsfiles

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
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

// LoadServer returns a server configuration whose certificate follows the files. With
// clientCA, client certificates signed by it are accepted and verified.
func LoadServer(certFile, keyFile, clientCA string) (*tls.Config, error) {
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
	pool, err := loadPool(clientCA)
	if err != nil {
		return nil, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.VerifyClientCertIfGiven
	return config, nil
}

// MutualTLS holds both sides of connections whose ends prove themselves by
// certificates of one authority.
type MutualTLS struct {
	Server *tls.Config
	client *tls.Config
}

// LoadMutualTLS returns configurations that use the certificate in the files, also
// as client, and accept only certificates signed by the authority in caFile.
func LoadMutualTLS(certFile, keyFile, caFile string) (*MutualTLS, error) {
	if caFile == "" {
		return nil, errors.New("mutual TLS needs the file of the certificate authority")
	}
	server, err := LoadServer(certFile, keyFile, caFile)
	if err != nil {
		return nil, err
	}
	server.ClientAuth = tls.RequireAndVerifyClientCert
	client := &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    server.ClientCAs,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return server.GetCertificate(nil)
		},
	}
	return &MutualTLS{Server: server, client: client}, nil
}

// Dial opens a connection by dial and proves both ends. The certificate of the
// other end must name the IP number of address.
func (m *MutualTLS) Dial(ctx context.Context, address string, dial func(context.Context, string) (net.Conn, error)) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	config := m.client.Clone()
	config.ServerName = host
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "TLS handshake; give both VMs certificates of one authority that name their IP numbers")
	}
	return conn, nil
}

func loadPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no PEM certificate", file)
	}
	return pool, nil
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
