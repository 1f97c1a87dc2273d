// Package sockopt sets socket options for which the standard library has no
// function.
//
// Data sent to a VM that lost power is never acknowledged, and without a user
// timeout the connection stays open for about 15 minutes.
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

// UserTimeoutControl returns the control function of a dialer or a listener that
// bounds how long sent data may stay unacknowledged before the kernel closes
// the connection.
func UserTimeoutControl(span clock.Millis) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, span) }
}

// SetUserTimeout sets the same bound on an established connection. Connections
// other than TCP are left unchanged.
func SetUserTimeout(conn net.Conn, span clock.Millis) error {
	tc, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return fmt.Errorf("get the raw connection: %w", err)
	}
	return setUserTimeout(raw, span)
}
