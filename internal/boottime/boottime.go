// Package boottime reads a clock that also counts the time for which the VM was
// suspended. The monotonic clock in time.Time does not, so that a process that
// wakes up would take what it knew before for recent.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was started. Only differences within one process are
// meaningful. It is safe for concurrent use.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
