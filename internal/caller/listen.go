package caller

import (
	"io"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"alderdyke/internal/sockopt"
	"alderdyke/pkg/clock"
)

// Limits on the refusal of connections above a connection limit.
const (
	maxRejecting    = 64          // connections at the same time; further ones are closed without a response
	rejectTimeout   = time.Second // of one connection
	rejectReadBytes = 64 << 10    // that are read from one connection and discarded
)

// rejectionBody is the refusal that a connection above a limit gets.
const rejectionBody = `{"error":{"Ran":"NotRun","Reason":"TooManyConnections","RetryAfter":"1s",` +
	`"Detail":"connection limit of this VM"}}`

// rejectionResponse is the complete response to such a connection.
var rejectionResponse = []byte("HTTP/1.1 503 Service Unavailable\r\n" +
	"Alderdyke-Refusal: TooManyConnections\r\n" +
	"Retry-After: 1\r\nConnection: close\r\nContent-Type: application/json\r\n" +
	"Content-Length: " + strconv.Itoa(len(rejectionBody)) + "\r\n\r\n" + rejectionBody)

type (
	// listener accepts connections up to its limits, in total and from one IP
	// address. Connections above a limit get a refusal and are closed. The zero
	// limits accept nothing.
	listener struct {
		net.Listener
		maxOpen    int
		maxPerIP   int
		unacked    clock.Millis // how long sent data may stay unacknowledged
		onRejected func(remote string)
		rejecting  chan struct{} // holds one entry for each connection that is being rejected
		closed     sync.Once

		mu   sync.Mutex
		open int
		byIP map[netip.Addr]int
	}

	// halfCloser is a connection whose two directions can be closed separately, such
	// as *net.TCPConn.
	halfCloser interface{ CloseWrite() error }

	// countedConn releases its place in the limits when it is closed.
	countedConn struct {
		net.Conn
		once    sync.Once
		release func()
	}
)

// Accept returns the next connection within the limits.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		conn, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		addr := addrOf(conn)
		if !ln.acquire(addr) {
			ln.onRejected(addr.String())
			ln.reject(conn)
			continue
		}
		if err := sockopt.SetUserTimeout(conn, ln.unacked); err != nil {
			ln.release(addr)
			_ = conn.Close()
			continue
		}
		return &countedConn{Conn: conn, release: func() { ln.release(addr) }}, nil
	}
}

func (ln *listener) acquire(addr netip.Addr) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.open >= ln.maxOpen || ln.byIP[addr] >= ln.maxPerIP {
		return false
	}
	if ln.byIP == nil {
		ln.byIP = make(map[netip.Addr]int)
	}
	ln.open++
	ln.byIP[addr]++
	return true
}

func (ln *listener) release(addr netip.Addr) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.open--
	ln.byIP[addr]--
	if ln.byIP[addr] == 0 {
		delete(ln.byIP, addr)
	}
}

// Close closes the connection and releases its place once.
func (cc *countedConn) Close() error {
	err := cc.Conn.Close()
	cc.once.Do(cc.release)
	return err
}

// reject sends the refusal and closes the connection. It reads what the caller sends
// meanwhile, because closing a connection with unread data would discard the
// response.
func (ln *listener) reject(conn net.Conn) {
	select {
	case ln.rejecting <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	go func() {
		defer func() { <-ln.rejecting }()
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(rejectTimeout))
		if _, err := conn.Write(rejectionResponse); err != nil {
			return
		}
		if hc, ok := conn.(halfCloser); ok && hc.CloseWrite() == nil {
			_, _ = io.CopyN(io.Discard, conn, rejectReadBytes)
		}
	}()
}

// Close closes the listener and waits about a second at most for the connections that
// are being rejected.
func (ln *listener) Close() error {
	err := ln.Listener.Close()
	ln.closed.Do(func() {
		for range cap(ln.rejecting) {
			ln.rejecting <- struct{}{}
		}
	})
	return err
}

// addrOf returns the remote IP address, without its port.
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
