package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted. Unlike the monotonic clock of package
// time, it includes the time for which the machine was suspended.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	// The call cannot fail: Linux has had this clock since version 2.6.39.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
