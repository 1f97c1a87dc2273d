package sockopt

import (
	"fmt"
	"syscall"

	"alderdyke/pkg/clock"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which the syscall package
// does not define.
const tcpUserTimeout = 18

func setUserTimeout(raw syscall.RawConn, span clock.Millis) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(span))
	})
	if err != nil {
		return fmt.Errorf("access the socket: %w", err)
	}
	if optErr != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", optErr)
	}
	return nil
}
