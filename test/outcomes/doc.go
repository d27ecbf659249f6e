// Package outcomes checks the outcomes that hickoryd states: hickoryd processes
// between random callers with tickets and random targets on loopback, drawn from
// a seed. A ledger of what all targets ran judges the outcomes from outside.
// TestResendsAfterNotRun has callers that send requests again after the outcome
// not_run, and targets that send copies of their refusals meanwhile. The seeds in
// testdata run in CI; others are given by flags:
//
//	go test ./test/outcomes -outcomes.first 1000 -outcomes.time 10m
package outcomes
