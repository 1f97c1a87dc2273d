package peer

import (
	"fmt"
	"syscall"

	"alderdyke/pkg/clock"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// userTimeout bounds how long sent data may stay unacknowledged before the
// kernel breaks the connection.
func userTimeout(span clock.Millis) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(span))
		})
		if err != nil {
			return fmt.Errorf("reach socket: %w", err)
		}
		if optErr != nil {
			return fmt.Errorf("set TCP user timeout: %w", optErr)
		}
		return nil
	}
}
