package linkcap

import "github.com/VictoriaMetrics/metrics"

// instruments are the metrics of a Limiter.
type instruments struct {
	spent     *metrics.Counter
	lent      *metrics.Counter
	borrowed  *metrics.Counter
	lateLoans *metrics.Counter
	refused   *metrics.Counter
}

func newInstruments(prefix string) *instruments {
	counter := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(prefix + "_" + name)
	}
	return &instruments{
		spent:     counter("spent_bytes"),
		lent:      counter("lent_bytes"),
		borrowed:  counter("borrowed_bytes"),
		lateLoans: counter("late_loan_bytes"),
		refused:   counter("refusals_total"),
	}
}
