package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"hickoryroute/pkg/transport/operatorhttp"
)

// maxConcurrentQueries limits the VMs that are queried at the same time.
const maxConcurrentQueries = 16

// otherOperatorAddresses returns the operator addresses in extra and those of
// the members in status that are neither dead nor left, without the VM that
// sent status.
func otherOperatorAddresses(status operatorhttp.StatusReply, extra []string) []string {
	addresses := slices.Clone(extra)
	for _, m := range status.Members {
		if m.State == "dead" || m.State == "left" || m.Address == status.VM || m.OperatorAddress == "" {
			continue
		}
		if !slices.Contains(addresses, m.OperatorAddress) {
			addresses = append(addresses, m.OperatorAddress)
		}
	}
	return addresses
}

// queryVMs queries the VMs at the addresses and returns their replies in any
// order. It prints the error of a VM that does not reply on standard error.
func queryVMs[T any](e *environment, addresses []string, query func(*operatorhttp.Client) (T, error)) []T {
	var (
		mu      sync.Mutex
		wg      sync.WaitGroup
		replies []T
	)
	semaphore := make(chan struct{}, maxConcurrentQueries)
	for _, address := range addresses {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			reply, err := query(e.clientFor(address))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fmt.Fprintf(e.errOut, "what %s knows is missing: %v\n", address, err)
				return
			}
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}

// clientFor returns a client for another VM that uses the scheme of --address.
func (e *environment) clientFor(address string) *operatorhttp.Client {
	if scheme, _, ok := strings.Cut(e.Address, "://"); ok && !strings.Contains(address, "://") {
		address = scheme + "://" + address
	}
	return operatorhttp.NewClient(address, e.Token, e.http)
}
