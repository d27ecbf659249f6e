// Command hickorylab simulates the traffic of a site with each placement policy
// and prints one line for each run.
package main

import (
	"fmt"
	"time"

	"github.com/alexflint/go-arg"

	"hickoryroute/pkg/emulator"
)

type arguments struct {
	Scale   []float64     `arg:"--scale" help:"multiples of the mean traffic to simulate [default: 1 1.8]"`
	Seeds   int           `arg:"--seeds" default:"3" help:"number of runs for each policy and traffic"`
	Length  time.Duration `arg:"--length" default:"40s" help:"virtual time of each run"`
	Objects int           `arg:"--objects" default:"40" help:"objects of each region's callers"`
	Memory  int           `arg:"--memory" default:"26" help:"objects that a target caches"`
	Work    time.Duration `arg:"--work" default:"540ms" help:"mean run time of a request whose object is not cached"`
	Goal    time.Duration `arg:"--goal" default:"400ms" help:"time within which a response counts in full"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "hickorylab simulates the traffic of a site with each placement policy."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if len(args.Scale) == 0 {
		args.Scale = []float64{1, 1.8}
	}
	for _, scale := range args.Scale {
		fmt.Printf("traffic %.2f times the mean\n", scale)
		for _, p := range append([]emulator.Policy{emulator.Gateway(), emulator.SharedPicker()}, emulator.Baselines()...) {
			for seed := range args.Seeds {
				fmt.Printf("  %-34s seed %d: %v\n", p.Name, seed, emulator.Run(args.scenario(scale, uint64(seed)), p))
			}
		}
	}
}

// scenario returns a site of three uneven regions: one third of the requests
// arrive in a region with a tenth of the targets.
func (a *arguments) scenario(scale float64, seed uint64) emulator.Scenario {
	return emulator.Scenario{
		Regions: []emulator.Region{
			{Name: "sask", VMs: 5, Targets: 10, Rate: 40 * scale, Phase: 0.3},
			{Name: "manitoba", VMs: 4, Targets: 2, Rate: 40 * scale, Phase: 0.63},
			{Name: "alberta", VMs: 3, Targets: 8, Rate: 40 * scale, Phase: 0.97},
		},
		Slots: 4, Queue: 12, Objects: a.Objects, CacheSize: a.Memory,
		ServiceTime: a.Work, WarmFactor: 0.3, LongShare: 0.03, LongFactor: 7,
		SlowShare: 0.15, SlowFactor: 2.5, SlowPeriod: 600 * time.Millisecond,
		TrafficAmplitude: 0.55, TrafficPeriod: 36 * time.Second,
		LatencyGoal: a.Goal, Timeout: 3 * time.Second, RegionRoundTrip: 40 * time.Millisecond,
		Duration: a.Length, Seed: seed,
	}
}
