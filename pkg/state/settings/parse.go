package settings

import (
	"bytes"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"hickoryroute/pkg/transport/platform"
)

// MaxTreeBytes is the largest text of a tree. The document that carries it
// has to fit into one value of the store.
const MaxTreeBytes = platform.MaxValueBytes

// Parse reads and validates the YAML text of a tree. The error is an
// ErrorList.
func Parse(text []byte) (*Tree, error) {
	if len(text) > MaxTreeBytes {
		return nil, ErrorList{{
			Message: fmt.Sprintf("tree has %d bytes, more than %d", len(text), MaxTreeBytes),
			Remedy:  "remove unused targets, client blocks or expired overrides",
		}}
	}
	t := &Tree{}
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(t); err != nil {
		return nil, ErrorList{syntaxError(err)}
	}
	if err := t.Validate(); err != nil {
		return nil, err
	}
	return t.withIndex(), nil
}

// syntaxError converts an error of the YAML library.
func syntaxError(err error) *Error {
	e := &Error{Message: err.Error(), Remedy: "correct the YAML text at this place"}
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return e
	}
	e.Message = positioned.GetMessage()
	if token := positioned.GetToken(); token != nil && token.Position != nil {
		e.Line, e.Column = token.Position.Line, token.Position.Column
	}
	return e
}

// Marshal returns the YAML text of t. Equal trees give equal texts.
func Marshal(t *Tree) ([]byte, error) {
	text, err := yaml.MarshalWithOptions(t, yaml.Indent(2))
	if err != nil {
		return nil, errors.Wrap(err, "write tree as YAML")
	}
	return text, nil
}
