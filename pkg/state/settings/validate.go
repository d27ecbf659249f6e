package settings

import (
	"fmt"
	"net/netip"
	"time"
)

// Limits of the slots of a target.
const (
	minSlots = 1
	maxSlots = 1000
)

// validator collects the errors of one tree.
type validator struct {
	tree      *Tree
	errs      ErrorList
	zones     map[string]string // region by zone
	addresses map[string]string // path by target address
}

// Validate checks t and reports all errors at once. The result does not depend
// on the clock, so that all VMs agree on it.
func (t *Tree) Validate() error {
	_, err := t.validated()
	return err
}

// validated checks t and returns it with its index.
func (t *Tree) validated() (*Tree, error) {
	v := &validator{tree: t, zones: map[string]string{}, addresses: map[string]string{}}
	v.checkRules("/", t.Rules)
	v.checkServices()
	v.checkRegions()
	v.checkLinks()
	v.checkBlocks()
	v.checkOverrides()
	if err := v.errs.orNil(); err != nil {
		return nil, err
	}
	if v.tree.index == nil {
		indexed := *t
		v.tree = indexed.withIndex()
	}
	v.checkServed()
	if err := v.errs.orNil(); err != nil {
		return nil, err
	}
	return v.tree, nil
}

// ValidateAt validates t and also checks that some region serves each service at
// now and after each later expiry of an override. Edits are checked with it. VMs
// that apply an accepted tree use Validate alone, because their clocks may
// differ.
func (t *Tree) ValidateAt(now time.Time) error {
	t, err := t.validated()
	if err != nil {
		return err
	}
	v := &validator{tree: t}
	for _, at := range t.periodStarts() {
		if at.Before(now) {
			at = now
		}
		for _, service := range t.ServiceNames() {
			if !t.isServedAt(service, at) {
				v.addUnserved(service, fmt.Sprintf("at %s", at.UTC().Format(time.RFC3339)))
			}
		}
		if len(v.errs) > 0 {
			break
		}
	}
	return v.errs.orNil()
}

func (v *validator) checkName(path, kind, name string) {
	if !isValidName(name) {
		v.errs.add(path, "use 1 to 63 of the characters a-z, 0-9 and -", "%s name %q is not valid", kind, name)
	}
}

func (v *validator) checkServices() {
	for _, name := range sortedKeys(v.tree.Services) {
		path := Path{Region: allRegions, Service: name}.String()
		v.checkName(path, "service", name)
		v.checkRules(path, v.tree.Services[name].Rules)
	}
}

func (v *validator) checkRegions() {
	if len(v.tree.Regions) == 0 {
		v.errs.add("/", "list at least one region with its zones", "tree has no regions")
	}
	for _, name := range v.tree.RegionNames() {
		region := v.tree.Regions[name]
		v.checkName(name, "region", name)
		v.checkZones(name, region.Zones)
		v.checkRules(name, region.Rules)
		for _, service := range sortedKeys(region.Services) {
			v.checkRegionService(Path{Region: name, Service: service}, region)
		}
	}
}

func (v *validator) checkZones(region string, zones []string) {
	if len(zones) == 0 {
		v.errs.add(region, "list the availability zones of the region", "region has no zones")
	}
	for _, zone := range zones {
		v.checkName(region, "zone", zone)
		if other, ok := v.zones[zone]; ok {
			v.errs.add(region, "give each zone a name of its own and list it once", "zone %q is already listed by region %q", zone, other)
		}
		v.zones[zone] = region
	}
}

func (v *validator) checkRegionService(path Path, region Region) {
	service := region.Services[path.Service]
	v.checkName(path.String(), "service", path.Service)
	v.checkRules(path.String(), service.Rules)
	for _, name := range sortedKeys(service.Targets) {
		path.Target = name
		v.checkTarget(path, service.Targets[name])
	}
}

func (v *validator) checkTarget(p Path, target Target) {
	path := p.String()
	v.checkName(path, "target", p.Target)
	v.checkRules(path, target.Rules)
	if v.zones[target.Zone] != p.Region {
		v.errs.add(path, "name one of the zones of the region", "zone %q does not belong to region %q", target.Zone, p.Region)
	}
	if target.Slots < minSlots || target.Slots > maxSlots {
		v.errs.add(path, fmt.Sprintf("set slots between %d and %d", minSlots, maxSlots), "slots is %d", target.Slots)
	}
	v.checkAddress(path, target.Address)
}

