package entry

import (
	"context"
	"crypto/tls"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/internal/testcert"
	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/peer"
	"hickoryroute/pkg/transport/tlsfiles"
)

func loadMutualTLS(t *testing.T, ca *testcert.CA, name string) *tlsfiles.MutualTLS {
	t.Helper()
	dir := t.TempDir()
	cert, key := ca.Issue(t, dir, name)
	m, err := tlsfiles.LoadMutualTLS(cert, key, ca.WriteCertificate(t, dir))
	assert.NilError(t, err)
	return m
}

// Guards against peers that are accepted without a certificate of the entry
// VMs' certificate authority, and against VMs that fall back to plain TCP.
func TestPeersAuthenticateByCertificate(t *testing.T) {
	ca, other := testcert.NewCA(t), testcert.NewCA(t)
	f := newFleet(t, fleetConfig{vms: 2, targets: 6, adjustConfig: func(c *Config) { c.PeerTLS = loadMutualTLS(t, ca, "vm") }})
	f.waitUntilServing(t)
	issued, problem := f.vms[0].IssueTickets("cluebook", 1)
	assert.Assert(t, problem == nil)
	resp, body := post(t, f.vms[1], issued.Tickets[0], "forwarded")
	assert.Equal(t, resp.Header.Get(protocol.HeaderOutcome), string(protocol.OutcomeAnswered), body)

	call := func(config Config) error {
		client := peer.NewClient(peer.ClientConfig{Dial: config.peerDialer()})
		defer client.Close()
		var reply protocol.SettingsReply
		return client.Call(context.Background(), f.vms[0].PeerAddress(), protocol.MethodSettings, &protocol.SettingsRequest{}, &reply)
	}
	assert.NilError(t, call(Config{PeerTLS: loadMutualTLS(t, ca, "third")}))
	assert.Assert(t, call(Config{PeerTLS: loadMutualTLS(t, other, "stranger")}) != nil)
	assert.Assert(t, call(Config{}) != nil)
	anonymous := func(ctx context.Context, address string) (net.Conn, error) {
		return (&tls.Dialer{Config: &tls.Config{RootCAs: ca.Pool()}}).DialContext(ctx, "tcp", address)
	}
	assert.Assert(t, call(Config{DialPeer: anonymous}) != nil)
}
