package testnet

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against VMs of two test processes at the same address: with ids that
// differed by 250 they had the same ones, and the requests of one test reached the
// VMs of the other.
func TestProcessesShareNoLoopbackAddress(t *testing.T) {
	const processes, addresses = 1000, 1000
	owner := map[string]int{}
	for pid := 70_000; pid < 70_000+processes; pid++ {
		for n := range addresses {
			ip := loopbackIP(pid, n)
			other, used := owner[ip]
			assert.Assert(t, !used, "%s belongs to processes %d and %d", ip, other, pid)
			owner[ip] = pid
		}
	}
	for _, pid := range []int{1, 32_768, 4_194_304} {
		ip := net.ParseIP(loopbackIP(pid, addresses-1))
		assert.Assert(t, ip != nil && ip.IsLoopback())
	}
	first := LoopbackIP()
	assert.Assert(t, LoopbackIP() != first)
}