func (v *validator) checkAddress(path, address string) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil || addr.Port() == 0 {
		v.errs.add(path, "write an IP address and a port such as 10.0.0.1:8080", "address %q is not valid", address)
		return
	}
	key := addr.String()
	if other, ok := v.addresses[key]; ok {
		v.errs.add(path, "give each target an address of its own", "address %s is already used by %s", key, other)
		return
	}
	v.addresses[key] = path
}

func (v *validator) checkLinks() {
	seen := map[[2]string]bool{}
	for _, link := range v.tree.Links {
		path := linkPath(link)
		v.checkRegionExists(path, link.From)
		v.checkRegionExists(path, link.To)
		if link.From == link.To {
			v.errs.add(path, "name two different regions", "link leads from a region to itself")
		}
		if seen[[2]string{link.From, link.To}] {
			v.errs.add(path, "remove one of the two entries", "link is listed twice")
		}
		seen[[2]string{link.From, link.To}] = true
		if link.Capacity <= 0 || link.Cap <= 0 {
			v.errs.add(path, "set capacity and cap to rates such as 4Gbit/s", "capacity or cap is not above zero")
		} else if link.Cap > link.Capacity {
			v.errs.add(path, "lower cap to capacity or less", "cap %s is above capacity %s", link.Cap, link.Capacity)
		}
	}
}

func linkPath(link Link) string { return "links/" + link.From + "-" + link.To }

func (v *validator) checkRegionExists(path, region string) {
	if _, ok := v.tree.Regions[region]; !ok {
		v.errs.add(path, "name a region that the tree lists", "region %q does not exist", region)
	}
}

func (v *validator) checkBlocks() {
	seen := map[netip.Prefix]bool{}
	for _, block := range v.tree.ClientBlocks {
		path := blockPath(block)
		prefix, err := netip.ParsePrefix(block.Prefix)
		switch {
		case err != nil:
			v.errs.add(path, "write an address block such as 10.1.0.0/16", "prefix %q is not valid", block.Prefix)
		case prefix != prefix.Masked():
			v.errs.add(path, "write "+prefix.Masked().String(), "prefix has bits set beyond its length")
		case seen[prefix]:
			v.errs.add(path, "remove one of the two entries", "client block is listed twice")
		}
		seen[prefix] = true
		if len(block.Regions) == 0 {
			v.errs.add(path, "list the regions that serve the block", "client block has no regions")
		}
		listed := map[string]bool{}
		for _, region := range block.Regions {
			v.checkRegionExists(path, region)
			if listed[region] {
				v.errs.add(path, "list each region once", "region %q is listed twice", region)
			}
			listed[region] = true
		}
	}
}

func blockPath(block ClientBlock) string { return "client_blocks/" + block.Prefix }

// checkServed reports services that no region serves at any time. It accepts a
// service that no region serves only before or after some expiry.
func (v *validator) checkServed() {
	instants := v.tree.periodStarts()
	for _, service := range v.tree.ServiceNames() {
		served := false
		for _, at := range instants {
			if v.tree.isServedAt(service, at) {
				served = true
				break
			}
		}
		if !served {
			v.addUnserved(service, "at any time")
		}
	}
}

func (v *validator) addUnserved(service, when string) {
	path := Path{Region: allRegions, Service: service}.String()
	v.errs.add(path, "give one region targets, a weight above 0 and no drain", "service has no region that serves it %s", when)
}

// periodStarts returns the zero time and the expiries of all overrides: the
// starts of the periods in which the rules do not change.
func (t *Tree) periodStarts() []time.Time {
	times := []time.Time{{}}
	for _, o := range t.Overrides {
		if !o.Expires.IsZero() {
			times = append(times, o.Expires)
		}
	}
	return times
}

// isServedAt reports whether some region serves service at now: it has a weight
// above 0, is not drained and has a target that is not drained.
func (t *Tree) isServedAt(service string, now time.Time) bool {
	for _, name := range t.RegionNames() {
		targets := t.Regions[name].Services[service].Targets
		at := Path{Region: name, Service: service}
		if e, err := t.Effective(at, now); err != nil || e.Drain || e.Weight == 0 {
			continue
		}
		for _, target := range sortedKeys(targets) {
			at.Target = target
			if e, err := t.Effective(at, now); err == nil && !e.Drain {
				return true
			}
		}
	}
	return false
}
