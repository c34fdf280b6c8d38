// Package soak holds a randomized fault test of the programs in platform mode. It
// runs agate-entry and agate-target as separate processes against stand-ins for
// the platform, injects faults from outside the processes, and compares what
// callers received with what targets executed. All code is in test files.
package soak
