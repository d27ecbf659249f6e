// Package account holds the client accounts that operators publish: who may send
// requests with which keys, how many, how urgent they are and where they may run.
package account

import "slices"

// Account is one client account. It is immutable.
type Account struct {
	Name string
	// Priority ranks the requests of the account in place of the priority of their
	// routes if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst limit the requests of the account at all VMs
	// together. A rate of 0 means that there is no limit.
	RatePerSecond float64
	Burst         float64
	// HomeRegions lists the regions that may run the requests; empty means all.
	HomeRegions []string
}

// MayRunIn reports whether a region may run requests of the account. A nil account
// stands for requests without one, which may run anywhere.
func (a *Account) MayRunIn(region string) bool {
	return a == nil || len(a.HomeRegions) == 0 || slices.Contains(a.HomeRegions, region)
}

// PriorityOr returns the priority of the account, or that of the route if the account
// is nil or has none.
func (a *Account) PriorityOr(route int) int {
	if a == nil || !a.HasPriority {
		return route
	}
	return a.Priority
}

// Limited reports whether the requests of the account are limited.
func (a *Account) Limited() bool { return a != nil && a.RatePerSecond > 0 }

// AnyLimited reports whether the requests of any account are limited. A nil directory
// has no accounts.
func (d *Directory) AnyLimited() bool {
	if d == nil {
		return false
	}
	for _, a := range d.byName {
		if a.Limited() {
			return true
		}
	}
	return false
}
