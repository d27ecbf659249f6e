package tlsfiles

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/internal/testcert"
)

// Guards against a renewed certificate that is used only after a restart, and
// against a partly written one that replaces the valid certificate.
func TestCertificateIsReloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		ca := testcert.NewCA(t)
		cert, key := ca.Issue(t, dir, "first")
		config, err := LoadServer(cert, key, "")
		assert.NilError(t, err)
		name := func() string {
			c, err := config.GetCertificate(nil)
			assert.NilError(t, err)
			return c.Leaf.Subject.CommonName
		}
		assert.Equal(t, name(), "first")
		newCert, newKey := ca.Issue(t, t.TempDir(), "second")
		replace := func(from, to string) {
			content, err := os.ReadFile(from)
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(to, content, 0o600))
			assert.NilError(t, os.Chtimes(to, time.Time{}, time.Now()))
		}
		time.Sleep(reloadInterval)
		replace(newCert, cert) // the key file still holds the old key
		assert.Equal(t, name(), "first")
		replace(newKey, key)
		assert.Equal(t, name(), "first")
		time.Sleep(reloadInterval)
		assert.Equal(t, name(), "second")
	})
}
