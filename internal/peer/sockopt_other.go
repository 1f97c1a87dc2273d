//go:build !linux

package peer

import (
	"syscall"

	"alderdyke/pkg/clock"
)

// userTimeout does nothing where the kernel has no such option; pings alone
// find a dead peer there.
func userTimeout(clock.Millis) func(network, address string, raw syscall.RawConn) error {
	return nil
}
