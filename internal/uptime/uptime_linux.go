package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine was booted, with the time in which it was suspended.
func sinceBoot() (time.Duration, bool) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0, false
	}
	return time.Duration(at.Nano()), true
}
