// Package joint holds the property tests that run the decisions of entries
// (package steering) together with those of the target processes beside model
// engines (package engineagent). Network and engines are simulated, with delay,
// loss, restarts and pauses. The tests of each package check one side alone;
// these tests look for interleavings in which both sides break an invariant
// together.
package joint
