package gateway

import "slices"

// maxLookupAddresses limits the addresses that one lookup returns.
const maxLookupAddresses = 64

// Lookup returns the caller addresses of the VMs that a caller in an
// availability zone should use for a host: the VMs of its own region, else
// those of the regions that may run the host's requests, else all. Of each
// region it returns the VMs with the most capacity together, without
// unresponsive ones. If these exceed maxLookupAddresses, the callers of each
// zone get a part of them. The returned slice must not be modified.
func (g *Gateway) Lookup(host, region, zone string) []string {
	list := g.lookupCandidates(host, region)
	if len(list) <= maxLookupAddresses {
		return list
	}
	zones := g.zonesOf(region)
	return selectForZone(list, max(0, slices.Index(zones, zone)), max(1, len(zones)))
}

// selectForZone returns maxLookupAddresses consecutive addresses for one of
// several availability zones. The zones start at even distances in the list,
// so that together they cover all of it and callers keep nearly all of their
// addresses when a VM joins or leaves.
func selectForZone(list []string, zone, zones int) []string {
	start := zone * len(list) / zones
	return slices.Concat(list[start:], list[:start])[:maxLookupAddresses]
}

// zonesOf returns the availability zones of a region, sorted by name.
func (g *Gateway) zonesOf(region string) []string {
	var zones []string
	for zone, r := range g.cfg.Regions {
		if r == region {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// lookupCandidates returns the addresses from which a lookup for a host and a
// caller's region selects.
func (g *Gateway) lookupCandidates(host, region string) []string {
	addresses := g.peers.currentRoles().addresses
	if inRegion := addresses[region]; len(inRegion) > 0 {
		return inRegion
	}
	var home, all []string
	table := g.routes.Load()
	for otherRegion, list := range addresses {
		all = append(all, list...)
		if table != nil && slices.Contains(table.HomeRegions(host), otherRegion) {
			home = append(home, list...)
		}
	}
	if len(home) > 0 {
		all = home
	}
	slices.Sort(all)
	return all
}
