package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"hickoryroute/pkg/transport/operatorhttp"
)

// watchInterval is the time between two looks at the members.
const watchInterval = 200 * time.Millisecond

type watchCommand struct {
	Revision int64         `arg:"positional" help:"revision to wait for; 0 takes the one now in force"`
	For      time.Duration `arg:"--for" default:"10s" help:"longest time to wait"`

	quiet bool // print the result on standard error
}

// watchResult is the JSON output of watch.
type watchResult struct {
	Revision int64       `json:"revision"`
	InForce  bool        `json:"in_force"` // everywhere
	VMs      int         `json:"vms"`      // alive
	Seconds  float64     `json:"seconds"`
	Lagging  []laggingVM `json:"lagging"`
}

// laggingVM is an entry VM that does not have the revision yet.
type laggingVM struct {
	Address  string `json:"address"`
	State    string `json:"state"`
	Revision int64  `json:"revision"`
}

// String returns the VM in one line.
func (l laggingVM) String() string {
	return fmt.Sprintf("%s (%s, at %d)", l.Address, l.State, l.Revision)
}

func (c *watchCommand) run(ctx context.Context, e *environment) error {
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	start := time.Now()
	result := watchResult{Revision: c.Revision, Lagging: []laggingVM{}}
	told := -1
	for {
		status, err := e.client.Status(ctx)
		switch {
		case err == nil:
			result.take(status)
			if result.InForce {
				return c.print(e, result, start)
			}
			if told != len(result.Lagging) {
				told = len(result.Lagging)
				fmt.Fprintf(e.errOut, "waiting for %d of %d VMs\n", told, len(status.Members))
			}
		case isProblem(err):
			return err
		case told == -1:
			told = 0
			fmt.Fprintf(e.errOut, "waiting for an answer: %v\n", err)
		}
		select {
		case <-ctx.Done():
			if err := c.print(e, result, start); err != nil {
				return err
			}
			return errNotInForce
		case <-time.After(watchInterval):
		}
	}
}

// take compares the members with the revision that is waited for.
func (r *watchResult) take(status operatorhttp.StatusReply) {
	if r.Revision == 0 {
		r.Revision = status.Revision
	}
	r.Lagging = laggingMembers(status, r.Revision)
	r.VMs = countAlive(status)
	r.InForce = len(r.Lagging) == 0 && r.VMs > 0
}

func (c *watchCommand) print(e *environment, r watchResult, start time.Time) error {
	took := time.Since(start).Round(time.Millisecond)
	r.Seconds = took.Seconds()
	out := e.out
	if c.quiet {
		out = e.errOut
	} else if e.Output == "json" {
		return e.printJSON(r)
	}
	if r.InForce {
		fmt.Fprintf(out, "revision %d is in force on %d VMs after %s\n", r.Revision, r.VMs, took)
		return nil
	}
	names := make([]string, 0, len(r.Lagging))
	for _, l := range r.Lagging {
		names = append(names, l.String())
	}
	fmt.Fprintf(out, "not at revision %d after %s: %s\n", r.Revision, took, orUnknown(strings.Join(names, ", ")))
	return nil
}

func orUnknown(names string) string {
	if names == "" {
		return "unknown, no VM answered"
	}
	return names
}

func laggingMembers(s operatorhttp.StatusReply, revision int64) []laggingVM {
	lagging := []laggingVM{}
	for _, m := range s.Members {
		if m.State != "dead" && m.State != "left" && m.Revision < revision {
			lagging = append(lagging, laggingVM{m.Address, m.State, m.Revision})
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
