package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
)

// maxHelloBytes limits the encoded hello.
const maxHelloBytes = 1 << 10

// clientHandshake authenticates to the VM that was dialled, and returns the VM that it
// reached. The deadline on the connection limits it.
func (tr *Transport) clientHandshake(ctx context.Context, tc *tls.Conn, to string) (board.VMRef, Step, error) {
	if err := tc.HandshakeContext(ctx); err != nil {
		return board.VMRef{}, StepHandshake, fmt.Errorf("TLS handshake: %w", err)
	}
	if err := tr.sendHello(tc, to); err != nil {
		return board.VMRef{}, StepHello, err
	}
	got, err := readHello(tc)
	if err != nil {
		return board.VMRef{}, StepHello, err
	}
	return board.VMRef{ID: got.GetID(), Incarnation: got.GetIncarnation()}, "", nil
}

func (tr *Transport) sendHello(tc *tls.Conn, to string) error {
	raw, err := encode(&peerpb.Hello{ID: tr.Self.ID, Incarnation: tr.Self.Incarnation, To: to}, maxHelloBytes)
	if err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	if _, err := tc.Write(raw); err != nil {
		return fmt.Errorf("send hello: %w", err)
	}
	return nil
}

func readHello(tc *tls.Conn) (*peerpb.Hello, error) {
	var hl peerpb.Hello
	if err := decode(&byteReader{Reader: tc}, &hl, maxHelloBytes); err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	if hl.GetID() == "" {
		return nil, errors.New("read hello: VM ID is empty")
	}
	return &hl, nil
}

// setHandshakeDeadline sets the time by which handshake and hello must be complete.
func (tr *Transport) setHandshakeDeadline(cn net.Conn) error {
	if err := cn.SetDeadline(time.Now().Add(tr.HandshakeTimeout.Std())); err != nil {
		return fmt.Errorf("set handshake deadline: %w", err)
	}
	return nil
}

// clearHandshakeDeadline removes the deadline that setHandshakeDeadline set.
func clearHandshakeDeadline(cn net.Conn) error {
	if err := cn.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("clear handshake deadline: %w", err)
	}
	return nil
}
