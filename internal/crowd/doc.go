// Package crowd tests processes with untrusted callers, and with targets, engines and a store that
// send bytes without end: bodies, heads and
// connections that are legal one by one and exceed the memory or the descriptors of the
// VM together.
package crowd
