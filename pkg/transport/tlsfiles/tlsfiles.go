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

// reloadInterval is the shortest time between two checks of the files.
const reloadInterval = 10 * time.Second

type keyPair struct {
	certFile, keyFile string

	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	lastCheck time.Time
}

// LoadServer returns a server configuration that reloads its certificate when the
// files change. If clientCA is not empty, client certificates are optional and
// must be signed by it.
func LoadServer(certFile, keyFile, clientCA string) (*tls.Config, error) {
	if certFile == "" || keyFile == "" {
		return nil, errors.New("a certificate needs both a certificate file and a key file")
	}
	p := &keyPair{certFile: certFile, keyFile: keyFile}
	if err := p.loadFiles(); err != nil {
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
	pool, err := loadCertPool(clientCA)
	if err != nil {
		return nil, err
	}
	config.ClientCAs = pool
	config.ClientAuth = tls.VerifyClientCertIfGiven
	return config, nil
}

// MutualTLS holds the server and client configurations of connections whose ends
// both present certificates of the same authority.
type MutualTLS struct {
	Server *tls.Config
	client *tls.Config
}

// LoadMutualTLS returns configurations that present the certificate in the files
// as server and as client, and that accept only certificates signed by the
// authority in caFile.
func LoadMutualTLS(certFile, keyFile, caFile string) (*MutualTLS, error) {
	if caFile == "" {
		return nil, errors.New("mutual TLS requires the file of the certificate authority")
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

// Dial opens a connection by dial and runs the TLS handshake. The certificate of
// the other end must name the IP address in address.
func (m *MutualTLS) Dial(ctx context.Context, address string, dial func(context.Context, string) (net.Conn, error)) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse the peer address")
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
		return nil, errors.Wrap(err, "TLS handshake; give both VMs certificates of the same authority that name their IP addresses")
	}
	return conn, nil
}

func loadCertPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s contains no PEM certificate", file)
	}
	return pool, nil
}

func (p *keyPair) loadFiles() error {
	info, err := os.Stat(p.certFile)
	if err != nil {
		return errors.Wrap(err, "read the certificate")
	}
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return errors.Wrap(err, "load the certificate and its key")
	}
	p.cert, p.modTime = &cert, info.ModTime()
	return nil
}

// current returns the certificate and reloads it if its file has changed. If the
// new files are invalid, the old certificate stays in use.
func (p *keyPair) current(now time.Time) *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastCheck) < reloadInterval {
		return p.cert
	}
	p.lastCheck = now
	if info, err := os.Stat(p.certFile); err == nil && !info.ModTime().Equal(p.modTime) {
		_ = p.loadFiles()
	}
	return p.cert
}
