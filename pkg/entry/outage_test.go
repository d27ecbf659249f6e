package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/coordination/config"
	"hickoryroute/pkg/coordination/seat"
	"hickoryroute/pkg/protocol"
	standinplatform "hickoryroute/pkg/standin/platform"
	"hickoryroute/pkg/transport/platform"
)

// outageNode is a simulated VM with a real seat manager and settings manager.
type outageNode struct {
	address string
	seats   *seat.Manager
	config  *config.Manager
	fleet   *outageFleet
	rng     *rand.Rand
}

// outageFleet connects simulated VMs without a network.
type outageFleet struct {
	store *standinplatform.Server
	mu    sync.Mutex // guards nodes and their rng
	nodes []*outageNode
	stops []context.CancelFunc
}

func (f *outageFleet) start(t *testing.T) *outageNode {
	number := uint64(len(f.nodes))
	n := &outageNode{address: fmt.Sprintf("10.0.0.%d:1", number), fleet: f, rng: rand.New(rand.NewPCG(number, 1))}
	n.seats = seat.New(seat.Config{
		Store: f.store, ListVMs: f.store.VMs, Self: n.address, Incarnation: number + 1, Region: "sask", Zone: "sask-a",
		Rand: rand.New(rand.NewPCG(number, 2)), IsIdle: func(int) bool { return true },
	})
	n.config = config.New(config.Config{
		Store: f.store, Peers: n, Rand: rand.New(rand.NewPCG(number, 3)), IsWatcher: func() bool { return number < 2 },
	})
	f.store.PutVM(platform.VM{Address: n.address, Zone: "sask-a", State: platform.VMLive})
	ctx, cancel := context.WithCancel(t.Context())
	f.stops = append(f.stops, cancel)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	go n.seats.Run(ctx)
	go func() {
		for n.config.Bootstrap(ctx) != nil && ctx.Err() == nil {
			time.Sleep(time.Second)
		}
		n.config.Run(ctx)
	}()
	return n
}

func (f *outageFleet) node(address string) *outageNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.nodes, func(n *outageNode) bool { return n.address == address })
	return f.nodes[i]
}

// FetchSettings implements config.Peers.
func (n *outageNode) FetchSettings(_ context.Context, address string, have, rejected int64) (protocol.SettingsReply, error) {
	time.Sleep(time.Millisecond)
	return n.fleet.node(address).config.AnswerPeer(have, rejected), nil
}

// Random implements config.Peers.
func (n *outageNode) Random(count int) []string {
	all := n.All()
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// All implements config.Peers.
func (n *outageNode) All() []string {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var all []string
	for _, other := range n.fleet.nodes {
		if other != n {
			all = append(all, other.address)
		}
	}
	return all
}

// Announce implements config.Peers.
func (n *outageNode) Announce(revision int64) {
	for _, address := range n.Random(3) {
		go n.fleet.node(address).config.NotePeerRevision(n.address, revision)
	}
}

// callRate holds the highest numbers of platform calls in a second, and the
// number of sample intervals with writes.
type callRate struct{ reads, writes, busyIntervals int64 }

// sampleInterval is the resolution of callRate.
const sampleInterval = 100 * time.Millisecond

// measureCallRate counts the platform calls for a minute.
func measureCallRate(store *standinplatform.Server) callRate {
	count := func() (reads, writes int64) {
		for op, n := range store.Calls() {
			if slices.Contains([]string{"get", "list", "watch", "vms"}, op) {
				reads += n
			} else {
				writes += n
			}
		}
		return reads, writes
	}
	var rate callRate
	var reads, writes []int64
	for range int(time.Minute / sampleInterval) {
		r, w := count()
		reads, writes = append(reads, r), append(writes, w)
		if n := len(reads); n > 10 {
			rate.reads = max(rate.reads, r-reads[n-11])
			rate.writes = max(rate.writes, w-writes[n-11])
		}
		if n := len(writes); n > 1 && w > writes[n-2] {
			rate.busyIntervals++
		}
		time.Sleep(sampleInterval)
	}
	return rate
}

// Guards against processes that lose seats or settings or cannot start during an
// outage of the platform of one hour, and against simultaneous calls of all
// processes once the platform is back.
func TestOneHourWithoutThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const processes = 12
		f := &outageFleet{store: standinplatform.New(standinplatform.Config{})}
		_, err := f.store.CompareAndSwap(t.Context(), config.HeadKey, []byte("regions: {sask: {zones: [sask-a]}}\n"), 0, 0)
		assert.NilError(t, err)
		for range processes {
			f.start(t)
		}
		time.Sleep(5 * time.Minute)
		revision := f.nodes[0].config.Current().Revision
		held := func() (list []string) {
			for _, n := range f.nodes {
				list = append(list, fmt.Sprint(n.address, n.seats.Held()))
			}
			return list
		}
		heldBefore := held()
		for _, n := range f.nodes {
			assert.Equal(t, len(n.seats.Held()), seat.DefaultSeatCount/processes)
		}
		f.store.UpdateFaults(func(o *standinplatform.Faults) { o.Outage = true })
		for range 60 {
			time.Sleep(time.Minute)
			assert.DeepEqual(t, held(), heldBefore)
			for _, n := range f.nodes {
				assert.Equal(t, n.config.Current().Revision, revision)
			}
		}
		lateNode := f.start(t)
		time.Sleep(10 * time.Second)
		assert.Equal(t, lateNode.config.Current().Revision, revision)
		assert.Equal(t, len(lateNode.seats.Held()), 0)

		f.store.UpdateFaults(func(o *standinplatform.Faults) { o.Outage = false })
		rate := measureCallRate(f.store)
		t.Logf("most calls in a second after the outage: %d reads, %d writes; writes in %d intervals of %s",
			rate.reads, rate.writes, rate.busyIntervals, sampleInterval)
		assert.Assert(t, rate.reads <= standinplatform.DefaultReadsPerSecond)
		assert.Assert(t, rate.writes <= standinplatform.DefaultWritesPerSecond)
		// The renewals of different processes coincide only by chance; without
		// jitter all fall into the same intervals.
		assert.Assert(t, rate.busyIntervals >= 3*processes, "writes fall into only %d intervals", rate.busyIntervals)
		// The new process has seats by now, and no other process lost all of its.
		for _, n := range f.nodes {
			assert.Assert(t, len(n.seats.Held()) >= 1)
			assert.Equal(t, n.config.Current().Revision, revision)
		}
		for _, end := range f.stops {
			end()
		}
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}
