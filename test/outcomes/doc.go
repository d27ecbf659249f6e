// Package outcomes checks the outcomes that hickoryd states: hickoryd processes
// between random callers with tickets and random targets on loopback, drawn from
// a seed. A ledger of what all targets ran judges the outcomes from outside. The
// seeds of testdata/seeds.txt run in CI; others are given by flags:
//
//	go test ./test/outcomes -outcomes.first 1000 -outcomes.time 10m
package outcomes
