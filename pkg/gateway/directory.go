package gateway

import (
	"slices"

	"hickoryroute/pkg/steering/placement"
)

// maxDirectory is the number of VMs that one look-up names.
const maxDirectory = 64

// Directory returns the caller addresses of the VMs that a client in a zone
// should use for a host, without those that have fallen silent: those of its
// own region, else those of regions that may run the host's requests, else all.
// Of each region the VMs are named that carry the most together. Where these
// are too many for one answer, each zone's clients get some of their own, which
// stay the same while VMs join and leave. The list must not be changed.
func (g *Gateway) Directory(host, region, zone string) []string {
	list := g.candidates(host, region)
	if len(list) > maxDirectory {
		return placement.Chosen(zone, list, maxDirectory)
	}
	return list
}

// candidates returns the addresses of all VMs that suit a client.
func (g *Gateway) candidates(host, region string) []string {
	addresses := g.peers.currentRoles().addresses
	if near := addresses[region]; len(near) > 0 {
		return near
	}
	var home, all []string
	table := g.routes.Load()
	for other, list := range addresses {
		all = append(all, list...)
		if table != nil && slices.Contains(table.Homes(host), other) {
			home = append(home, list...)
		}
	}
	if len(home) > 0 {
		all = home
	}
	slices.Sort(all)
	return all
}
