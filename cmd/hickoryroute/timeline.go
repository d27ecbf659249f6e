package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"hickoryroute/pkg/state/timeline"
	"hickoryroute/pkg/transport/operatorhttp"
)

// timelineWorkers bounds the VMs that are asked at the same time.
const timelineWorkers = 16

type timelineCommand struct {
	VMs   []string `arg:"--vm,separate" help:"operator address of a VM that the members do not list, repeatable"`
	Only  bool     `arg:"--only" help:"print the events of the VM at --address alone"`
	Match string   `arg:"--match" help:"print only events that contain this text, such as sask/cluebook"`
}

func (c *timelineCommand) run(ctx context.Context, e *environment) error {
	events, err := e.client.Timeline(ctx)
	if err != nil {
		return err
	}
	logs := [][]timeline.Event{events}
	if !c.Only {
		status, err := e.client.Status(ctx)
		if err != nil {
			return err
		}
		logs = append(logs, e.timelines(ctx, otherAddresses(status, c.VMs))...)
	}
	merged := slices.DeleteFunc(timeline.Merge(logs...), func(event timeline.Event) bool {
		return !strings.Contains(eventText(event), c.Match)
	})
	if e.Output == "json" {
		return e.printJSON(merged)
	}
	for _, event := range merged {
		fmt.Fprintln(e.out, eventText(event))
	}
	return nil
}

// otherAddresses returns the operator addresses of the members that may
// answer, besides the VM that sent status, and those in extra.
func otherAddresses(status operatorhttp.StatusReply, extra []string) []string {
	list := slices.Clone(extra)
	for _, m := range status.Members {
		if m.State == "dead" || m.State == "left" || m.Address == status.VM || m.Operator == "" {
			continue
		}
		if !slices.Contains(list, m.Operator) {
			list = append(list, m.Operator)
		}
	}
	return list
}

// timelines asks the VMs for their events. A VM that does not answer is named
// on standard error.
func (e *environment) timelines(ctx context.Context, addresses []string) [][]timeline.Event {
	var (
		mu   sync.Mutex
		wg   sync.WaitGroup
		logs [][]timeline.Event
	)
	free := make(chan struct{}, timelineWorkers)
	for _, address := range addresses {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			events, err := e.clientFor(address).Timeline(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fmt.Fprintf(e.errOut, "the events of %s are missing: %v\n", address, err)
				return
			}
			logs = append(logs, events)
		})
	}
	wg.Wait()
	return logs
}

// clientFor returns a client for another VM, by the scheme of --address.
func (e *environment) clientFor(address string) *operatorhttp.Client {
	if scheme, _, ok := strings.Cut(e.Address, "://"); ok && !strings.Contains(address, "://") {
		address = scheme + "://" + address
	}
	return operatorhttp.NewClient(address, e.Token, e.http)
}

// eventText returns an event in one line, its fields ordered by name.
func eventText(event timeline.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s.%d %s %d %s",
		time.UnixMilli(event.Time.WallMs).UTC().Format("2006-01-02T15:04:05.000Z"),
		event.Time.Logical, event.Process, event.Number, event.Name)
	for _, key := range slices.Sorted(maps.Keys(event.Fields)) {
		fmt.Fprintf(&b, " %s=%q", key, fmt.Sprint(event.Fields[key]))
	}
	return b.String()
}
