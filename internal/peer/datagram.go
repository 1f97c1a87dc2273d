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
	// MaxDatagram is the largest datagram, in bytes, including its MAC; it fits
	// the usual MTU with headroom for tunnels.
	MaxDatagram = 1200

	macSize = 16 // bytes; HMAC-SHA256, truncated
)

// SendDatagram sends one datagram to the VM. It sets From, Incarnation, To and Sequence
// in the message, which must not be shared with another call. Delivery is not
// acknowledged. If the encoded message is larger than MaxDatagram less 16 bytes, the
// error is a [SizeError].
func (tr *Transport) SendDatagram(vm board.VM, dg *peerpb.Datagram) error {
	dg.To = vm.ID
	uc, raw, err := tr.seal(dg)
	if err != nil {
		return err
	}
	return tr.write(uc, vm, raw)
}

// Broadcast sends one datagram to each of the VMs, as [Transport.SendDatagram] does, but
// encodes and signs it once: a message of 300 bytes to 88 VMs takes 0.29 ms instead of
// 0.85 ms (BenchmarkBroadcast), during which a small VM does nothing else. The message must
// be one that names no single receiver.
func (tr *Transport) Broadcast(vms []board.VM, dg *peerpb.Datagram) error {
	dg.To = ""
	uc, raw, err := tr.seal(dg)
	if err != nil {
		return err
	}
	var errs []error
	for _, vm := range vms {
		errs = append(errs, tr.write(uc, vm, raw))
	}
	return errors.Join(errs...)
}

// seal encodes and signs a message of this VM, and returns the socket to send it on.
// Before Run there is no socket, which is an error.
func (tr *Transport) seal(dg *peerpb.Datagram) (*net.UDPConn, []byte, error) {
	tr.init()
	uc := tr.udp.Load()
	if uc == nil {
		return nil, nil, NotSentError{VM: dg.To, Step: StepStart, Err: net.ErrClosed}
	}
	dg.From, dg.Incarnation = tr.Self.ID, tr.Self.Incarnation
	dg.Sequence = tr.sequence.Add(1)
	raw, err := seal(tr.id.datagramKey, dg)
	if err != nil {
		return nil, nil, NotSentError{VM: dg.To, Step: StepEncode, Err: err}
	}
	return uc, raw, nil
}

func (tr *Transport) write(uc *net.UDPConn, vm board.VM, raw []byte) error {
	to, err := netip.ParseAddrPort(vm.Peer)
	if err != nil {
		return NotSentError{VM: vm.ID, Step: StepDial, Err: fmt.Errorf("address of the VM: %w", err)}
	}
	if _, err := uc.WriteToUDPAddrPort(raw, to); err != nil {
		return NotSentError{VM: vm.ID, Step: StepDial, Err: fmt.Errorf("send datagram: %w", err)}
	}
	tr.count.datagramsOut.Inc(1)
	tr.count.datagramBytesOut.Inc(int64(len(raw)))
	return nil
}

// datagramLoop reads until the socket is closed. It ignores errors that the kernel
// reports for earlier sends, such as a closed port.
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
		tr.handleDatagram(buf[:got], from)
	}
}

func (tr *Transport) handleDatagram(raw []byte, from netip.AddrPort) {
	tr.count.datagramsIn.Inc(1)
	tr.count.datagramBytesIn.Inc(int64(len(raw)))
	dg, vd := tr.checkDatagram(raw)
	if vd != accepted {
		tr.count.dropped[string(vd)].Inc(1)
		return
	}
	if tr.OnDatagram != nil {
		tr.OnDatagram(dg, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// checkDatagram accepts a datagram that is authentic, addressed to this VM and not
// received before.
func (tr *Transport) checkDatagram(raw []byte) (*peerpb.Datagram, verdict) {
	dg, vd := unseal(tr.id.datagramKey, raw)
	if vd != accepted {
		return nil, vd
	}
	if dg.GetTo() != tr.Self.ID && !isBroadcast(dg) {
		return nil, droppedWrongVM
	}
	from := board.VMRef{ID: dg.GetFrom(), Incarnation: dg.GetIncarnation()}
	return dg, tr.replays.check(from, dg.GetSequence(), tr.Clock.Now())
}

// isBroadcast reports whether a datagram names no receiver and is of a kind that needs
// none: a report of what one VM uses or has read, which is the same for every receiver.
func isBroadcast(dg *peerpb.Datagram) bool {
	switch dg.GetBody().(type) {
	case *peerpb.Datagram_Usage, *peerpb.Datagram_TopicNews, *peerpb.Datagram_TopicPiece, *peerpb.Datagram_RequestEnd, *peerpb.Datagram_PartsAnswered, *peerpb.Datagram_ServerLimit:
		return dg.GetTo() == ""
	default:
		return false
	}
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

// unseal decodes the content only after the MAC was verified.
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
