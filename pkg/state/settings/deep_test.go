package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a deeply nested document in the store that ends all processes:
// a stack overflow cannot be recovered.
func TestDeeplyNestedTreeIsRejected(t *testing.T) {
	for _, part := range []string{"[", "{a: ", "- ", "? ", "a:\n ", "!x ", "&a "} {
		text := strings.Repeat(part, MaxTreeBytes/len(part))
		_, err := Parse([]byte(text))
		assert.Assert(t, err != nil, "%q", part)
	}
	indented := &strings.Builder{}
	for depth := 0; indented.Len() < MaxTreeBytes-2000; depth++ {
		indented.WriteString(strings.Repeat(" ", depth) + "a:\n")
	}
	_, err := Parse([]byte(indented.String()))
	assert.Assert(t, err != nil)
}
