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

// slice is the resolution of a linkMeter. A window of one second that starts
// at a slice consists of whole slices.
const slice = 10 * time.Millisecond

// linkMeter counts the bytes that entry VMs of one region exchange with the
// targets of others, and can hold all of them up like a frozen process.
type linkMeter struct {
	start  time.Time
	remote sync.Map // addresses of targets in the other region
	frozen sync.RWMutex

	mu  sync.Mutex
	in  []int64 // bytes by slice, towards the VMs
	out []int64
}

func (m *linkMeter) add(list *[]int64, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := int(time.Since(m.start) / slice)
	for len(*list) <= i {
		*list = append(*list, 0)
	}
	(*list)[i] += int64(n)
}

// highest returns the most bytes in any window of one second.
func (m *linkMeter) highest(list *[]int64) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum, top int64
	slices := int(time.Second / slice)
	for i, n := range *list {
		sum += n
		if i >= slices {
			sum -= (*list)[i-slices]
		}
		top = max(top, sum)
	}
	return top
}

func (m *linkMeter) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if _, ok := m.remote.Load(address); !ok {
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
	c.meter.frozen.RLock()
	defer c.meter.frozen.RUnlock()
	c.meter.add(&c.meter.in, n)
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	c.meter.frozen.RLock()
	defer c.meter.frozen.RUnlock()
	n, err := c.Conn.Write(p)
	c.meter.add(&c.meter.out, n)
	return n, err
}

// Guards against an emergency shift of a whole region that exceeds the cap of
// the link in any second, while a VM joins, VMs are held up and the platform is
// down, and against a shift that makes no progress.
func TestShiftOfARegionStaysUnderTheLinkCap(t *testing.T) {
	const capBytes = 40e6 / 8
	meter := &linkMeter{start: time.Now()}
	f := newFleet(t, fleetConfig{
		vms: 4, targets: 8, regions: []string{"sask", "manitoba"}, linkCap: "40Mbit/s",
		adjust: func(c *Config) {
			if c.Region == "sask" {
				c.Dial = meter.dial
			}
		},
	})
	for i, s := range f.servers {
		if f.regions[i%2] != "sask" {
			meter.remote.Store(s.Listener.Addr().String(), true)
		}
	}
	f.waitServing(t)
	waitFor(t, func() error { return f.seatsHeld() })
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
				if get(callers[i%2], "/clue?bytes=150000") == protocol.OutcomeAnswered {
					served.Add(1)
				}
			}
		})
	}
	progress := func(step string) {
		t.Helper()
		before := served.Load()
		waitFor(t, func() error {
			if served.Load() < before+5 {
				return errNoProgress
			}
			return nil
		})
		t.Logf("%s: %d answers, highest second %d of %d bytes in, %d out", step, served.Load(),
			meter.highest(&meter.in), int64(capBytes), meter.highest(&meter.out))
	}
	progress("at home")
	for i, s := range f.targets {
		if f.regions[i%2] == "sask" {
			s.UpdateFaults(func(w *standintarget.Faults) { w.Shed = true })
		}
	}
	time.Sleep(time.Second)
	progress("shift")
	f.store.UpdateFaults(func(o *standinplatform.Faults) { o.Outage = true })
	time.Sleep(time.Second)
	progress("platform down")
	meter.frozen.Lock()
	time.Sleep(500 * time.Millisecond)
	meter.frozen.Unlock()
	time.Sleep(time.Second)
	progress("resumed")
	f.store.UpdateFaults(func(o *standinplatform.Faults) { o.Outage = false })
	f.startVM(t, "sask")
	time.Sleep(2 * time.Second)
	progress("joined")
	close(stop)
	wg.Wait()
	assert.Assert(t, meter.highest(&meter.in) <= capBytes, "%d bytes in a second from manitoba", meter.highest(&meter.in))
	assert.Assert(t, meter.highest(&meter.out) <= capBytes, "%d bytes in a second to manitoba", meter.highest(&meter.out))
	http.DefaultClient.CloseIdleConnections()
}

var errNoProgress = errors.New("no request is answered")

// seatsHeld returns an error until all seats have holders.
func (f *fleet) seatsHeld() error {
	held := 0
	for _, v := range f.vms {
		held += len(v.seats.Held())
	}
	if want := len(f.regions) * 24; held != want {
		return fmt.Errorf("%d of %d seats are held", held, want)
	}
	return nil
}
