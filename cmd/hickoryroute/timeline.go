package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"hickoryroute/pkg/state/timeline"
	"hickoryroute/pkg/transport/operatorhttp"
)

type timelineCommand struct {
	VMs        []string `arg:"--vm,separate" help:"operator address of a VM that the members do not list, repeatable"`
	OnlyThisVM bool     `arg:"--only" help:"print the events of the VM at --address alone"`
	Match      string   `arg:"--match" help:"print only events that contain this text, such as sask/cluebook"`
}

func (c *timelineCommand) run(ctx context.Context, e *environment) error {
	events, err := e.client.Timeline(ctx)
	if err != nil {
		return err
	}
	eventLists := [][]timeline.Event{events}
	if !c.OnlyThisVM {
		status, err := e.client.Status(ctx)
		if err != nil {
			return err
		}
		others := queryVMs(e, otherOperatorAddresses(status, c.VMs), func(vm *operatorhttp.Client) ([]timeline.Event, error) {
			return vm.Timeline(ctx)
		})
		eventLists = append(eventLists, others...)
	}
	merged := slices.DeleteFunc(timeline.Merge(eventLists...), func(event timeline.Event) bool {
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

// eventText formats an event as one line with its fields ordered by name.
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
