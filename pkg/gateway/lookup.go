package gateway

import "slices"

// maxDirectory is the number of VMs that one look-up names.
const maxDirectory = 64

// Directory returns the caller addresses of the VMs that a client in a zone
// should use for a host, without those that have fallen silent: those of its
// own region, else those of regions that may run the host's requests, else all.
// Of each region the VMs are named that carry the most together. Where these
// are too many for one answer, each availability zone's clients get a part of
// them. The list must not be changed.
func (g *Gateway) Lookup(host, region, zone string) []string {
	list := g.candidates(host, region)
	if len(list) <= maxDirectory {
		return list
	}
	zones := g.zones(region)
	return window(list, max(0, slices.Index(zones, zone)), max(1, len(zones)))
}

// window returns maxDirectory addresses for one of several availability zones.
// The parts of the zones start at even distances in the order of the list, so
// that they cover all of it, and callers keep nearly all of theirs when a VM
// joins or leaves.
func window(list []string, zone, zones int) []string {
	start := zone * len(list) / zones
	return slices.Concat(list[start:], list[:start])[:maxDirectory]
}

// zones returns the availability zones of a region, in order.
func (g *Gateway) zones(region string) []string {
	var zones []string
	for zone, r := range g.cfg.Regions {
		if r == region {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
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
