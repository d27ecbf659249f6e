package main

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/url"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/entry"
	"hickoryroute/pkg/transport/operatorhttp"
	"hickoryroute/pkg/transport/platform"
	"hickoryroute/pkg/transport/tlsfiles"
)

// settings holds the process settings; each has a flag and an environment
// variable.
type settings struct {
	Zone            string   `arg:"--zone,env:HICKORY_ZONE" help:"availability zone of this VM (required)"`
	Region          string   `arg:"--region,env:HICKORY_REGION" help:"region of this VM (required)"`
	Platform        string   `arg:"--platform,env:HICKORY_PLATFORM" help:"URL of the platform's key-value service (required)"`
	Peers           []string `arg:"--peer,separate,env:HICKORY_PEERS" help:"peer address of another entry VM, used when the VM list cannot be read; repeatable"`
	CallerAddress   string   `arg:"--caller-address,env:HICKORY_CALLER_ADDRESS" default:"127.0.0.1:7101" help:"listening address for callers"`
	PeerAddress     string   `arg:"--peer-address,env:HICKORY_PEER_ADDRESS" default:"127.0.0.1:7201" help:"listening address for other entry VMs; identifies this VM"`
	OperatorAddress string   `arg:"--operator-address,env:HICKORY_OPERATOR_ADDRESS" default:"127.0.0.1:7301" help:"listening address for operators"`
	MetricsAddress  string   `arg:"--metrics-address,env:HICKORY_METRICS_ADDRESS" help:"listening address for metrics and health alone; empty: only on the operator port"`
	SeatCount       int      `arg:"--seat-count,env:HICKORY_SEAT_COUNT" default:"24" help:"seats of a region; the same on all VMs of a region and at least their number"`
	PeerKey         string   `arg:"--peer-key,env:HICKORY_PEER_KEY" help:"key shared by all entry VMs; empty accepts any peer"`
	OperatorTokens  string   `arg:"--operator-tokens,env:HICKORY_OPERATOR_TOKENS" help:"name:token,name:token; empty lets everyone in as anonymous"`
	CallerCert      string   `arg:"--caller-cert-file,env:HICKORY_CALLER_CERT_FILE" help:"certificate for callers; empty serves plain HTTP"`
	CallerKey       string   `arg:"--caller-key-file,env:HICKORY_CALLER_KEY_FILE"`
	OperatorCert    string   `arg:"--operator-cert-file,env:HICKORY_OPERATOR_CERT_FILE" help:"certificate for operators; empty serves plain HTTP"`
	OperatorKey     string   `arg:"--operator-key-file,env:HICKORY_OPERATOR_KEY_FILE"`
	OperatorCA      string   `arg:"--operator-client-ca-file,env:HICKORY_OPERATOR_CLIENT_CA_FILE" help:"CA of operators' client certificates"`
	MetricsCert     string   `arg:"--metrics-cert-file,env:HICKORY_METRICS_CERT_FILE" help:"certificate of the metrics port; empty serves plain HTTP"`
	MetricsKey      string   `arg:"--metrics-key-file,env:HICKORY_METRICS_KEY_FILE"`
	PeerCert        string   `arg:"--peer-cert-file,env:HICKORY_PEER_CERT_FILE" help:"certificate for mutual TLS between entry VMs, naming the IP number of the peer address; empty uses plain TCP"`
	PeerCertKey     string   `arg:"--peer-cert-key-file,env:HICKORY_PEER_CERT_KEY_FILE"`
	PeerCA          string   `arg:"--peer-ca-file,env:HICKORY_PEER_CA_FILE" help:"certificate authority of the entry VMs"`
	LogFormat       string   `arg:"--log-format,env:HICKORY_LOG_FORMAT" default:"text" help:"text or json"`
	LogLevel        string   `arg:"--log-level,env:HICKORY_LOG_LEVEL" default:"info" help:"debug, info, warning or error"`
}

// Version returns the text printed by --version.
func (settings) Version() string { return "hickoryd " + version }

// Description returns the first paragraph of --help.
func (settings) Description() string {
	return "Entry VM of hickoryroute: answers look-ups and steers requests to targets."
}

