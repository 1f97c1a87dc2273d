package caller

import (
	"fmt"
	"net"
	"syscall"

	"alderdyke/pkg/clock"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which the syscall
// package does not name.
const tcpUserTimeout = 18

// setUserTimeout makes the connection fail once sent data stayed
// unacknowledged for so long. Without it a caller that vanished would go
// unnoticed for about 15 minutes, for as long as its answer fits the send
// buffer.
func setUserTimeout(conn net.Conn, span clock.Millis) error {
	tc, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return fmt.Errorf("reach the socket: %w", err)
	}
	var serr error
	err = raw.Control(func(fd uintptr) {
		serr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(span))
	})
	if err != nil {
		return fmt.Errorf("control the socket: %w", err)
	}
	if serr != nil {
		return fmt.Errorf("set the user timeout: %w", serr)
	}
	return nil
}
