// Package experiment measures policies in virtual time. It runs the decision
// code of entries (dispatch) and target processes (scheduler) unchanged
// against a small model of an engine and of the weight store, connected by an
// event heap with message delay.
//
// It is no simulator of a cluster: it models only what the measures in the
// section "Measurement targets" of docs/design.md need. The same seed gives
// the same result.
package experiment