// buildConfig checks all settings and builds the logger and the configuration
// of the entry VM. It returns the errors of all invalid settings.
func (s settings) buildConfig(logOut io.Writer) (*logrus.Logger, entry.Config, []error) {
	var errs []error
	addError := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	log, err := s.newLogger(logOut)
	addError(err)
	addError(checkRequired("--zone", s.Zone))
	addError(checkRequired("--region", s.Region))
	addError(checkPlatformURL(s.Platform))
	addError(checkAddress("--caller-address", s.CallerAddress))
	addError(checkAddress("--peer-address", s.PeerAddress))
	addError(checkAddress("--operator-address", s.OperatorAddress))
	if s.MetricsAddress != "" {
		addError(checkAddress("--metrics-address", s.MetricsAddress))
	}
	for _, peer := range s.Peers {
		addError(checkAddress("--peer", peer))
	}
	if s.SeatCount < 1 || s.SeatCount > 4096 {
		addError(errors.New("--seat-count must be from 1 to 4096"))
	}
	tokens, err := operatorhttp.ParseTokens(s.OperatorTokens)
	addError(err)
	callerTLS, err := loadTLS(s.CallerCert, s.CallerKey, "")
	addError(wrapWithFlags(err, "--caller-cert-file and --caller-key-file"))
	operatorTLS, err := loadTLS(s.OperatorCert, s.OperatorKey, s.OperatorCA)
	addError(wrapWithFlags(err, "--operator-cert-file, --operator-key-file and --operator-client-ca-file"))
	metricsTLS, err := loadTLS(s.MetricsCert, s.MetricsKey, "")
	addError(wrapWithFlags(err, "--metrics-cert-file and --metrics-key-file"))
	peerTLS, err := loadPeerTLS(s.PeerCert, s.PeerCertKey, s.PeerCA)
	addError(wrapWithFlags(err, "--peer-cert-file, --peer-cert-key-file and --peer-ca-file"))
	if len(errs) > 0 {
		return log, entry.Config{}, errs
	}
	client, err := platform.NewHTTPClient(platform.HTTPClientConfig{BaseURL: s.Platform})
	if err != nil {
		return log, entry.Config{}, []error{errors.Wrap(err, "--platform")}
	}
	return log, entry.Config{
		Region: s.Region, Zone: s.Zone,
		CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
		OperatorAddress: s.OperatorAddress, MetricsAddress: s.MetricsAddress,
		Store: client, VMList: client, Peers: s.Peers,
		SeatCount: s.SeatCount, PeerKey: s.PeerKey, OperatorTokens: tokens,
		CallerTLS: callerTLS, OperatorTLS: operatorTLS,
		MetricsTLS: metricsTLS, PeerTLS: peerTLS, Log: log,
	}, nil
}

// wrapWithFlags prefixes a non-nil err with the flags that caused it.
func wrapWithFlags(err error, flags string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, flags)
}

func loadTLS(cert, key, clientCA string) (*tls.Config, error) {
	if cert == "" && key == "" && clientCA == "" {
		return nil, nil
	}
	return tlsfiles.LoadServer(cert, key, clientCA)
}

func loadPeerTLS(cert, key, ca string) (*tlsfiles.MutualTLS, error) {
	if cert == "" && key == "" && ca == "" {
		return nil, nil
	}
	return tlsfiles.LoadMutualTLS(cert, key, ca)
}

// redactedFields returns the settings as log fields with secrets hidden.
func (s settings) redactedFields() logrus.Fields {
	redact := func(secret string) string {
		if secret == "" {
			return ""
		}
		return "(hidden)"
	}
	return logrus.Fields{
		"zone": s.Zone, "region": s.Region, "platform": redactURL(s.Platform), "peers": s.Peers,
		"caller_address": s.CallerAddress, "peer_address": s.PeerAddress,
		"operator_address": s.OperatorAddress, "metrics_address": s.MetricsAddress,
		"seat_count": s.SeatCount, "peer_key": redact(s.PeerKey),
		"operator_tokens":  redact(s.OperatorTokens),
		"caller_cert_file": s.CallerCert, "caller_key_file": s.CallerKey,
		"metrics_cert_file": s.MetricsCert, "metrics_key_file": s.MetricsKey,
		"peer_cert_file": s.PeerCert, "peer_cert_key_file": s.PeerCertKey, "peer_ca_file": s.PeerCA,
		"operator_cert_file": s.OperatorCert, "operator_key_file": s.OperatorKey,
		"operator_client_ca_file": s.OperatorCA,
		"log_format":              s.LogFormat, "log_level": s.LogLevel,
	}
}

// redactURL hides the password of a URL, or the whole text if it is no URL.
func redactURL(rawURL string) string {
	u, err := url.Parse(rawURL)
	if err != nil {
		return "(hidden)"
	}
	return u.Redacted()
}

func (s settings) newLogger(out io.Writer) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(out)
	switch s.LogFormat {
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	case "text":
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	default:
		return log, fmt.Errorf("--log-format %q must be text or json", s.LogFormat)
	}
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return log, fmt.Errorf("--log-level %q must be debug, info, warning or error", s.LogLevel)
	}
	log.SetLevel(level)
	return log, nil
}

func checkRequired(flag, value string) error {
	if value == "" {
		return fmt.Errorf("%s is required", flag)
	}
	return nil
}

func checkPlatformURL(rawURL string) error {
	u, err := url.Parse(rawURL)
	if err != nil || u.Host == "" {
		return fmt.Errorf("--platform %q must be a URL such as http://127.0.0.1:7001", rawURL)
	}
	return nil
}

func checkAddress(flag, address string) error {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		return fmt.Errorf("%s %q must be an IP number and a port such as 127.0.0.1:7101", flag, address)
	}
	// The addresses are sent to other VMs and callers, and the peer address
	// identifies the owner of a seat.
	if ip.IsUnspecified() {
		return fmt.Errorf("%s %q must be an address that others can reach, not all interfaces", flag, address)
	}
	return nil
}
