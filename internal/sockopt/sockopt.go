// Package sockopt sets the options of sockets that the standard library has
// no name for.
//
// Data that was sent to a VM that lost its power is never acknowledged, and
// without a bound the connection stays open for about 15 minutes.
//
// # Usage
//
//	dl := net.Dialer{Control: sockopt.UserTimeoutControl(2 * clock.Second)}
//	err := sockopt.SetUserTimeout(accepted, 2*clock.Second)
package sockopt

import (
	"fmt"
	"net"
	"syscall"

	"alderdyke/pkg/clock"
)

// UserTimeoutControl makes the control function of a dialer or a listener that
// bounds how long sent data may stay unacknowledged before the kernel breaks
// the connection.
func UserTimeoutControl(span clock.Millis) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, span) }
}

// SetUserTimeout does the same for a connection that stands. Connections that
// are not of TCP are left as they are.
func SetUserTimeout(conn net.Conn, span clock.Millis) error {
	tc, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return fmt.Errorf("reach the socket: %w", err)
	}
	return setUserTimeout(raw, span)
}
