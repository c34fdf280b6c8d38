// Package experiment compares scheduling and routing policies in virtual time.
// It runs the production decision code of entries (package dispatch) and of
// target processes (package scheduler) against simple models of the engine and
// of the weight store. An event heap carries the messages between them with a
// fixed delay.
//
// It is not a full cluster simulator: it models only what the measures in the
// section "Measurement targets" of docs/design.md need. The same seed gives
// the same result.
package experiment
