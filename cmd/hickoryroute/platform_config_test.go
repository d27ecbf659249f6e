package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hickoryroute/platform/standin"
)

// configText is a configuration without faults. Its columns are those of the rows
// that the tests below replace.
const configText = `{"version":"r7","routes":{
"columns":["name","host","prefix","kind","timeout_ms","target_latency_ms","priority","max_attempts","home_regions","service"],
"rows":[["r-a","h.example","/a/","safe",3000,400,2,2,["hcm"],"desk"],["r-b","h.example","/b/","unsafe",3000,400,1,1,["sask"],"desk"]]},
"services":{"columns":["name","health_path"],"rows":[["desk","/health"]]},
"tenants":{"columns":["name","api_keys","rate_per_s","burst","home_regions"],"rows":[["school",["secret-1"],10,20,["sask"]]]},"limits":{}}`

// checkConfig runs check-config on a configuration.
func checkConfig(t *testing.T, text string, options ...string) (code int, out string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	var stdout, stderr bytes.Buffer
	code = run(append([]string{"check-config", file}, options...), &stdout, &stderr)
	assert.Assert(t, !strings.Contains(stdout.String()+stderr.String(), "secret"), "keys must not be shown: %s%s", &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// Guards against a configuration that is sent although it contradicts itself, has
// entries without an effect or cannot be used, and against a finding that does not
// name its entry.
func TestCheckConfigNamesTheEntry(t *testing.T) {
	for _, c := range []struct {
		old, replacement string
		code             int
		want             string
	}{
		{"", "", exitOK, "version 7: 0 findings"},
		{`"safe",3000`, `"safe",300`, exitInvalid, "error route r-a: timeout 300ms is below the latency goal 400ms"},
		{`1,1,["sask"]`, `1,0,["sask"]`, exitInvalid, "error route r-b: max_attempts is 0"},
		{`"/b/"`, `"/b"`, exitInvalid, `error route r-b: prefix "/b"`},
		{`["sask"],"desk"`, `["sask"],"dosk"`, exitInvalid, "error route r-b: service dosk is not listed"},
		{`"r-b"`, `"r-a"`, exitInvalid, "error route r-a: two routes have this name"},
		{`10,20`, `0,20`, exitInvalid, "error client account school: a burst of 20 without a rate"},
		{`20,["sask"]`, `20,["sosk"]`, exitInvalid, "error client account school: none of its homes"},
		{`"unsafe"`, `"odd"`, exitOK, `warning route r-b: kind "odd"`},
		{`"/b/"`, `"/a/"`, exitOK, "warning route r-b: never matches: route r-a"},
		{`[["desk","/health"]]`, `[["desk","/health"],["idle","/health"]]`, exitOK, "warning service idle: no route"},
		{`["secret-1"]`, `[]`, exitOK, "warning client account school: has no key"},
		{`["school",["secret-1"],10,20,["sask"]]`, `["school",["secret-1"],10,20,["hanoi"]]`, exitOK, "warning client account school: its homes"},
		{`["school"`, `["depot",["secret-1"],1,1,[]],["school"`, exitInvalid, `accounts "depot" and "school" own the same key`},
		{`"safe",3000`, `"safe","long"`, exitInvalid, `row 0, name "r-a"`},
	} {
		code, out := checkConfig(t, strings.Replace(configText, c.old, c.replacement, 1), "--regions", "hcm", "sask", "hanoi")
		assert.Assert(t, code == c.code && strings.Contains(out, c.want), "%s for %s: exit code %d\n%s", c.replacement, c.old, code, out)
	}
	code, _ := checkConfig(t, strings.Replace(configText, `"unsafe"`, `"odd"`, 1), "--strict")
	assert.Equal(t, code, exitInvalid)
}

// Guards against changes that a script cannot see, and against a version that no VM
// would use.
func TestCheckConfigComparesWithTheVersionInForce(t *testing.T) {
	store := standin.NewStore()
	store.PutConfiguration(strings.Replace(configText, "secret-1", "secret-2", 1))
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	next := strings.NewReplacer(`"r7"`, `"r8"`, `"safe",3000`, `"safe",2000`).Replace(configText)
	code, out := checkConfig(t, next, "--store", address, "--output", "json")
	assert.Equal(t, code, exitOK, out)
	var result configCheck
	assert.NilError(t, json.Unmarshal([]byte(out), &result))
	assert.Equal(t, fmt.Sprint(result.Version, result.Against), "8 7")
	var changed []string
	for _, c := range result.Changes {
		changed = append(changed, c.Path+" "+c.Key)
	}
	assert.Assert(t, slices.Equal(changed, []string{"client account school keys", "route r-a timeout"}), "%v", changed)
	code, out = checkConfig(t, configText, "--store", address)
	assert.Equal(t, code, exitInvalid)
	assert.Assert(t, strings.Contains(out, "version 7 does not follow version 7"), out)
}
