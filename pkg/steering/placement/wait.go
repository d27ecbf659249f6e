package placement

const (
	// waitPriorWeight is the weight of the initial scale, as a sum of expected
	// waits in seconds.
	waitPriorWeight = 2.0
	// initialWaitScale is the assumed ratio of observed to expected waits.
	initialWaitScale = 0.7
	// waitDecay is the factor by which the sums shrink with each response.
	waitDecay = 0.99
	// minWaitScale and maxWaitScale bound the scale.
	minWaitScale = 0.3
	maxWaitScale = 1.2
	// maxWaitSample bounds one observed wait relative to the expected one, so
	// that a few long requests hardly change the scale.
	maxWaitSample = 2.0
)

// waitScale estimates the ratio between the waits for a slot that were observed
// and those expected from the requests in flight. Expected waits are usually
// too long: the number of requests in flight is reported late and tends to be
// too high when it is high, and slots come free sooner than the mean work suggests,
// because most requests are shorter than the mean.
type waitScale struct{ expected, observed float64 }

func newWaitScale() waitScale {
	return waitScale{expected: waitPriorWeight, observed: waitPriorWeight * initialWaitScale}
}

// factor returns the ratio within its bounds.
func (w *waitScale) factor() float64 {
	return max(minWaitScale, min(maxWaitScale, w.observed/w.expected))
}

// observe records the expected wait of a request before scaling and the one
// that its response showed, in seconds. The observed wait is negative if the
// work was shorter than expected.
func (w *waitScale) observe(expected, observed float64) {
	w.expected = w.expected*waitDecay + expected
	w.observed = w.observed*waitDecay + min(observed, maxWaitSample*expected)
}
