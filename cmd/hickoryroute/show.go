package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/transport/operatorhttp"
)

func isProblem(err error) bool {
	var p *protocol.Problem
	return errors.As(err, &p)
}

// printTable prints rows in aligned columns.
func (e *environment) printTable(rows ...[]string) {
	w := tabwriter.NewWriter(e.out, 0, 8, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

type showCommand struct {
	Revision int64 `arg:"--revision" help:"an earlier revision"`
}

func (c *showCommand) run(ctx context.Context, e *environment) error {
	if c.Revision != 0 {
		text, err := e.client.RevisionText(ctx, c.Revision)
		if err == nil {
			fmt.Fprint(e.out, text)
		}
		return err
	}
	tree, err := e.client.Tree(ctx)
	if err != nil {
		return err
	}
	if e.Output == "json" {
		return e.printJSON(tree)
	}
	fmt.Fprintf(e.out, "# revision %d by %s at %s: %s\n",
		tree.Revision, authorOrUnattributed(tree.Author), tree.At.Format(time.RFC3339), oneLine(tree.Reason))
	e.printUnattributed(tree.Unattributed)
	if tree.RejectionReason != "" {
		fmt.Fprintf(e.out, "# NOT IN FORCE: %s\n", oneLine(tree.RejectionReason))
	}
	fmt.Fprint(e.out, tree.Tree)
	return nil
}

func (e *environment) printUnattributed(list []operatorhttp.Unattributed) {
	for _, u := range list {
		fmt.Fprintf(e.out, "# UNATTRIBUTED: %s %s = %s, written to the store without this tool, revision %d\n",
			u.Path, u.Key, oneLine(u.Value), u.Revision)
	}
}

type explainCommand struct {
	Path string `arg:"positional,required"`
}

func (c *explainCommand) run(ctx context.Context, e *environment) error {
	reply, err := e.client.Explain(ctx, c.Path)
	if err != nil {
		return err
	}
	if e.Output == "json" {
		return e.printJSON(reply)
	}
	rows := [][]string{{"SETTING", "VALUE", "FROM", "BY", "SINCE", "UNTIL", "REASON"}}
	for _, s := range reply.Settings {
		from := s.Source
		if s.Override {
			from += " (override)"
		}
		rows = append(rows, []string{s.Key, s.Value, from, s.Author, formatTime(s.SetAt), formatTime(s.Expires), oneLine(s.Reason)})
	}
	e.printTable(rows...)
	for _, o := range reply.Expired {
		fmt.Fprintf(e.out, "# EXPIRED, not in force: override %s %s: %s by %s (%s)%s\n",
			o.Path, o.Key, o.Value, o.Author, oneLine(o.Reason), expiryText(o))
	}
	e.printUnattributed(reply.Unattributed)
	return nil
}

func authorOrUnattributed(author string) string {
	if author == "" {
		return "(unattributed)"
	}
	return author
}

func formatTime(t *time.Time) string {
	if t == nil || t.IsZero() {
		return "-"
	}
	return t.Format(time.RFC3339)
}

// maxShownPaths limits the paths in a row of the history, so that its columns
// stay readable. The JSON output lists all paths.
const maxShownPaths = 4

func pathsText(paths []string) string {
	if omitted := len(paths) - maxShownPaths; omitted > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(paths[:maxShownPaths], " "), omitted)
	}
	return strings.Join(paths, " ")
}

type historyCommand struct{}

func (c *historyCommand) run(ctx context.Context, e *environment) error {
	changes, err := e.client.History(ctx)
	if err != nil {
		return err
	}
	if e.Output == "json" {
		return e.printJSON(changes)
	}
	rows := [][]string{{"REVISION", "AT", "BY", "PATHS", "REASON"}}
	for _, change := range changes {
		rows = append(rows, []string{strconv.FormatInt(change.Revision, 10), change.At.Format(time.RFC3339), change.Author, pathsText(change.Paths), oneLine(change.Reason)})
	}
	e.printTable(rows...)
	return nil
}
