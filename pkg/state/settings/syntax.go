package settings

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits of the YAML text. The time of the parser is quadratic in the nesting
// and in the length of a line: 128 KiB of "<<" in one line took 12 s.
const (
	maxNesting   = 16
	maxColumn    = 200 // column of block sequence entries and mapping keys
	maxLineBytes = 4096
)

// parseSyntax returns the root node of a YAML text that uses only mappings,
// sequences and scalars.
func parseSyntax(text []byte) (ast.Node, error) {
	if err := checkLines(text); err != nil {
		return nil, ErrorList{err}
	}
	tokens := withoutComments(lexer.Tokenize(string(text)))
	if err := checkTokens(tokens); err != nil {
		return nil, ErrorList{err}
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return nil, ErrorList{syntaxError(err)}
	}
	var root ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if root != nil {
			return nil, ErrorList{errorAt(doc.Body.GetToken(), "text has more than one document", "put the tree into one document")}
		}
		root = doc.Body
	}
	if root == nil {
		return nil, ErrorList{{Message: "text is empty", Remedy: "write at least one region with its zones"}}
	}
	check := &nodeChecker{}
	check.checkNode(root, "")
	return root, check.errs.orNil()
}

// syntaxError converts an error of the YAML library to an Error with a position.
func syntaxError(err error) *Error {
	e := &Error{Message: err.Error(), Remedy: "correct the YAML text at this position"}
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return e
	}
	return errorAt(positioned.GetToken(), positioned.GetMessage(), e.Remedy)
}

func errorAt(t *token.Token, message, remedy string) *Error {
	e := &Error{Message: message, Remedy: remedy}
	if t != nil && t.Position != nil {
		e.Line, e.Column = t.Position.Line, t.Position.Column
	}
	return e
}

// forbiddenTokens holds the names of the tokens that a tree must not contain.
// Anchors and aliases could expand a small text to any size; tags and merge
// keys hide the origin of a value.
var forbiddenTokens = map[token.Type]string{
	token.AnchorType:     "anchor",
	token.AliasType:      "alias",
	token.TagType:        "tag",
	token.MergeKeyType:   "merge key",
	token.MappingKeyType: "explicit mapping key",
	token.DirectiveType:  "directive",
}

func checkLines(text []byte) *Error {
	if !utf8.Valid(text) {
		return &Error{Message: "text is not UTF-8", Remedy: "save the text as UTF-8"}
	}
	number := 0
	for line := range bytes.Lines(text) {
		number++
		if len(line) > maxLineBytes {
			return &Error{
				Line: number, Column: maxLineBytes,
				Message: fmt.Sprintf("line has more than %d bytes", maxLineBytes),
				Remedy:  "write each entry on a line of its own",
			}
		}
	}
	return nil
}

// withoutComments returns the tokens without comments, linked anew. The time of
// the decoder is quadratic in the number of comments: 512 KiB of empty comments
// took 30 s.
func withoutComments(tokens token.Tokens) token.Tokens {
	var linked token.Tokens
	for _, t := range tokens {
		if t.Type != token.CommentType {
			t.Prev, t.Next = nil, nil
			linked.Add(t)
		}
	}
	return linked
}

func checkTokens(tokens token.Tokens) *Error {
	nesting := 0
	previous := token.UnknownType
	for _, t := range tokens {
		if kind, ok := forbiddenTokens[t.Type]; ok {
			return errorAt(t, "tree uses a YAML "+kind, "write the values out, and put texts that start with * & ! or % in quotes")
		}
		switch t.Type {
		case token.InvalidType:
			return errorAt(t, t.Error, "correct the YAML text at this position")
		case token.SequenceStartType, token.MappingStartType:
			nesting++
		case token.SequenceEndType, token.MappingEndType:
			nesting--
		}
		if t.Type == token.SequenceEntryType && previous == token.SequenceEntryType {
			return errorAt(t, "entry of a list is missing", "write a value after the hyphen")
		}
		previous = t.Type
		tooDeep := nesting == 0 && t.Position.Column > maxColumn &&
			(t.Type == token.SequenceEntryType || t.Type == token.MappingValueType)
		if nesting > maxNesting || tooDeep {
			return errorAt(t, "text is nested too deeply", "indent the text as the documentation shows")
		}
	}
	return nil
}

// scalarChecks holds the checks of scalar values by key. Where a region, service
// or target has one of these names, its value is a mapping and is not checked.
var scalarChecks = map[string]func(ast.Node) error{
	"deadline":      checkDurationText,
	"warmup_step":   checkDurationText,
	"lookup_ttl":    checkDurationText,
	"stop_timeout":  checkDurationText,
	"capacity":      checkBandwidthText,
	"cap":           checkBandwidthText,
	"set_at":        checkTimeText,
	"expires":       checkTimeText,
	"slots":         checkIntegerText,
	"weight":        checkIntegerText,
	"max_in_flight": checkIntegerText,
	"queue_limit":   checkIntegerText,
	"hedge_percent": checkIntegerText,
	"retry_percent": checkIntegerText,
}

func checkDurationText(n ast.Node) error {
	var d Duration
	return d.UnmarshalText([]byte(n.GetToken().Value))
}

func checkBandwidthText(n ast.Node) error {
	var b Bandwidth
	return b.UnmarshalText([]byte(n.GetToken().Value))
}

func checkTimeText(n ast.Node) error {
	if _, err := time.Parse(time.RFC3339, n.GetToken().Value); err != nil {
		return fmt.Errorf("time %q needs the form 2026-01-02T15:04:05Z", n.GetToken().Value)
	}
	return nil
}

// checkIntegerText rejects fractions, which the decoder would truncate.
func checkIntegerText(n ast.Node) error {
	if _, err := strconv.Atoi(n.GetToken().Value); err != nil || n.Type() != ast.IntegerType {
		return fmt.Errorf("%q is not a whole number", n.GetToken().Value)
	}
	return nil
}

// nodeChecker finds invalid values and reports their positions. The decoder
// reports them without a position or not at all.
type nodeChecker struct {
	errs ErrorList
}

// maxSyntaxErrors is the number of errors after which the check of a text ends.
const maxSyntaxErrors = 100

func (c *nodeChecker) checkNode(n ast.Node, key string) {
	if len(c.errs) >= maxSyntaxErrors {
		return
	}
	switch n := n.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			c.checkPair(v)
		}
	case *ast.MappingValueNode:
		c.checkPair(n)
	case *ast.SequenceNode:
		for _, v := range n.Values {
			c.checkNode(v, "")
		}
	case *ast.NullNode:
		c.errs = append(c.errs, errorAt(n.GetToken(), "value is missing", "write a value, {} for an empty mapping, or remove the key"))
	default:
		c.checkScalar(n, key)
	}
}

func (c *nodeChecker) checkPair(v *ast.MappingValueNode) {
	c.checkNode(v.Value, v.Key.GetToken().Value)
}

func (c *nodeChecker) checkScalar(n ast.Node, key string) {
	check, ok := scalarChecks[key]
	if !ok {
		return
	}
	if err := check(n); err != nil {
		c.errs = append(c.errs, errorAt(n.GetToken(), key+": "+err.Error(), "correct the value at this position"))
	}
}
