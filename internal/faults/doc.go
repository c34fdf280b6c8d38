// Package faults holds the fault-injection tests of entries and target processes,
// which are killed, suspended (SIGSTOP), disconnected and restarted under load. They
// run as separate processes on loopback, and every answer is verified. The specs need
// the build tag "faults"; `make faults` runs them.
package faults
