// Package chronometer reads a clock that does not stop while the VM is suspended.
package chronometer

import (
	"time"

	"golang.org/x/sys/unix"
)

// New returns a clock that does not stop while the VM is suspended, unless the kernel has none.
func New() func() time.Duration {
	if _, err := Now(); err != nil {
		started := time.Now()
		return func() time.Duration { return time.Since(started) }
	}
	return func() time.Duration {
		now, _ := Now() // it was read before, so the kernel has this clock
		return now
	}
}

// Now returns the time since the VM was started, including the time in which it was suspended.
func Now() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}
