// Package demo runs the whole system in one process on loopback, for two example
// users: stand-ins for the platform and the targets, entry VMs and callers.
package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"hickoryroute/pkg/coordination/config"
	"hickoryroute/pkg/entry"
	standinplatform "hickoryroute/pkg/standin/platform"
	standintarget "hickoryroute/pkg/standin/target"
	"hickoryroute/pkg/state/settings"
	"hickoryroute/pkg/transport/platform"
)

// profile describes the installation of one user.
type profile struct {
	user       string
	regions    []string
	services   []service
	portOffset int
}

// service is a service of a profile. writePath is the path of its non-idempotent
// operation and empty if it has none.
type service struct {
	name      string
	targets   int // in each region
	slots     int
	readPath  string
	writePath string
}

var profiles = []profile{
	{
		user:       "Gopher Lantern Puzzleworks",
		regions:    []string{"sask", "manitoba", "alberta"},
		portOffset: 0,
		services: []service{
			{name: "cluebook", targets: 3, slots: 4, readPath: "/clues/7"},
			{name: "answer-desk", targets: 2, slots: 3, readPath: "/standings", writePath: "/answers"},
			{name: "hint-bank", targets: 2, slots: 3, readPath: "/credit", writePath: "/redemptions"},
		},
	},
	{
		user:       "Tran Gia Aero Parts Exchange",
		regions:    []string{"hcm", "hanoi"},
		portOffset: 20,
		services: []service{
			{name: "catalog-svc", targets: 3, slots: 6, readPath: "/parts?q=starter"},
			{name: "hold-svc", targets: 2, slots: 4, readPath: "/holds", writePath: "/holds"},
			{name: "exchange-svc", targets: 2, slots: 3, readPath: "/exchanges", writePath: "/exchanges"},
		},
	},
}

// site is a running installation.
type site struct {
	profile
	store   *standinplatform.Server
	targets []*standintarget.Server
	servers []*http.Server
	vms     []*entry.VM
}

const (
	targetServiceTime = 5 * time.Millisecond
	linkCapacity      = "4Gbit/s"
	linkCap           = "400Mbit/s"
)

// startSite starts the platform, the targets and two VMs in each region.
// basePort 0 lets the operating system choose the ports.
func startSite(ctx context.Context, p profile, basePort int, log logrus.FieldLogger) (*site, error) {
	s := &site{profile: p, store: standinplatform.New(standinplatform.Config{})}
	tree, err := s.startTargets()
	if err != nil {
		return nil, err
	}
	if err := s.writeTree(ctx, tree); err != nil {
		return nil, errors.Wrap(err, "write the first tree")
	}
	if err := s.startVMs(ctx, basePort, log); err != nil {
		return nil, err
	}
	return s, nil
}

// writeTree stores the first settings tree with its author.
func (s *site) writeTree(ctx context.Context, tree string) error {
	d := settings.NewDocument([]byte(tree), "demo", "first tree", "demo-first-tree", time.Now(), 0, []string{"/"})
	value, err := settings.EncodeDocument(d)
	if err != nil {
		return err
	}
	_, err = s.store.CompareAndSwap(ctx, config.HeadKey, value, 0, 0)
	return err
}

// startTargets starts the targets and returns the settings tree that lists them.
func (s *site) startTargets() (string, error) {
	var tree strings.Builder
	tree.WriteString("links:\n")
	for _, from := range s.regions {
		for _, to := range s.regions {
			if from != to {
				fmt.Fprintf(&tree, "  - {from: %s, to: %s, capacity: %s, cap: %s}\n", from, to, linkCapacity, linkCap)
			}
		}
	}
	fmt.Fprintf(&tree, "client_blocks:\n  - {prefix: 127.0.0.0/8, regions: [%s]}\nregions:\n", strings.Join(s.regions, ", "))
	for _, region := range s.regions {
		fmt.Fprintf(&tree, "  %s:\n    zones: [%s-a, %s-b]\n    services:\n", region, region, region)
		for _, svc := range s.services {
			fmt.Fprintf(&tree, "      %s:\n        targets:\n", svc.name)
			for i := range svc.targets {
				address, err := s.startTarget(fmt.Sprintf("%s-%02d", svc.name, i+1), svc.slots)
				if err != nil {
					return "", err
				}
				fmt.Fprintf(&tree, "          %s-%02d: {address: %q, zone: %s, slots: %d}\n",
					svc.name, i+1, address, zoneName(region, i), svc.slots)
			}
		}
	}
	return tree.String(), nil
}

func zoneName(region string, i int) string { return region + "-" + string('a'+rune(i%2)) }

func (s *site) startTarget(name string, slots int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a target")
	}
	target := standintarget.New(standintarget.Config{
		Name: name, Slots: slots, ServiceTime: targetServiceTime, Seed: uint64(len(s.targets)) + 1,
	})
	server := &http.Server{Handler: target.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	s.targets = append(s.targets, target)
	s.servers = append(s.servers, server)
	return listener.Addr().String(), nil
}

func (s *site) startVMs(ctx context.Context, basePort int, log logrus.FieldLogger) error {
	var peers []string
	for i, region := range s.regions {
		for j := range 2 {
			n := 2*i + j
			vm, err := entry.Start(ctx, entry.Config{
				Region: region, Zone: zoneName(region, j),
				CallerAddress:   loopbackAddress(basePort, 101+s.portOffset+n),
				PeerAddress:     loopbackAddress(basePort, 201+s.portOffset+n),
				OperatorAddress: loopbackAddress(basePort, 301+s.portOffset+n),
				Store:           s.store, VMList: s.store, Peers: peers, SeatCount: 24, Log: log,
			})
			if err != nil {
				return err
			}
			s.vms = append(s.vms, vm)
			peers = append(peers, vm.PeerAddress())
			s.store.PutVM(platform.VM{Address: vm.PeerAddress(), Zone: zoneName(region, j), State: platform.VMLive})
		}
	}
	return nil
}

// loopbackAddress returns the loopback address with port basePort+offset, or
// with any port if basePort is 0.
func loopbackAddress(basePort, offset int) string {
	if basePort == 0 {
		return "127.0.0.1:0"
	}
	return fmt.Sprintf("127.0.0.1:%d", basePort+offset)
}

// callerAddresses returns the caller addresses of all VMs.
func (s *site) callerAddresses() []string {
	var list []string
	for _, v := range s.vms {
		list = append(list, v.CallerAddress())
	}
	return list
}

// countDuplicateRuns returns the number of tickets that ran more than once.
func (s *site) countDuplicateRuns() int {
	runsByTicket := map[string]int{}
	for _, t := range s.targets {
		for ticket, runs := range t.Runs() {
			runsByTicket[ticket] += runs
		}
	}
	duplicated := 0
	for _, runs := range runsByTicket {
		if runs > 1 {
			duplicated++
		}
	}
	return duplicated
}

// close stops the VMs and targets at once.
func (s *site) close() {
	for _, v := range s.vms {
		v.Kill()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
