//go:build !linux

package sockopt

import (
	"syscall"

	"alderdyke/pkg/clock"
)

// setUserTimeout does nothing, because the system has no such option.
func setUserTimeout(syscall.RawConn, clock.Millis) error { return nil }
