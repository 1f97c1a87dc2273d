package caller

import (
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"alderdyke/pkg/clock"
)

// turnedAwayBody is the refusal on a connection above a limit.
const turnedAwayBody = `{"error":{"Ran":"NotRun","Reason":"TooManyConnections","RetryAfter":"1s",` +
	`"Detail":"connection limit of this VM"}}`

// turnedAway is the whole response on such a connection.
var turnedAway = []byte("HTTP/1.1 503 Service Unavailable\r\n" +
	"Alderdyke-Refusal: TooManyConnections\r\n" +
	"Retry-After: 1\r\nConnection: close\r\nContent-Type: application/json\r\n" +
	"Content-Length: " + strconv.Itoa(len(turnedAwayBody)) + "\r\n\r\n" + turnedAwayBody)

type (
	// listener accepts no more connections than its limits, in all and from
	// one IP address; those above are told so and closed. The zero limits
	// accept nothing.
	listener struct {
		net.Listener
		most      int
		mostPerIP int
		unacked   clock.Millis // how long sent data may stay unacknowledged
		rejected  func(remote string)

		mu   sync.Mutex
		open int
		byIP map[netip.Addr]int
	}

	// countedConn gives its place back when it is closed.
	countedConn struct {
		net.Conn
		once sync.Once
		free func()
	}
)

// Accept returns the next connection that is within the limits.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		conn, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		addr := addrOf(conn)
		if !ln.take(addr) {
			ln.rejected(addr.String())
			turnAway(conn)
			continue
		}
		if err := setUserTimeout(conn, ln.unacked); err != nil {
			ln.free(addr)
			_ = conn.Close()
			continue
		}
		return &countedConn{Conn: conn, free: func() { ln.free(addr) }}, nil
	}
}

func (ln *listener) take(addr netip.Addr) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.open >= ln.most || ln.byIP[addr] >= ln.mostPerIP {
		return false
	}
	if ln.byIP == nil {
		ln.byIP = make(map[netip.Addr]int)
	}
	ln.open++
	ln.byIP[addr]++
	return true
}

func (ln *listener) free(addr netip.Addr) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.open--
	ln.byIP[addr]--
	if ln.byIP[addr] == 0 {
		delete(ln.byIP, addr)
	}
}

// Close closes the connection and gives its place back once.
func (cc *countedConn) Close() error {
	err := cc.Conn.Close()
	cc.once.Do(cc.free)
	return err
}

// turnAway tells the caller why, as far as the new connection's send buffer
// takes it at once, and closes.
func turnAway(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	_, _ = conn.Write(turnedAway)
	_ = conn.Close()
}

// addrOf is the IP address of the other side, without its port.
func addrOf(conn net.Conn) netip.Addr {
	ap, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap().WithZone("")
}

func remoteIP(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return ""
	}
	return host
}
