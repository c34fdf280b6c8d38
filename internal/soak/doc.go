// Package soak holds the randomized fault soak of the platform path. It runs
// the real programs as separate processes before stand-ins of the platform,
// injects faults from outside them and checks the promises from what callers
// and targets see. Its code is in test files.
package soak
