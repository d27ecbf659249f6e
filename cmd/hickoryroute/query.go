package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"hickoryroute/pkg/transport/operatorhttp"
)

// gatherWorkers bounds the VMs that are asked at the same time.
const gatherWorkers = 16

// otherAddresses returns the operator addresses of the members that may
// answer, besides the VM that sent status, and those in extra.
func otherAddresses(status operatorhttp.StatusReply, extra []string) []string {
	list := slices.Clone(extra)
	for _, m := range status.Members {
		if m.State == "dead" || m.State == "left" || m.Address == status.VM || m.Operator == "" {
			continue
		}
		if !slices.Contains(list, m.Operator) {
			list = append(list, m.Operator)
		}
	}
	return list
}

// gather asks the VMs at the addresses. A VM that does not answer is named on
// standard error.
func gather[T any](e *environment, addresses []string, ask func(*operatorhttp.Client) (T, error)) []T {
	var (
		mu   sync.Mutex
		wg   sync.WaitGroup
		list []T
	)
	free := make(chan struct{}, gatherWorkers)
	for _, address := range addresses {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			answer, err := ask(e.clientFor(address))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fmt.Fprintf(e.errOut, "what %s knows is missing: %v\n", address, err)
				return
			}
			list = append(list, answer)
		})
	}
	wg.Wait()
	return list
}

// clientFor returns a client for another VM, by the scheme of --address.
func (e *environment) clientFor(address string) *operatorhttp.Client {
	if scheme, _, ok := strings.Cut(e.Address, "://"); ok && !strings.Contains(address, "://") {
		address = scheme + "://" + address
	}
	return operatorhttp.NewClient(address, e.Token, e.http)
}
