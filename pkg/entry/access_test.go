package entry

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/internal/testcert"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/operatorhttp"
	"hickoryroute/pkg/transport/peer"
	"hickoryroute/pkg/transport/tlsfiles"
)

// newTLSFleet starts one VM with TLS on the caller and operator ports. The
// operator port accepts client certificates of ca and tokens of alice and bob.
func newTLSFleet(t *testing.T, ca *testcert.CA) *fleet {
	t.Helper()
	dir := t.TempDir()
	cert, key := ca.Issue(t, dir, "vm")
	return newFleet(t, fleetConfig{vms: 1, targets: 2, adjustConfig: func(c *Config) {
		var err error
		c.CallerTLS, err = tlsfiles.LoadServer(cert, key, "")
		assert.NilError(t, err)
		c.OperatorTLS, err = tlsfiles.LoadServer(cert, key, ca.WriteCertificate(t, dir))
		assert.NilError(t, err)
		c.OperatorTokens = operatorhttp.Tokens{"alice": "token-of-alice", "bob": "token-of-bob"}
	}})
}

func tlsClient(ca *testcert.CA, certs ...tls.Certificate) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		TLSClientConfig:   &tls.Config{RootCAs: ca.Pool(), Certificates: certs},
	}}
}

// Guards against an edit that is attributed to another operator or to none, and
// against ports that fall back to plain HTTP.
func TestOperatorsAreAuthenticated(t *testing.T) {
	ca := testcert.NewCA(t)
	f := newTLSFleet(t, ca)
	vm := f.vms[0]
	address := "https://" + vm.OperatorAddress()
	anonymous := tlsClient(ca)
	waitFor(t, func() error {
		resp, err := anonymous.Get("https://" + vm.CallerAddress() + "/v1/services/cluebook/clue")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %s", resp.Status)
		}
		return nil
	})
	certFile, keyFile := ca.Issue(t, t.TempDir(), "carol")
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	assert.NilError(t, err)
	strangerCertFile, strangerKeyFile := testcert.NewCA(t).Issue(t, t.TempDir(), "mallory")
	stranger, err := tls.LoadX509KeyPair(strangerCertFile, strangerKeyFile)
	assert.NilError(t, err)
	edit := func(token string, client *http.Client, queueLimit int) error {
		_, err := operatorhttp.NewClient(address, token, client).Edit(t.Context(), operatorhttp.EditRequest{
			RequestID: fmt.Sprintf("edit-%d", queueLimit), Op: operatorhttp.OpSet, Path: "sask/cluebook",
			Rules: fmt.Sprintf("queue_limit: %d", queueLimit), Reason: "test",
		})
		return err
	}
	assert.NilError(t, edit("token-of-bob", anonymous, 3))
	assert.Equal(t, operatorBackend{vm}.Tree().Author, "bob")
	assert.NilError(t, edit("token-of-alice", tlsClient(ca, cert), 4))
	assert.Equal(t, operatorBackend{vm}.Tree().Author, "carol")
	for _, token := range []string{"", "token-of-bo", "token-of-alice,token-of-bob"} {
		assert.ErrorContains(t, edit(token, anonymous, 5), "no valid operator token")
	}
	assert.Assert(t, edit("token-of-bob", tlsClient(ca, stranger), 6) != nil)
	assert.Equal(t, operatorBackend{vm}.Tree().Author, "carol")
	resp, err := anonymous.Get("http://" + vm.OperatorAddress() + "/v1/tree")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest) // plain HTTP at a TLS port
}

// Guards against a peer port that accepts connections without the right key.
func TestPeerWithAnotherKeyIsRefused(t *testing.T) {
	f := newFleet(t, fleetConfig{vms: 1, targets: 1, adjustConfig: func(c *Config) { c.PeerKey = "right key" }})
	call := func(key string) error {
		client := peer.NewClient(peer.ClientConfig{Key: []byte(key)})
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var reply protocol.SettingsReply
		return client.Call(ctx, f.vms[0].PeerAddress(), protocol.MethodSettings, &protocol.SettingsRequest{}, &reply)
	}
	assert.NilError(t, call("right key"))
	for _, key := range []string{"", "wrong key"} {
		assert.Assert(t, call(key) != nil, "key %q", key)
	}
}

// Guards against edits and status queries through the metrics port.
func TestMetricsPortServesNothingElse(t *testing.T) {
	vm := newFleet(t, fleetConfig{vms: 1, targets: 1, adjustConfig: func(c *Config) { c.MetricsAddress = "127.0.0.1:0" }}).vms[0]
	for path, status := range map[string]int{
		"/metrics": 200, "/healthz": 200, "/v1/tree": 404, "/v1/edits": 404, "/v1/status": 404, "/v1/timeline": 404,
	} {
		resp, err := http.Get("http://" + vm.MetricsAddress() + path)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, status, path)
	}
}

// Guards against a client that exhausts a VM's resources through its operator
// port.
func TestOperatorPortIsLimited(t *testing.T) {
	t.Parallel()
	vm := newFleet(t, fleetConfig{vms: 1, targets: 1}).vms[0]
	send := func(text string) (string, error) {
		conn, err := net.Dial("tcp", vm.OperatorAddress())
		assert.NilError(t, err)
		defer conn.Close()
		go func() { _, _ = io.WriteString(conn, text) }()
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(2*operatorHeaderTimeout)))
		return bufio.NewReader(conn).ReadString('\n')
	}
	head := "POST /v1/validate HTTP/1.1\r\nHost: x\r\n"
	got, err := send(head + "X-Long: " + strings.Repeat("x", 2*maxOperatorHeaderBytes) + "\r\n\r\n")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(got, "431"), got)
	const bodyBytes = 5 << 20
	got, err = send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n{\"tree\":\"%s\"}", head, bodyBytes, strings.Repeat("x", bodyBytes-11)))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(got, "400"), got)
	got, err = send(head) // never completed
	assert.Assert(t, err == io.EOF || strings.Contains(got, "408"), "got %q, %v", got, err)
}
