package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"hickoryroute/pkg/transport/operatorhttp"
)

// statusPollInterval is the time between two requests for the status.
const statusPollInterval = 200 * time.Millisecond

type watchCommand struct {
	Revision int64         `arg:"positional" help:"revision to wait for; 0 takes the one now in force"`
	MaxWait  time.Duration `arg:"--for" default:"10s" help:"longest time to wait"`

	resultToStderr bool // for edits that print JSON on standard output
}

// watchResult is the JSON output of watch.
type watchResult struct {
	Revision int64       `json:"revision"`
	InForce  bool        `json:"in_force"` // on all VMs
	VMs      int         `json:"vms"`      // number of VMs that are alive
	Seconds  float64     `json:"seconds"`
	Lagging  []laggingVM `json:"lagging"`
}

// laggingVM is an entry VM that does not have the revision yet.
type laggingVM struct {
	Address  string `json:"address"`
	State    string `json:"state"`
	Revision int64  `json:"revision"`
}

// String formats the VM for the table output.
func (l laggingVM) String() string {
	return fmt.Sprintf("%s (%s, at %d)", l.Address, l.State, l.Revision)
}

func (c *watchCommand) run(ctx context.Context, e *environment) error {
	ctx, cancel := context.WithTimeout(ctx, c.MaxWait)
	defer cancel()
	start := time.Now()
	result := watchResult{Revision: c.Revision, Lagging: []laggingVM{}}
	reportedLagging := -1
	for {
		status, err := e.client.Status(ctx)
		switch {
		case err == nil:
			result.update(status)
			if result.InForce {
				return c.printResult(e, result, start)
			}
			if reportedLagging != len(result.Lagging) {
				reportedLagging = len(result.Lagging)
				fmt.Fprintf(e.errOut, "waiting for %d of %d VMs\n", reportedLagging, len(status.Members))
			}
		case isProblem(err):
			return err
		case reportedLagging == -1:
			reportedLagging = 0
			fmt.Fprintf(e.errOut, "waiting for an answer: %v\n", err)
		}
		select {
		case <-ctx.Done():
			if err := c.printResult(e, result, start); err != nil {
				return err
			}
			return errNotInForce
		case <-time.After(statusPollInterval):
		}
	}
}

// update compares the revisions of the members with the one to wait for.
func (r *watchResult) update(status operatorhttp.StatusReply) {
	if r.Revision == 0 {
		r.Revision = status.Revision
	}
	r.Lagging = laggingMembers(status, r.Revision)
	r.VMs = countAlive(status)
	r.InForce = len(r.Lagging) == 0 && r.VMs > 0
}

func (c *watchCommand) printResult(e *environment, result watchResult, start time.Time) error {
	took := time.Since(start).Round(time.Millisecond)
	result.Seconds = took.Seconds()
	out := e.out
	if c.resultToStderr {
		out = e.errOut
	} else if e.Output == "json" {
		return e.printJSON(result)
	}
	if result.InForce {
		fmt.Fprintf(out, "revision %d is in force on %d VMs after %s\n", result.Revision, result.VMs, took)
		return nil
	}
	names := make([]string, 0, len(result.Lagging))
	for _, l := range result.Lagging {
		names = append(names, l.String())
	}
	fmt.Fprintf(out, "not at revision %d after %s: %s\n", result.Revision, took, namesOrUnknown(strings.Join(names, ", ")))
	return nil
}

func namesOrUnknown(names string) string {
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
