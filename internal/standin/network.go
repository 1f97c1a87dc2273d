package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

type (
	// Network connects clients and servers in memory, so that real HTTP runs
	// in virtual time. The zero value is ready to use.
	Network struct {
		mu        sync.Mutex
		listeners map[string]*listener
	}

	listener struct {
		nw      *Network
		address string
		conns   chan net.Conn
		closed  chan struct{}
		once    sync.Once
	}

	address string
)

// Listen returns a listener on an address and replaces an earlier one there.
func (nw *Network) Listen(addr string) net.Listener {
	ls := &listener{nw: nw, address: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if nw.listeners == nil {
		nw.listeners = map[string]*listener{}
	}
	nw.listeners[addr] = ls
	return ls
}

// Dial connects to an address. The connection is refused if there is no
// listener on the address.
func (nw *Network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	nw.mu.Lock()
	ls := nw.listeners[addr]
	nw.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "memory", Addr: address(addr), Err: syscall.ECONNREFUSED}
	if ls == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case ls.conns <- far:
		return near, nil
	case <-ls.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", addr, ctx.Err())
	}
}

// Accept implements [net.Listener].
func (ls *listener) Accept() (net.Conn, error) {
	select {
	case cn := <-ls.conns:
		return cn, nil
	case <-ls.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (ls *listener) Close() error {
	ls.once.Do(func() {
		close(ls.closed)
		ls.nw.mu.Lock()
		defer ls.nw.mu.Unlock()
		if ls.nw.listeners[ls.address] == ls {
			delete(ls.nw.listeners, ls.address)
		}
	})
	return nil
}

// Addr implements [net.Listener].
func (ls *listener) Addr() net.Addr { return address(ls.address) }

// Network implements [net.Addr].
func (address) Network() string { return "memory" }

// String implements [net.Addr].
func (ad address) String() string { return string(ad) }
