// Package crowd tests processes as separate programs with small limits: an entry with
// untrusted callers, whose bodies, heads and connections are legal one by one and exceed the
// memory or the descriptors of the VM together, and an entry or a target process beside a
// target, an engine or a store that sends bytes without end.
package crowd
