package soak

import "time"

// impairedStates holds the link states from which a fault selects its variant.
var impairedStates = []linkState{linkDelay, linkReset, linkStalled, linkOneWay, linkRefused}

// linkDelayTime is the time by which a slow link delays each piece of data.
const linkDelayTime = 80 * time.Millisecond

func (b *testbed) impairLink(p *proxy, scope string, f fault) {
	defer b.faults.begin(scope)()
	p.setState(impairedStates[f.variant%len(impairedStates)], linkDelayTime)
	time.Sleep(f.length)
	p.setState(linkPass, 0)
}

// firstSilentVariant is the first variant of a fault of a store link that silences
// its open connections. It is high, so that the plans of earlier seeds keep most of
// the other faults.
const firstSilentVariant = faultVariants - faultVariants/6

// silenceLink silences the open connections of a link. The bounds hold again
// settleTime after it.
func (b *testbed) silenceLink(p *proxy, scope string) {
	defer b.faults.begin(scope)()
	p.silenceConnections()
}
