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
	"hickoryroute/pkg/state/timeline"
	"hickoryroute/pkg/transport/operatorhttp"
)

// watchInterval is the time between two looks at the members.
const watchInterval = 200 * time.Millisecond

func isProblem(err error) bool {
	var p *protocol.Problem
	return errors.As(err, &p)
}

// table prints rows in aligned columns.
func (e *environment) table(rows ...[]string) {
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
	fmt.Fprintf(e.out, "# revision %d by %s at %s: %s\n", tree.Revision, tree.Author, tree.At.Format(time.RFC3339), tree.Reason)
	e.printUnattributed(tree.Unattributed)
	if tree.Fault != "" {
		fmt.Fprintf(e.out, "# NOT IN FORCE: %s\n", tree.Fault)
	}
	fmt.Fprint(e.out, tree.Tree)
	return nil
}

func (e *environment) printUnattributed(list []operatorhttp.Unattributed) {
	for _, u := range list {
		fmt.Fprintf(e.out, "# UNATTRIBUTED: %s %s = %s, written to the store without this tool, revision %d\n",
			u.Path, u.Key, u.Value, u.Revision)
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
		from := s.From
		if s.Override {
			from += " (override)"
		}
		rows = append(rows, []string{s.Key, s.Value, from, s.Author, formatTime(s.SetAt), formatTime(s.Expires), s.Reason})
	}
	e.table(rows...)
	e.printUnattributed(reply.Unattributed)
	return nil
}

func formatTime(t *time.Time) string {
	if t == nil || t.IsZero() {
		return "-"
	}
	return t.Format(time.RFC3339)
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
	for _, h := range changes {
		rows = append(rows, []string{strconv.FormatInt(h.Revision, 10), h.At.Format(time.RFC3339), h.Author, strings.Join(h.Paths, " "), h.Reason})
	}
	e.table(rows...)
	return nil
}

type watchCommand struct {
	Revision int64         `arg:"positional" help:"revision to wait for; 0 takes the one now in force"`
	For      time.Duration `arg:"--for" default:"10s" help:"longest time to wait"`
}

func (c *watchCommand) run(ctx context.Context, e *environment) error {
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	start := time.Now()
	var lagging []string
	for {
		status, err := e.client.Status(ctx)
		if err == nil {
			if c.Revision == 0 {
				c.Revision = status.Revision
			}
			lagging = laggingMembers(status, c.Revision)
			if len(lagging) == 0 {
				fmt.Fprintf(e.out, "revision %d is in force on %d VMs after %s\n",
					c.Revision, countAlive(status), time.Since(start).Round(time.Millisecond))
				return nil
			}
			fmt.Fprintf(e.errOut, "waiting for %d of %d VMs\n", len(lagging), len(status.Members))
		} else if isProblem(err) {
			return err
		}
		select {
		case <-ctx.Done():
			fmt.Fprintf(e.out, "not at revision %d: %s\n", c.Revision, strings.Join(lagging, ", "))
			return errNotInForce
		case <-time.After(watchInterval):
		}
	}
}

func laggingMembers(s operatorhttp.StatusReply, revision int64) []string {
	var lagging []string
	for _, m := range s.Members {
		if m.State != "dead" && m.State != "left" && m.Revision < revision {
			lagging = append(lagging, fmt.Sprintf("%s (%s, at %d)", m.Address, m.State, m.Revision))
		}
	}
	return lagging
}

func countAlive(s operatorhttp.StatusReply) int {
	alive := 0
	for _, m := range s.Members {
		if m.State == "alive" {
			alive++
		}
	}
	return alive
}

type statusCommand struct{}

func (c *statusCommand) run(ctx context.Context, e *environment) error {
	s, err := e.client.Status(ctx)
	if err != nil {
		return err
	}
	if e.Output == "json" {
		return e.printJSON(s)
	}
	fmt.Fprintf(e.out, "seen by %s at revision %d\n\n", s.VM, s.Revision)
	rows := [][]string{{"REGION", "LIMIT", "FREE SLOTS"}}
	for _, r := range s.Regions {
		rows = append(rows, []string{r.Region, limitText(r.Limit), fmt.Sprint(r.FreeSlots)})
	}
	e.table(rows...)
	fmt.Fprintln(e.out)
	rows = [][]string{{"LINK", "CAP", "SHARE BYTES/S", "AVAILABLE BYTES"}}
	for _, l := range s.Links {
		rows = append(rows, []string{l.From + " -> " + l.To, l.Cap, fmt.Sprint(l.ShareBytes), fmt.Sprint(l.AvailableBytes)})
	}
	e.table(rows...)
	fmt.Fprintln(e.out)
	rows = [][]string{{"TARGET", "STATE", "IN FLIGHT", "USABLE", "SLOTS"}}
	for _, t := range s.Targets {
		rows = append(rows, []string{t.Target, t.State, fmt.Sprint(t.InFlight), fmt.Sprint(t.Usable), fmt.Sprint(t.Slots)})
	}
	e.table(rows...)
	fmt.Fprintln(e.out)
	rows = [][]string{{"MEMBER", "ZONE", "STATE", "READY", "LEAVING", "REVISION"}}
	for _, m := range s.Members {
		rows = append(rows, []string{m.Address, m.Zone, m.State, fmt.Sprint(m.Ready), fmt.Sprint(m.Leaving), fmt.Sprint(m.Revision)})
	}
	e.table(rows...)
	return nil
}

func limitText(n int) string {
	if n == 0 {
		return "none"
	}
	return strconv.Itoa(n)
}

type timelineCommand struct {
	VMs []string `arg:"--vm,separate" help:"operator address of a further VM to merge, repeatable"`
}

func (c *timelineCommand) run(ctx context.Context, e *environment) error {
	events, err := e.client.Timeline(ctx)
	if err != nil {
		return err
	}
	logs := [][]timeline.Event{events}
	for _, address := range c.VMs {
		h, err := newHTTPClient(e.connection)
		if err != nil {
			return err
		}
		more, err := operatorhttp.NewClient(address, e.Token, h).Timeline(ctx)
		if err != nil {
			fmt.Fprintf(e.errOut, "%s is left out: %v\n", address, err)
			continue
		}
		logs = append(logs, more)
	}
	merged := timeline.Merge(logs...)
	if e.Output == "json" {
		return e.printJSON(merged)
	}
	for _, event := range merged {
		fmt.Fprintf(e.out, "%s.%d %s %d %s %v\n",
			time.UnixMilli(event.Time.WallMs).UTC().Format("2006-01-02T15:04:05.000Z"),
			event.Time.Logical, event.Process, event.Number, event.Name, event.Fields)
	}
	return nil
}
