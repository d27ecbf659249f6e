package feed

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"hickoryroute/pkg/eventlog"
	"hickoryroute/pkg/transport/platform"
)

// Guards against a VM that lists itself to callers during its planned stop,
// because the store does not answer and the list is not read again.
func TestDeregisteredVMDropsItselfAtOnce(t *testing.T) {
	v := NewVMRegistry(VMRegistryConfig{Self: VM{ID: "self"}, Timing: DefaultTiming(), Logger: eventlog.Discard(), Now: time.Now})
	assert.Equal(t, len(v.List()), 1)
	assert.NilError(t, v.Deregister(t.Context()))
	assert.Equal(t, len(v.List()), 0)
}

func vmEntries(revision int64, ids ...string) []platform.Entry {
	var list []platform.Entry
	for _, id := range ids {
		list = append(list, platform.Entry{Key: "vm/" + id, Revision: revision, Value: fmt.Appendf(nil, `{"id":%q,"caller_address":%q}`, id, id)})
	}
	return list
}

// Guards against decoding the records of all VMs whenever the store confirms
// them, with a log line each time for a record that cannot be decoded.
func TestUnchangedVMRecordsAreDecodedOnce(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	v := NewVMRegistry(VMRegistryConfig{Self: VM{ID: "self"}, Timing: DefaultTiming(), Logger: eventlog.New(log, nil), Now: time.Now})
	entries := append(vmEntries(1, "a", "b"), platform.Entry{Key: "vm/bad", Revision: 1, Value: []byte("{")})
	v.merge(Delta{Revision: 1, Full: true, Entries: entries}, SourcePeer)
	list := v.List()
	assert.Equal(t, len(list), 3)
	for revision := int64(2); revision < 6; revision++ {
		v.merge(Delta{Revision: revision}, SourcePeer)
		v.merge(Delta{Revision: revision, Full: true, Entries: entries}, SourcePeer)
	}
	assert.Equal(t, strings.Count(out.String(), "vm/bad"), 1, out.String())
	assert.Assert(t, &list[0] == &v.List()[0], "an unchanged list is not rebuilt")
}

// Guards against a VM without a record that stays listed because nothing
// changes in the store after the grace period.
func TestVMWithoutRecordIsDroppedAfterGracePeriod(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := NewVMRegistry(VMRegistryConfig{Self: VM{ID: "self"}, Timing: DefaultTiming(), Logger: eventlog.Discard(), Now: func() time.Time { return now }})
	v.merge(Delta{Revision: 1, Full: true, Entries: vmEntries(1, "a", "gone")}, SourcePeer)
	v.startGracePeriod()
	v.merge(Delta{Revision: 2, Deleted: []string{"vm/gone"}}, SourcePeer)
	assert.Equal(t, len(v.List()), 3, "a VM whose lease expired during the outage is kept")
	now = now.Add(reregisterGrace)
	v.merge(Delta{Revision: 2}, SourcePeer)
	assert.Equal(t, len(v.List()), 2)
}

// Guards against a record of another writer that ends the process, because its
// decoding fails unexpectedly.
func TestEntryThatBreaksItsDecoderIsLeftOut(t *testing.T) {
	d := decoder[string]{logger: eventlog.Discard(), decode: func(e platform.Entry) (string, error) { return string(e.Value[:1]), nil }}
	values := d.decodeAll(map[string]platform.Entry{"good": {Value: []byte("x")}, "bad": {}})
	assert.DeepEqual(t, values, []string{"x"})
}
