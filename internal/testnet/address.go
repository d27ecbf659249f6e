package testnet

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// blockSize is the number of addresses in a block of loopback addresses that
	// differ in their last byte alone.
	blockSize = 250
	// blocksPerProcess is the number of blocks that a process has.
	blocksPerProcess = 4
	// blockCount is the number of blocks: the two middle bytes of 127.x.y.z, where x
	// is above 0.
	blockCount = 250 * 250
)

var lastIPNumber atomic.Int64

// LoopbackIP returns a loopback address that neither this process nor another test
// process that runs now uses for anything else. Processes share no address, because a
// port cannot be reserved on a shared one: an outgoing connection, or a program that
// inherits the socket until its exec, may hold the port. A process has 1,000 addresses.
func LoopbackIP() string {
	return loopbackIP(os.Getpid(), int(lastIPNumber.Add(1)-1))
}

// loopbackIP returns address number n of a process. Two processes have the same
// addresses only if their ids differ by a multiple of 15,625.
func loopbackIP(pid, n int) string {
	block := (pid*blocksPerProcess + n/blockSize%blocksPerProcess) % blockCount
	return fmt.Sprintf("127.%d.%d.%d", 1+block/250, 1+block%250, 1+n%blockSize)
}
