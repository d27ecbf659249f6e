package gateway

// maxDirectory is the number of VMs that one look-up names.
const maxDirectory = 64

// Directory returns the caller addresses of the VMs that a client in a zone
// should use for a host, without those that have fallen silent: those of its
// own region, else those of regions that may run the host's requests, else all.
// Of each region the VMs are named that carry the most together.
func (g *Gateway) Directory(host, region, _ string) []string {
	homes := map[string]bool{}
	if table := g.routes.Load(); table != nil {
		for _, r := range table.Homes(host) {
			homes[r] = true
		}
	}
	var near, home, all []string
	for _, vm := range g.peers.entryVMs() {
		all = append(all, vm.CallerAddress)
		if vm.Region == region {
			near = append(near, vm.CallerAddress)
		}
		if homes[vm.Region] {
			home = append(home, vm.CallerAddress)
		}
	}
	for _, list := range [][]string{near, home, all} {
		if len(list) > 0 {
			return list[:min(len(list), maxDirectory)]
		}
	}
	return nil
}
