// Package faults holds the fault runs. Separate processes on loopback are killed,
// frozen, disconnected and restarted under load, and every answer is verified. The
// specs need the build tag "faults"; `make faults` runs them.
package faults
