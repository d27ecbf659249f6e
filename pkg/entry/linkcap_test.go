package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickoryroute/pkg/protocol"
	standinplatform "hickoryroute/pkg/standin/platform"
	standintarget "hickoryroute/pkg/standin/target"
)

// meterInterval is the resolution of a linkMeter. A second consists of whole
// intervals.
const meterInterval = 10 * time.Millisecond

// linkMeter counts the bytes that entry VMs of one region exchange with the
// targets of the other, and can pause these transfers like a frozen process.
type linkMeter struct {
	start         time.Time
	remoteTargets sync.Map // by address of a target in the other region
	paused        sync.RWMutex

	mu  sync.Mutex
	in  []int64 // bytes by interval, to the VMs
	out []int64
}

func (m *linkMeter) record(counts *[]int64, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := int(time.Since(m.start) / meterInterval)
	for len(*counts) <= i {
		*counts = append(*counts, 0)
	}
	(*counts)[i] += int64(n)
}

// maxPerSecond returns the highest number of bytes in any window of one second.
func (m *linkMeter) maxPerSecond(counts *[]int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum, highest int64
	intervals := int(time.Second / meterInterval)
	for i, n := range *counts {
		sum += n
		if i >= intervals {
			sum -= (*counts)[i-intervals]
		}
		highest = max(highest, sum)
	}
	return highest
}

func (m *linkMeter) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if _, ok := m.remoteTargets.Load(address); !ok {
		return conn, nil
	}
	return &meteredConn{conn, m}, nil
}

type meteredConn struct {
	net.Conn
	meter *linkMeter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.paused.RLock()
	defer c.meter.paused.RUnlock()
	c.meter.record(&c.meter.in, n)
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	c.meter.paused.RLock()
	defer c.meter.paused.RUnlock()
	n, err := c.Conn.Write(p)
	c.meter.record(&c.meter.out, n)
	return n, err
}

// Guards against the spill of a whole region's requests that exceeds the cap of
// the link in any second, while the platform is down, VMs are paused or a VM
// joins, and against a spill that makes no progress.
func TestRegionSpillStaysUnderTheLinkCap(t *testing.T) {
	const capBytes = 40e6 / 8
	meter := &linkMeter{start: time.Now()}
	f := newFleet(t, fleetConfig{
		vms: 4, targets: 8, regions: []string{"sask", "manitoba"}, linkCap: "40Mbit/s",
		adjustConfig: func(c *Config) {
			if c.Region == "sask" {
				c.Dial = meter.dial
			}
		},
	})
	for i, s := range f.servers {
		if f.regions[i%2] != "sask" {
			meter.remoteTargets.Store(s.Listener.Addr().String(), true)
		}
	}
	f.waitUntilServing(t)
	waitFor(t, func() error { return f.checkSeatsHeld() })
	var served atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	callers := []*VM{f.vms[0], f.vms[2]}
	for i := range 24 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if getOutcome(callers[i%2], "/clue?bytes=150000") == protocol.OutcomeAnswered {
					served.Add(1)
				}
			}
		})
	}
	waitForProgress := func(step string) {
		t.Helper()
		before := served.Load()
		waitFor(t, func() error {
			if served.Load() < before+5 {
				return errNoProgress
			}
			return nil
		})
		t.Logf("%s: %d responses, most bytes in a second: %d in of %d, %d out", step, served.Load(),
			meter.maxPerSecond(&meter.in), int64(capBytes), meter.maxPerSecond(&meter.out))
	}
	waitForProgress("without spill")
	for i, s := range f.targets {
		if f.regions[i%2] == "sask" {
			s.UpdateFaults(func(w *standintarget.Faults) { w.Shed = true })
		}
	}
	time.Sleep(time.Second)
	waitForProgress("spill")
	f.store.UpdateFaults(func(o *standinplatform.Faults) { o.Outage = true })
	time.Sleep(time.Second)
	waitForProgress("platform down")
	meter.paused.Lock()
	time.Sleep(500 * time.Millisecond)
	meter.paused.Unlock()
	time.Sleep(time.Second)
	waitForProgress("resumed")
	f.store.UpdateFaults(func(o *standinplatform.Faults) { o.Outage = false })
	f.startVM(t, "sask")
	time.Sleep(2 * time.Second)
	waitForProgress("joined")
	close(stop)
	wg.Wait()
	assert.Assert(t, meter.maxPerSecond(&meter.in) <= capBytes, "%d bytes in a second from manitoba", meter.maxPerSecond(&meter.in))
	assert.Assert(t, meter.maxPerSecond(&meter.out) <= capBytes, "%d bytes in a second to manitoba", meter.maxPerSecond(&meter.out))
	http.DefaultClient.CloseIdleConnections()
}

var errNoProgress = errors.New("too few requests were served")

// checkSeatsHeld returns an error unless all seats have holders.
func (f *fleet) checkSeatsHeld() error {
	held := 0
	for _, v := range f.vms {
		held += len(v.seats.Held())
	}
	if want := len(f.regions) * 24; held != want {
		return fmt.Errorf("%d of %d seats are held", held, want)
	}
	return nil
}
