package main

import (
	"context"
	"fmt"
	"strings"

	"hickoryroute/pkg/protocol"
)

// frontCommand prints the status of one entry VM on the users' platform.
type frontCommand struct{}

func (c *frontCommand) run(ctx context.Context, e *environment) error {
	s, err := e.client.GatewayStatus(ctx)
	if err != nil {
		return err
	}
	if e.Output == "json" {
		return e.printJSON(s)
	}
	fmt.Fprintf(e.out, "%s in %s: ready %t, stopping %t\n", s.VM, s.Zone, s.Ready, s.Stopping)
	fmt.Fprintf(e.out, "version %d of revision %d; confirmed: routes %.1f s ago, targets %.1f s, VMs %.1f s\n",
		s.Version, s.Revision, s.RoutesAgeSeconds, s.TargetsAgeSeconds, s.VMsAgeSeconds)
	if len(s.Evacuated) > 0 {
		fmt.Fprintf(e.out, "evacuated: %s\n", strings.Join(s.Evacuated, ", "))
	}
	e.printSection(frontRouteRows(s.Routes))
	e.printSection(frontServiceRows(s.Services))
	e.printSection(frontVMRows(s.VMs))
	return nil
}

func frontRouteRows(list []protocol.FrontRoute) [][]string {
	rows := [][]string{{"ROUTE", "HOST", "PREFIX", "IDEMPOTENT", "TIMEOUT MS", "HOMES", "SERVICES"}}
	for _, r := range list {
		rows = append(rows, []string{
			r.Name, r.Host, r.Prefix, fmt.Sprint(r.Idempotent), fmt.Sprint(r.TimeoutMs),
			strings.Join(r.Homes, ", "), strings.Join(r.Services, ", "),
		})
	}
	return rows
}

func frontServiceRows(list []protocol.FrontService) [][]string {
	rows := [][]string{{"SERVICE", "LISTED", "USABLE", "USE", "SERVED ELSEWHERE"}}
	for _, s := range list {
		rows = append(rows, []string{
			s.Name, fmt.Sprint(s.Listed), fmt.Sprint(s.Usable), fmt.Sprintf("%.2f", s.Use), fmt.Sprintf("%.0f%%", 100*s.Spill),
		})
	}
	return rows
}

func frontVMRows(list []protocol.FrontVM) [][]string {
	rows := [][]string{{"VM", "ZONE", "REGION", "NAMED", "SILENT"}}
	for _, vm := range list {
		rows = append(rows, []string{vm.Address, vm.Zone, vm.Region, fmt.Sprint(vm.Named), fmt.Sprint(vm.Silent)})
	}
	return rows
}
