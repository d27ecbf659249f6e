package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/transport/operatorhttp"
)

// maxEditAttempts limits how often an edit is sent when no response comes. All
// attempts have the same request id, by which the entry VM recognises resends.
const maxEditAttempts = 3

type editOptions struct {
	Reason       string        `arg:"--reason,required" help:"shown to the other operators"`
	BaseRevision int64         `arg:"--base" help:"fail if the tree is at another revision; apply takes it from the first line of the file"`
	Wait         bool          `arg:"--wait" help:"wait until the change is in force everywhere"`
	Expires      time.Duration `arg:"--expires" help:"end the override after this time, such as 2h"`
}

func (o editOptions) newRequest(op string) operatorhttp.EditRequest {
	r := operatorhttp.EditRequest{RequestID: rand.Text(), Op: op, BaseRevision: o.BaseRevision, Reason: o.Reason}
	if o.Expires > 0 {
		at := time.Now().Add(o.Expires).UTC().Truncate(time.Second)
		r.Expires = &at
	}
	return r
}

type setCommand struct {
	Path  string `arg:"positional,required" help:"such as sask, sask/cluebook or sask/cluebook/cb-01; / for the root"`
	Rules string `arg:"positional,required" help:"rules in YAML, such as 'weight: 50'"`
	editOptions
}

func (c *setCommand) run(ctx context.Context, e *environment) error {
	r := c.newRequest(operatorhttp.OpSet)
	r.Path, r.Rules = c.Path, c.Rules
	return e.edit(ctx, r, c.Wait)
}

// pathEdit holds the arguments of an edit that takes only a path.
type pathEdit struct {
	Path string `arg:"positional,required" help:"region, region/service or region/service/target; drain and restore also take an availability zone"`
	editOptions
}

func (c *pathEdit) send(ctx context.Context, e *environment, op string) error {
	r := c.newRequest(op)
	r.Path = c.Path
	return e.edit(ctx, r, c.Wait)
}

type removeCommand struct{ pathEdit }

func (c *removeCommand) run(ctx context.Context, e *environment) error {
	return c.send(ctx, e, operatorhttp.OpRemove)
}

type drainCommand struct{ pathEdit }

func (c *drainCommand) run(ctx context.Context, e *environment) error {
	return c.send(ctx, e, operatorhttp.OpDrain)
}

type restoreCommand struct{ pathEdit }

func (c *restoreCommand) run(ctx context.Context, e *environment) error {
	return c.send(ctx, e, operatorhttp.OpRestore)
}

type applyCommand struct {
	File string `arg:"positional,required" help:"tree in YAML, - for standard input"`
	editOptions
}

func (c *applyCommand) run(ctx context.Context, e *environment) error {
	text, err := readTree(c.File)
	if err != nil {
		return err
	}
	r := c.newRequest(operatorhttp.OpApply)
	r.Tree = text
	if r.BaseRevision == 0 {
		r.BaseRevision = baseRevision(text)
	}
	return e.edit(ctx, r, c.Wait)
}

type rollForwardCommand struct {
	Revision int64 `arg:"positional,required" help:"revision whose content to accept again"`
	editOptions
}

func (c *rollForwardCommand) run(ctx context.Context, e *environment) error {
	r := c.newRequest(operatorhttp.OpRollForward)
	r.Revision = c.Revision
	return e.edit(ctx, r, c.Wait)
}

// revisionLine matches the first line of the output of show.
var revisionLine = regexp.MustCompile(`^# revision ([0-9]+)\b`)

// baseRevision returns the revision in the first line of text, as show prints
// it, or 0 if text does not start with such a line.
func baseRevision(text string) int64 {
	match := revisionLine.FindStringSubmatch(text)
	if match == nil {
		return 0
	}
	n, err := strconv.ParseInt(match[1], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

type diffCommand struct {
	File string `arg:"positional,required" help:"tree in YAML, - for standard input"`
}

func (c *diffCommand) run(ctx context.Context, e *environment) error {
	return e.printDiff(ctx, c.File, "")
}

type validateCommand struct {
	File string `arg:"positional,required" help:"tree in YAML, - for standard input"`
}

func (c *validateCommand) run(ctx context.Context, e *environment) error {
	return e.printDiff(ctx, c.File, "valid; ")
}

// printDiff checks the tree in a file and prints the changes it would make,
// after a line that starts with prefix.
func (e *environment) printDiff(ctx context.Context, file, prefix string) error {
	text, err := readTree(file)
	if err != nil {
		return err
	}
	reply, err := e.client.Validate(ctx, text)
	if err != nil {
		return err
	}
	if base := baseRevision(text); base != 0 && base != reply.Revision {
		fmt.Fprintf(e.errOut, "the file was made from revision %d; changes accepted since then show as undone\n", base)
	}
	if e.Output == "json" {
		return e.printJSON(reply)
	}
	fmt.Fprintf(e.out, "%s%d changes against revision %d\n", prefix, len(reply.Changes), reply.Revision)
	e.printChanges(reply.Changes)
	return nil
}

// edit sends a change and prints the result. Without a response, it resends the
// change with the same request id.
func (e *environment) edit(ctx context.Context, r operatorhttp.EditRequest, wait bool) error {
	var reply operatorhttp.EditReply
	var err error
	for attempt := range maxEditAttempts {
		reply, err = e.client.Edit(ctx, r)
		if err == nil || isProblem(err) || ctx.Err() != nil {
			break
		}
		fmt.Fprintf(e.errOut, "attempt %d got no answer: %v\n", attempt+1, err)
	}
	if err != nil {
		return err
	}
	if e.Output == "json" {
		if err := e.printJSON(reply); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(e.out, "accepted as revision %d\n", reply.Revision)
		e.printChanges(reply.Changes)
		e.printOverrides("replaces", reply.Replaced)
		e.printOverrides("keeps", reply.Kept)
	}
	if !wait {
		return nil
	}
	return (&watchCommand{Revision: reply.Revision, MaxWait: e.Timeout, resultToStderr: e.Output == "json"}).run(ctx, e)
}

// printOverrides prints earlier overrides of the path that an edit replaces or
// keeps, as verb says.
func (e *environment) printOverrides(verb string, list []operatorhttp.Override) {
	for _, o := range list {
		fmt.Fprintf(e.out, "  %s the override %s %s: %s by %s (%s)%s\n",
			verb, o.Path, o.Key, o.Value, o.Author, oneLine(o.Reason), expiryText(o))
	}
}

func expiryText(o operatorhttp.Override) string {
	switch {
	case o.Expired:
		return ", expired " + formatTime(o.Expires)
	case o.Expires != nil:
		return " until " + formatTime(o.Expires)
	default:
		return ""
	}
}

// oneLine replaces line breaks by spaces, so that text of other operators
// cannot break out of a table row or comment.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

func (e *environment) printChanges(changes []operatorhttp.Change) {
	for _, c := range changes {
		fmt.Fprintf(e.out, "  %s %s: %s -> %s\n", c.Path, c.Key, valueOrNotSet(c.Old), valueOrNotSet(c.New))
	}
}

func valueOrNotSet(s string) string {
	if s == "" {
		return "(not set)"
	}
	return s
}

func (e *environment) printJSON(v any) error {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func readTree(name string) (string, error) {
	read := func() ([]byte, error) { return os.ReadFile(name) }
	if name == "-" {
		read = func() ([]byte, error) { return io.ReadAll(os.Stdin) }
	}
	b, err := read()
	if err != nil {
		return "", errors.Wrap(err, "read the tree")
	}
	return string(b), nil
}
