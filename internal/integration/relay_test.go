package integration

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

type (
	// peerNet is the network between the VMs of one fleet. Other VMs connect
	// to the address of a VM's relay. A VM sends from its own IP address, so
	// that relays can identify the sender.
	peerNet struct {
		mu      sync.Mutex
		cuts    map[[2]netip.Addr]bool
		changed chan struct{} // closed when cuts changes
	}

	// relay forwards traffic to the peer address of one VM.
	relay struct {
		pn   *peerNet
		to   netip.AddrPort
		ln   net.Listener
		uc   *net.UDPConn
		wg   sync.WaitGroup
		done chan struct{}

		mu    sync.Mutex
		conns map[net.Conn]struct{}
	}
)

func newPeerNet() *peerNet {
	return &peerNet{cuts: make(map[[2]netip.Addr]bool), changed: make(chan struct{})}
}

// setCut blocks or unblocks all traffic between two VMs. Data in transit on
// connections is held back and delivered after the end of the cut, as TCP would
// retransmit it. Datagrams are lost.
func (pn *peerNet) setCut(one, other *vm, off bool) {
	va, vb := one.set.Peer.Listen.Addr(), other.set.Peer.Listen.Addr()
	pn.mu.Lock()
	defer pn.mu.Unlock()
	pn.cuts[[2]netip.Addr{va, vb}] = off
	pn.cuts[[2]netip.Addr{vb, va}] = off
	close(pn.changed)
	pn.changed = make(chan struct{})
}

// partition starts or ends a partition: it cuts or reconnects each VM of one
// side and each VM of the other side.
func (pn *peerNet) partition(side, rest []*vm, off bool) {
	if off {
		results.countFault("partition between VMs (TCP and UDP)")
	}
	for _, one := range side {
		for _, other := range rest {
			pn.setCut(one, other, off)
		}
	}
}

// cutState reports whether the traffic between two addresses is cut. The channel
// is closed when any cut starts or ends.
func (pn *peerNet) cutState(from, to netip.Addr) (off bool, changed <-chan struct{}) {
	pn.mu.Lock()
	defer pn.mu.Unlock()
	return pn.cuts[[2]netip.Addr{from, to}], pn.changed
}

// startRelay starts a relay that listens on one address and forwards to a VM's
// peer address.
func (pn *peerNet) startRelay(t *testing.T, at, to netip.AddrPort) error {
	ln, err := net.Listen("tcp", at.String())
	if err != nil {
		return err
	}
	uc, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return err
	}
	rl := &relay{pn: pn, to: to, ln: ln, uc: uc, done: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	rl.wg.Go(rl.acceptConns)
	rl.wg.Go(rl.forwardDatagrams)
	t.Cleanup(func() { rl.close(t) })
	return nil
}

func (rl *relay) close(t *testing.T) {
	close(rl.done)
	assert.Check(t, rl.ln.Close())
	assert.Check(t, rl.uc.Close())
	rl.mu.Lock()
	for cn := range rl.conns {
		cn.Close()
	}
	rl.mu.Unlock()
	rl.wg.Wait()
}

func (rl *relay) acceptConns() {
	for {
		near, err := rl.ln.Accept()
		if err != nil {
			return
		}
		rl.wg.Go(func() { rl.forwardConn(near) })
	}
}

// forwardConn forwards one connection until either end closes it.
func (rl *relay) forwardConn(near net.Conn) {
	defer near.Close()
	from := netip.MustParseAddrPort(near.RemoteAddr().String()).Addr()
	if !rl.awaitUncut(from) {
		return
	}
	far, err := net.Dial("tcp", rl.to.String())
	if err != nil {
		return
	}
	defer far.Close()
	if !rl.track(near, far) {
		return
	}
	defer rl.untrack(near, far)
	var wg sync.WaitGroup
	wg.Go(func() { rl.copyDirection(far, near, from) })
	wg.Go(func() { rl.copyDirection(near, far, from) })
	wg.Wait()
}

// copyDirection copies one direction, and closes both ends when that ends.
func (rl *relay) copyDirection(to, from net.Conn, sender netip.Addr) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		got, err := from.Read(buf)
		if got > 0 && rl.awaitUncut(sender) {
			if _, err := to.Write(buf[:got]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				rl.awaitUncut(sender) // the end of the stream is held back as well
			}
			return
		}
	}
}

// awaitUncut waits while the traffic with the other VM is cut. It returns false
// when the relay is closed.
func (rl *relay) awaitUncut(from netip.Addr) bool {
	for {
		off, changed := rl.pn.cutState(from, rl.to.Addr())
		if !off {
			return true
		}
		select {
		case <-changed:
		case <-rl.done:
			return false
		}
	}
}

// track registers connections that close must close. It returns false if the
// relay is already closed.
func (rl *relay) track(conns ...net.Conn) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	select {
	case <-rl.done:
		return false
	default:
	}
	for _, cn := range conns {
		rl.conns[cn] = struct{}{}
	}
	return true
}

func (rl *relay) untrack(conns ...net.Conn) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, cn := range conns {
		delete(rl.conns, cn)
	}
}

func (rl *relay) forwardDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		got, from, err := rl.uc.ReadFromUDPAddrPort(buf)
		select {
		case <-rl.done:
			return
		default:
		}
		if err != nil {
			continue // such as a datagram refused by a VM that is down
		}
		if off, _ := rl.pn.cutState(from.Addr().Unmap(), rl.to.Addr()); !off {
			rl.uc.WriteToUDPAddrPort(buf[:got], rl.to)
		}
	}
}
