package daemon

import "runtime/debug"

// memoryLimitShare is the share of the memory of a process that the Go runtime may
// use before it collects more often. The rest is for the buffers of sockets.
const memoryLimitShare = 0.6

// LimitMemory keeps the heap below the memory at which a process is killed as long as
// live data allows. The runtime otherwise lets the heap grow to twice the live data.
// It does nothing for 0.
func LimitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(bytes)))
	}
}
