package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
)

const (
	// MaxDatagram is the largest datagram, in bytes, its MAC included; it
	// fits the usual MTU with room for tunnels.
	MaxDatagram = 1200

	macSize = 16 // bytes; HMAC-SHA256, truncated
)

// Datagram sends one datagram to the VM. It sets From, Incarnation, To and
// Sequence in the message, which must not be shared with another call. There
// is no word of whether it arrives. An encoded message of more than
// MaxDatagram less 16 bytes is a [SizeError].
func (tr *Transport) Datagram(vm board.VM, dg *peerpb.Datagram) error {
	tr.init()
	uc := tr.udp.Load()
	if uc == nil {
		return NotSentError{VM: vm.ID, Step: StepStart, Err: net.ErrClosed}
	}
	to, err := netip.ParseAddrPort(vm.Peer)
	if err != nil {
		return NotSentError{VM: vm.ID, Step: StepDial, Err: fmt.Errorf("address of the VM: %w", err)}
	}
	dg.From, dg.Incarnation, dg.To = tr.Self.ID, tr.Self.Incarnation, vm.ID
	dg.Sequence = tr.serial.Add(1)
	raw, err := seal(tr.id.datagramKey, dg)
	if err != nil {
		return NotSentError{VM: vm.ID, Step: StepEncode, Err: err}
	}
	if _, err := uc.WriteToUDPAddrPort(raw, to); err != nil {
		return NotSentError{VM: vm.ID, Step: StepDial, Err: fmt.Errorf("send datagram: %w", err)}
	}
	tr.count.datagramsOut.Inc(1)
	tr.count.datagramBytesOut.Inc(int64(len(raw)))
	return nil
}

// datagramLoop reads until the socket is closed. Errors that the kernel
// reports for earlier sends, such as a closed port, are passed over.
func (tr *Transport) datagramLoop(uc *net.UDPConn) error {
	buf := make([]byte, MaxDatagram+1)
	for {
		got, from, err := uc.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("read datagram: %w", err)
		}
		if err != nil {
			continue
		}
		tr.takeDatagram(buf[:got], from)
	}
}

func (tr *Transport) takeDatagram(raw []byte, from netip.AddrPort) {
	tr.count.datagramsIn.Inc(1)
	tr.count.datagramBytesIn.Inc(int64(len(raw)))
	dg, vd := tr.checkDatagram(raw)
	if vd != accepted {
		tr.count.dropped[string(vd)].Inc(1)
		return
	}
	if tr.Datagrams != nil {
		tr.Datagrams(dg, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// checkDatagram accepts a datagram that is authentic, meant for this VM and
// new.
func (tr *Transport) checkDatagram(raw []byte) (*peerpb.Datagram, verdict) {
	dg, vd := unseal(tr.id.datagramKey, raw)
	if vd != accepted {
		return nil, vd
	}
	if dg.GetTo() != tr.Self.ID {
		return nil, droppedWrongVM
	}
	from := board.VMRef{ID: dg.GetFrom(), Incarnation: dg.GetIncarnation()}
	return dg, tr.seen.take(from, dg.GetSequence(), tr.Clock.Now())
}

func seal(key []byte, dg *peerpb.Datagram) ([]byte, error) {
	if size := proto.Size(dg); size > MaxDatagram-macSize {
		return nil, SizeError{Size: size, Limit: MaxDatagram - macSize}
	}
	raw, err := proto.Marshal(dg)
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	return append(raw, sign(key, raw)...), nil
}

// unseal looks at the content only after the MAC was found right.
func unseal(key, raw []byte) (*peerpb.Datagram, verdict) {
	if len(raw) <= macSize || len(raw) > MaxDatagram {
		return nil, droppedMalformed
	}
	body, mac := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	if !hmac.Equal(mac, sign(key, body)) {
		return nil, droppedBadMAC
	}
	var dg peerpb.Datagram
	if proto.Unmarshal(body, &dg) != nil || dg.GetFrom() == "" || dg.GetSequence() == 0 {
		return nil, droppedMalformed
	}
	return &dg, accepted
}

func sign(key, body []byte) []byte {
	hm := hmac.New(sha256.New, key)
	hm.Write(body)
	return hm.Sum(nil)[:macSize]
}
