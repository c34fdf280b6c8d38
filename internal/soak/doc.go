// Package soak holds a randomized fault test of agate-entry and agate-target with
// the subcommand platform. It runs them as separate processes against stand-ins
// for the users' platform, injects faults from outside the processes, and compares
// what callers received with what targets executed. All code is in test files.
package soak
