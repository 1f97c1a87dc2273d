//go:build !linux

package caller

import (
	"net"

	"alderdyke/pkg/clock"
)

// setUserTimeout does nothing where the system has no such option.
func setUserTimeout(net.Conn, clock.Millis) error { return nil }
