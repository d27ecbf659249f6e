package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"hickoryroute/pkg/protocol"
	"hickoryroute/pkg/state/route"
)

// Status returns the state of this VM: the routes in force, the services and
// the other VMs.
func (g *Gateway) Status() protocol.FrontStatus {
	s := protocol.FrontStatus{
		VM: g.cfg.Self.ID, Zone: g.cfg.Self.Zone, Region: g.cfg.Self.Region, Ready: g.Ready(), Stopping: g.Stopping(),
		Evacuated: g.targetSet.EvacuatedZones(), VMs: g.vmStatus(),
		RoutesAgeSeconds: ageSeconds(g.operatorFeed.Age()), TargetsAgeSeconds: ageSeconds(g.targetFeed.Age()),
		VMsAgeSeconds: ageSeconds(g.vmFeed.Age()),
	}
	table := g.routes.Load()
	if table == nil {
		return s
	}
	s.Version, s.Revision = table.Config.Version, table.Config.Revision
	for _, r := range table.Config.Routes {
		s.Routes = append(s.Routes, routeStatus(r))
	}
	s.Services = g.serviceStatus(table.Config.Services)
	return s
}

// ageSeconds returns an age in seconds, or -1 if it is not known.
func ageSeconds(age time.Duration, known bool) float64 {
	if !known {
		return -1
	}
	return age.Seconds()
}

// ageMilliseconds returns an age in milliseconds, or -1 if it is not known.
func ageMilliseconds(age time.Duration, known bool) int64 {
	if !known {
		return -1
	}
	return age.Milliseconds()
}

func routeStatus(r route.Route) protocol.FrontRoute {
	status := protocol.FrontRoute{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, TimeoutMs: r.Timeout.Milliseconds(), Homes: r.HomeRegions,
	}
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	for _, share := range r.Shares {
		status.Services = append(status.Services, fmt.Sprintf("%s %.0f%%", share.Service, 100*share.Weight/total))
	}
	return status
}

func (g *Gateway) serviceStatus(services map[string]route.Service) []protocol.FrontService {
	spills := g.picker.Spills()
	var list []protocol.FrontService
	for name := range services {
		list = append(list, protocol.FrontService{
			Name: name, Listed: g.targetSet.View().CountListed(name), Usable: g.UsableTargetCount(name),
			Use: spills[name].Utilization, Spill: spills[name].Share,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func (g *Gateway) vmStatus() []protocol.FrontVM {
	roles := g.peers.currentRoles()
	var list []protocol.FrontVM
	for _, vm := range roles.list {
		list = append(list, protocol.FrontVM{
			Address: vm.CallerAddress, Zone: vm.Zone, Region: vm.Region, Named: roles.isNamed[vm.ID], Silent: roles.unresponsive[vm.ID],
		})
	}
	return list
}

// ServeStatus is an HTTP handler that writes Status as JSON.
func (g *Gateway) ServeStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(g.Status())
}
