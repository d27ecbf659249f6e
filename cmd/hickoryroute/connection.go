package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/checkedhttp"
)

// newHTTPClient returns a client with the timeout and TLS settings of options.
func newHTTPClient(options connectionOptions) (*http.Client, error) {
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS12}
	if options.CAFile != "" {
		pem, err := os.ReadFile(options.CAFile)
		if err != nil {
			return nil, errors.Wrap(err, "read --ca-file")
		}
		tlsConfig.RootCAs = x509.NewCertPool()
		if !tlsConfig.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.New("--ca-file contains no PEM certificate")
		}
	}
	if (options.Cert == "") != (options.Key == "") {
		return nil, errors.New("--cert-file and --key-file must be given together")
	}
	if options.Cert != "" {
		cert, err := tls.LoadX509KeyPair(options.Cert, options.Key)
		if err != nil {
			return nil, errors.Wrap(err, "load the client certificate")
		}
		tlsConfig.Certificates = []tls.Certificate{cert}
	}
	return &http.Client{
		Timeout:   options.Timeout,
		Transport: checkedhttp.NewTransport(&http.Transport{TLSClientConfig: tlsConfig}),
	}, nil
}
