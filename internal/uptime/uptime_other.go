//go:build !linux

package uptime

import "time"

// sinceBoot reports that there is no clock that counts suspensions.
func sinceBoot() (time.Duration, bool) { return 0, false }
