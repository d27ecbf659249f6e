package soak

import (
	"net/http"
	"time"
)

// checkVersion checks the version in force by a request for a route that only
// routeVersion has.
func (c *checker) checkVersion(sent *attempt, routeVersion int) {
	processNumber, running, _ := sent.vm.state()
	if !running || processNumber != sent.processNumber {
		return
	}
	switch sent.outcome.Status {
	case http.StatusOK:
		c.checkServedVersion(sent, routeVersion)
	case http.StatusNotFound:
		c.checkMissingVersion(sent, routeVersion)
	}
}

// revokeBound is the time after its removal from which on a key runs nothing at any VM,
// with or without faults.
const revokeBound = 5 * time.Second

// checkKey checks a request with the key that only one version has.
func (c *checker) checkKey(sent *attempt, version int) {
	removedAt, removed := c.publishedAt(version + 1)
	if sent.outcome.Status == http.StatusOK && removed && sent.began.Sub(removedAt) > revokeBound {
		c.testbed.addFinding("key of version %d used %v after its removal: %s", version, sent.began.Sub(removedAt), sent)
	}
}

// publishedAt returns when the store accepted a version, and false if it has not yet.
func (c *checker) publishedAt(version int) (time.Time, bool) {
	c.testbed.mu.Lock()
	defer c.testbed.mu.Unlock()
	for _, p := range c.testbed.publications {
		if p.version == version {
			return p.at, true
		}
	}
	return time.Time{}, false
}

// checkServedVersion checks a version that was in force: no newer one was before
// and no newer one had to be.
func (c *checker) checkServedVersion(sent *attempt, version int) {
	slack := rollbackSlack
	if !c.testbed.faults.faultFree(sent.began.Add(-settleTime), sent.ended, numberedScope(scopePrefixVM, sent.vm.index), scopeStalled) {
		slack = stalledSlack
	}
	c.mu.Lock()
	if c.newestSeen == nil {
		c.newestSeen = map[vmProcess]versionSeen{}
	}
	process := vmProcess{sent.vm.index, sent.processNumber}
	newest := c.newestSeen[process]
	if version > newest.version {
		c.newestSeen[process] = versionSeen{version, sent.ended}
	}
	c.mu.Unlock()
	if version < newest.version && sent.began.Sub(newest.at) > slack {
		c.testbed.addFinding("version %d in force %v after version %d: %s", version, sent.began.Sub(newest.at), newest.version, sent)
	}
	if required, at := c.requiredVersion(sent.began); version < required && c.testbed.vmUndisturbed(sent.vm, at, sent.ended) {
		c.testbed.addFinding("version %d in force, though version %d was accepted %v before: %s", version, required, sent.began.Sub(at), sent)
	}
}

// checkMissingVersion checks that a version whose route was not found is either
// replaced by a newer one or not required to be in force yet.
func (c *checker) checkMissingVersion(sent *attempt, version int) {
	c.testbed.mu.Lock()
	newest := c.testbed.newestVersion
	c.testbed.mu.Unlock()
	required, at := c.requiredVersion(sent.began)
	if version == newest && version == required && c.testbed.vmUndisturbed(sent.vm, at, sent.ended) {
		c.testbed.addFinding("version %d not in force %v after it was accepted: %s", version, sent.began.Sub(at), sent)
	}
}

// requiredVersion returns the newest version that must be in force at a time,
// and the time when it was accepted.
func (c *checker) requiredVersion(now time.Time) (version int, at time.Time) {
	c.testbed.mu.Lock()
	defer c.testbed.mu.Unlock()
	for _, p := range c.testbed.publications {
		if now.Sub(p.at) > applyBound && p.version > version {
			version, at = p.version, p.at
		}
	}
	return version, at
}
