package settings

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"hickoryroute/pkg/transport/platform"
)

// MaxTreeBytes is the largest size of the text of a tree. The document that
// contains the text must fit into one value of the store.
const MaxTreeBytes = platform.MaxValueBytes

// Parse parses and validates the YAML text of a tree. The error, if any, is an
// ErrorList. A panic of the YAML library is such an error as well: all VMs read
// the same text, so it would end them all.
func Parse(text []byte) (tree *Tree, err error) {
	defer func() {
		if p := recover(); p != nil {
			tree, err = nil, ErrorList{{
				Message: fmt.Sprintf("the tree cannot be parsed: %v", p),
				Remedy:  "write the tree in simpler YAML, without anchors, tags and merge keys",
			}}
		}
	}()
	return parse(text)
}

func parse(text []byte) (*Tree, error) {
	if len(text) > MaxTreeBytes {
		return nil, ErrorList{{
			Message: fmt.Sprintf("tree has %d bytes, more than %d", len(text), MaxTreeBytes),
			Remedy:  "remove unused targets, client blocks or expired overrides",
		}}
	}
	root, err := parseSyntax(text)
	if err != nil {
		return nil, err
	}
	t := &Tree{}
	if err := yaml.NewDecoder(strings.NewReader(""), yaml.Strict()).DecodeFromNode(root, t); err != nil {
		return nil, ErrorList{syntaxError(err)}
	}
	return t.validated()
}

// Marshal returns the YAML text of t. Equal trees have equal texts.
func Marshal(t *Tree) ([]byte, error) {
	text, err := yaml.MarshalWithOptions(t, yaml.Indent(2))
	if err != nil {
		return nil, errors.Wrap(err, "write tree as YAML")
	}
	return text, nil
}
