// Package faults holds the fault runs: real processes on loopback are killed,
// frozen, cut off and restarted while verified load runs. The specs need the
// build tag "faults"; `make faults` runs them.
package faults
