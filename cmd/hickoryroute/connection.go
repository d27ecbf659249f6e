package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/go-faster/errors"
)

// newHTTPClient returns a client with the TLS settings of c.
func newHTTPClient(c connection) (*http.Client, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if c.CAFile != "" {
		pem, err := os.ReadFile(c.CAFile)
		if err != nil {
			return nil, errors.Wrap(err, "read --ca-file")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.New("--ca-file holds no PEM certificate")
		}
	}
	if (c.Cert == "") != (c.Key == "") {
		return nil, errors.New("--cert-file and --key-file go together")
	}
	if c.Cert != "" {
		cert, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return nil, errors.Wrap(err, "load the client certificate")
		}
		config.Certificates = []tls.Certificate{cert}
	}
	return &http.Client{
		Timeout:   c.Timeout,
		Transport: &http.Transport{TLSClientConfig: config},
	}, nil
}
