package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/transport/operatorhttp"
)

type statusCommand struct {
	OnlyThisVM bool `arg:"--only" help:"list the targets of the VM at --address alone"`
}

func (c *statusCommand) run(ctx context.Context, e *environment) error {
	s, err := e.client.Status(ctx)
	if err != nil {
		return err
	}
	if !c.OnlyThisVM {
		others := queryVMs(e, otherOperatorAddresses(s, nil), func(vm *operatorhttp.Client) (operatorhttp.StatusReply, error) {
			return vm.Status(ctx)
		})
		for _, other := range others {
			s.Targets = append(s.Targets, other.Targets...)
		}
		slices.SortFunc(s.Targets, func(a, b operatorhttp.TargetStatus) int {
			return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Owner, b.Owner))
		})
	}
	if e.Output == "json" {
		return e.printJSON(s)
	}
	age := time.Duration(s.SettingsAgeSeconds * float64(time.Second)).Round(time.Second)
	fmt.Fprintf(e.out, "seen by %s at revision %d, confirmed by the platform %s ago\n", s.VM, s.Revision, age)
	if s.RejectionReason != "" {
		fmt.Fprintf(e.out, "# NOT IN FORCE: %s\n", oneLine(s.RejectionReason))
	}
	e.printUnattributed(s.Unattributed)
	e.printSection(overrideRows(s.Overrides))
	e.printSection(regionRows(s.Regions))
	e.printSection(linkRows(s.Links))
	e.printSection(targetRows(s.Targets))
	e.printSection(memberRows(s.Members))
	return nil
}

// printSection prints an empty line and a table.
func (e *environment) printSection(rows [][]string) {
	fmt.Fprintln(e.out)
	e.printTable(rows...)
}

func overrideRows(list []operatorhttp.Override) [][]string {
	rows := [][]string{{"OVERRIDE", "RULE", "VALUE", "BY", "SINCE", "UNTIL", "REASON"}}
	for _, o := range list {
		until := formatTime(o.Expires)
		if o.Expired {
			until += " (expired, not in force)"
		}
		rows = append(rows, []string{o.Path, o.Key, o.Value, o.Author, formatTime(o.SetAt), until, oneLine(o.Reason)})
	}
	return rows
}

func regionRows(list []operatorhttp.RegionStatus) [][]string {
	rows := [][]string{{"REGION", "LIMIT", "FREE SLOTS"}}
	for _, r := range list {
		rows = append(rows, []string{r.Region, limitText(r.Limit), freeSlotsText(r.FreeSlots)})
	}
	return rows
}

// freeSlotsText lists the free slots of each service, ordered by service name.
func freeSlotsText(free map[string]int) string {
	if len(free) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(free))
	for _, service := range slices.Sorted(maps.Keys(free)) {
		parts = append(parts, fmt.Sprintf("%s %d", service, free[service]))
	}
	return strings.Join(parts, ", ")
}

// bitsPerByte converts the share of a link from bytes to bits, the unit of its
// cap.
const bitsPerByte = 8

func linkRows(list []operatorhttp.LinkStatus) [][]string {
	rows := [][]string{{"LINK", "CAP", "SHARE OF THIS VM", "ROOM IN BYTES"}}
	for _, l := range list {
		share := settings.Bandwidth(l.ShareBytesPerSecond * bitsPerByte).String()
		rows = append(rows, []string{l.From + " -> " + l.To, l.Cap, share, fmt.Sprint(l.AvailableBytes)})
	}
	return rows
}

func targetRows(list []operatorhttp.TargetStatus) [][]string {
	rows := [][]string{{"TARGET", "OWNER", "STATE", "IN FLIGHT", "USABLE", "SLOTS"}}
	for _, t := range list {
		rows = append(rows, []string{t.Target, t.Owner, t.State, fmt.Sprint(t.InFlight), fmt.Sprint(t.Usable), fmt.Sprint(t.Slots)})
	}
	return rows
}

func memberRows(list []operatorhttp.MemberStatus) [][]string {
	rows := [][]string{{"MEMBER", "OPERATOR PORT", "ZONE", "STATE", "READY", "LEAVING", "REVISION", "SEATS"}}
	for _, m := range list {
		rows = append(rows, []string{
			m.Address, m.OperatorAddress, m.Zone, m.State, fmt.Sprint(m.Ready), fmt.Sprint(m.Leaving),
			fmt.Sprint(m.Revision), fmt.Sprint(m.Seats),
		})
	}
	return rows
}

func limitText(n int) string {
	if n == 0 {
		return "none"
	}
	return strconv.Itoa(n)
}
