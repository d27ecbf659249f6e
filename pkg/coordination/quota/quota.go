// Package quota holds the limits of client accounts over all VMs. The limit of each
// account is divided into shards. One VM at a time grants the requests of a shard to the
// VMs that receive them, and what it has granted expires soon. The package makes the
// decisions; it sends nothing and reads no clock.
package quota

import (
	"fmt"
	"time"
)

const (
	// Shards is the number of parts into which the limit of an account is divided.
	// With six, a lost granter takes a sixth of each limit, and sites of one, two,
	// three or six regions have as many granters in each region.
	Shards = 6
	// minLifetime and maxLifetime limit the time for which granted requests may be spent.
	// The lower one exceeds two round trips between regions.
	minLifetime = 100 * time.Millisecond
	maxLifetime = 500 * time.Millisecond
	// lifetimeShare is the share of the tolerated excess over a window that granted
	// requests may take by being spent in the window after that of their grant. The
	// rest is for the time that requests need to reach their targets.
	lifetimeShare = 0.8
	// MaxClaimAge is the largest age of the copy of the claims with which a VM grants.
	// Copies reach 1.6 s on large sites without any fault.
	MaxClaimAge = 3 * time.Second
	// claimMargin is by how much a copy of the claims may be older than it seems: a store
	// that is about to drop its history leaves watches without changes for a second, and
	// a reply may wait in a buffer for maxPause.
	claimMargin = 1500 * time.Millisecond
	// memoryMargin covers the time that requests need to reach their targets.
	memoryMargin = 300 * time.Millisecond
	// slackParts is the number of parts into which the tolerated number of requests
	// beyond a limit is divided. Each shard may hold one part beyond its burst, and two
	// further parts when its granter changes within a window.
	slackParts = 3 * Shards
)

// Params are the tolerances of a deployment.
type Params struct {
	// Window is the time over which users count the requests of an account.
	Window time.Duration
	// Overage is the share of a limit, and Slack the number of requests, by which an
	// account may exceed it in a window.
	Overage, Slack float64
}

// Lifetime is the time for which a VM may spend what was granted to it, from when it
// has asked.
func (p Params) Lifetime() time.Duration {
	return max(minLifetime, min(maxLifetime, time.Duration(lifetimeShare*p.Overage*float64(p.Window))))
}

// extra is the number of requests that the bucket of a shard holds beyond its part of
// the burst, so that an account with a small limit finds a whole request in it.
func (p Params) extra() float64 { return p.Slack / slackParts }

// takeoverWait is the time between the claim of a shard that another VM has held and
// the first grant.
func (p Params) takeoverWait() time.Duration { return MaxClaimAge + p.Lifetime() + claimMargin }

// memory is the time for which a granter remembers what it has granted: what is spent
// within a window was granted in it or a lifetime before it.
func (p Params) memory() time.Duration { return p.Window + p.Lifetime() + memoryMargin }

// Limit is the limit of an account at all VMs together.
type Limit struct{ RatePerSecond, Burst float64 }

// Want is a number of requests that a VM asks for.
type Want struct {
	Account string
	Count   int
}

// Grant is the answer to a Want.
type Grant struct {
	Count int
	// Next is the time until the shard has another request if Count is less than what
	// was asked for.
	Next time.Duration
}

// Role returns the name under which the granter of a shard is recorded.
func Role(shard int) string { return fmt.Sprintf("quota-%d", shard) }
