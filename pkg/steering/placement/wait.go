package placement

const (
	// waitPrior is the sum of expected waits, in seconds, that the first guess
	// weighs.
	waitPrior = 2.0
	// waitGuess is the first guess of the waits, relative to the expected ones.
	waitGuess = 0.7
	// waitMemory is the part of the sums that stays with each answer.
	waitMemory = 0.99
	// minWaitScale and maxWaitScale bound the scale.
	minWaitScale = 0.3
	maxWaitScale = 1.2
	// maxWaitSample bounds one wait relative to the expected one, so that a few
	// long requests do not move the scale.
	maxWaitSample = 2.0
)

// waitScale learns how long requests wait for a slot, relative to what the
// requests in flight let expect. The number in flight is known late and errs
// upwards where it is high, and slots come free sooner than the mean work says,
// since most requests are shorter than the mean.
type waitScale struct{ expected, observed float64 }

func newWaitScale() waitScale { return waitScale{expected: waitPrior, observed: waitPrior * waitGuess} }

// factor returns the scale.
func (w *waitScale) factor() float64 {
	return max(minWaitScale, min(maxWaitScale, w.observed/w.expected))
}

// learn takes the wait that was expected of a request, without the scale, and
// the one that its answer showed, in seconds. The latter is negative if the
// work was shorter than the mean.
func (w *waitScale) learn(expected, observed float64) {
	w.expected = w.expected*waitMemory + expected
	w.observed = w.observed*waitMemory + min(observed, maxWaitSample*expected)
}
