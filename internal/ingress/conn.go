package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"alderdyke/pkg/clock"
)

const (
	// minBuffer is the first size of a connection's buffer, and ordinaryBytes the size up to
	// which it is not charged.
	minBuffer     = 512
	ordinaryBytes = 4 << 10
	// drainTimeout and drainBytes bound what is read of a connection behind its refusal:
	// closing one with unread data would discard the refusal.
	drainTimeout = time.Second
	drainBytes   = 64 << 10
)

type (
	// Conn is a connection of a Listener. It passes a head on when it is whole.
	Conn struct {
		net.Conn
		ln *Listener

		// awaitsHead is set between two requests, and false while one is in progress. Then
		// the deadlines of net/http and of handlers apply, otherwise those of the Limits.
		awaitsHead atomic.Bool
		ambiguous  atomic.Bool // the framing of the current request is ambiguous
		handled    atomic.Bool // the current request has reached its handler

		// The rest is used by the goroutine that reads, and between two requests by the one
		// that serves the connection.
		first      bool   // no request was received
		inHead     bool   // what is received next belongs to a head
		broken     bool   // the end of the last request is not known
		incomplete bool   // the body of the current request is not complete
		buf        []byte // received and not passed on; in a head, all of it
		passed     int    // bytes of buf that were passed on
		head       headScanner
		body       bodyFramer
		due        time.Time

		// The rest is guarded by the listener's lock.
		held  int64 // bytes that are charged
		place place
	}
)

// errClosed ends a connection without an answer of net/http.
var errClosed = io.EOF

func newConn(cn net.Conn, ln *Listener) *Conn {
	out := &Conn{Conn: cn, ln: ln, first: true, inHead: true}
	out.awaitsHead.Store(true)
	out.due = after(ln.limits().HeadTimeout)
	return out
}

// after returns when a span has passed; a span that is not positive has no end.
func after(span clock.Millis) time.Time {
	if span <= 0 {
		return time.Time{}
	}
	return time.Now().Add(span.Std())
}

// Read returns bytes of a head that is whole, or of a body.
func (cn *Conn) Read(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	if !cn.inHead && cn.body.ended() && cn.passed == 0 {
		cn.beginHead()
	}
	switch {
	case cn.broken:
		return 0, errClosed
	case cn.inHead && cn.awaitsHead.Load():
		if err := cn.readHead(data); err != nil {
			return 0, err
		}
		return cn.passHead(data), nil
	case cn.inHead:
		return cn.readAhead(data)
	case cn.passed > 0:
		return cn.passHead(data), nil
	default:
		return cn.readBody(data)
	}
}

// readHead reads a head to its end, and has it admitted.
func (cn *Conn) readHead(scratch []byte) error {
	lim := cn.ln.limits()
	for !cn.head.scan(cn.buf) {
		if len(cn.buf) >= lim.HeadBytes {
			return cn.refuse(TooLarge)
		}
		_ = cn.Conn.SetReadDeadline(cn.due) // an error means that the connection is closed
		size, err := cn.Conn.Read(scratch)
		if size > 0 && !cn.keep(scratch[:size], lim) {
			return cn.refuse(NoMemory)
		}
		if size == 0 && err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && cn.hasBegun() {
				return cn.refuse(Slow)
			}
			return err
		}
	}
	if cn.head.end > lim.HeadBytes {
		return cn.refuse(TooLarge)
	}
	if !cn.ln.reserve(cn, int64(cap(cn.buf))+HeadCost(cn.head.end, cn.head.lines)-OrdinaryCost) {
		return cn.refuse(NoMemory)
	}
	var ambiguous bool
	cn.body, ambiguous = framing(cn.buf[:cn.head.end])
	ahead := cn.body
	ahead.take(cn.buf[cn.head.end:])
	if cn.incomplete = !ahead.ended(); !cn.ln.noteReceived(cn, !cn.incomplete) {
		return errClosed
	}
	cn.first = false
	cn.ambiguous.Store(ambiguous)
	cn.handled.Store(false)
	cn.awaitsHead.Store(false)
	_ = cn.Conn.SetReadDeadline(time.Time{}) // an error means that the connection is closed
	cn.inHead = false
	return nil
}

// keep appends to the buffer, and reports whether there is memory for it. The first bytes of
// a head begin its time.
func (cn *Conn) keep(data []byte, lim Limits) bool {
	if !cn.first && !cn.hasBegun() {
		cn.due = after(lim.HeadTimeout)
	}
	if need := len(cn.buf) + len(data); need > cap(cn.buf) {
		grown := max(minBuffer, need, min(2*cap(cn.buf), lim.HeadBytes))
		if !cn.ln.reserve(cn, int64(grown)-ordinaryBytes) {
			return false
		}
		cn.buf = append(make([]byte, 0, grown), cn.buf...)
	}
	cn.buf = append(cn.buf, data...)
	return true
}

// hasBegun reports whether a part of a head was received. Empty lines are none: some clients
// send one behind a body.
func (cn *Conn) hasBegun() bool { return len(bytes.Trim(cn.buf, "\r\n")) > 0 }

// passHead passes on what is left of the head, which is in the buffer as a whole.
func (cn *Conn) passHead(data []byte) int {
	size := copy(data, cn.buf[cn.passed:cn.head.end])
	if cn.passed += size; cn.passed == cn.head.end {
		cn.buf, cn.passed = rest(cn.buf[cn.head.end:]), 0
	}
	return size
}

// rest returns a copy of what follows a head, so that the buffer of the head is released.
func rest(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	return append([]byte(nil), data...)
}

// readAhead reads a byte of the next head while a request is in progress. net/http reads one
// byte then, to learn when the caller leaves.
func (cn *Conn) readAhead(data []byte) (int, error) {
	if len(data) > 1 {
		cn.broken = true // net/http takes the body for longer than it is
		return 0, io.ErrUnexpectedEOF
	}
	if cn.passed == len(cn.buf) {
		size, err := cn.Conn.Read(data)
		if size == 0 {
			return 0, err
		}
		cn.buf = append(cn.buf, data[0])
	}
	data[0] = cn.buf[cn.passed]
	cn.passed++
	return 1, nil
}

// readBody reads a part of the body. What follows its end is kept.
func (cn *Conn) readBody(data []byte) (int, error) {
	if len(cn.buf) > 0 {
		size := cn.body.take(cn.buf[:min(len(cn.buf), len(data))])
		copy(data, cn.buf[:size])
		if cn.buf = cn.buf[size:]; len(cn.buf) == 0 {
			cn.buf = nil
		}
		return size, nil
	}
	if cn.body.state == fixedLength {
		data = data[:min(int64(len(data)), cn.body.left)]
	}
	size, err := cn.Conn.Read(data)
	own := cn.body.take(data[:size])
	if own < size {
		cn.buf = rest(data[own:size])
	}
	if cn.incomplete && own > 0 {
		cn.incomplete = !cn.body.ended()
		if !cn.ln.noteReceived(cn, !cn.incomplete) {
			return 0, errClosed
		}
	}
	return own, err
}

// beginHead prepares for the next head. The buffer may hold bytes of it.
func (cn *Conn) beginHead() {
	cn.inHead, cn.head, cn.passed = true, headScanner{}, 0
}

// endRequest ends a request whose connection remains open.
func (cn *Conn) endRequest() {
	if !cn.inHead {
		cn.broken = !cn.body.ended() || cn.passed > 0
		cn.beginHead()
	}
	lim := cn.ln.limits()
	cn.due = after(lim.IdleTimeout)
	if cn.hasBegun() {
		cn.due = after(lim.HeadTimeout)
	}
	cn.ln.endRequest(cn)
	cn.awaitsHead.Store(true)
}

// refuse answers a head that is not passed on, and ends the connection.
func (cn *Conn) refuse(cs Cause) error {
	cn.buf, cn.broken = nil, true
	cn.ln.reserve(cn, 0)
	cn.ln.recordRefused(cs, cn.Conn)
	sendRefusal(cn.Conn, cn.ln.response(cs))
	return errClosed
}

// sendRefusal writes an answer, and waits for the caller to close the connection.
func sendRefusal(cn net.Conn, answer []byte) {
	_ = cn.SetDeadline(time.Now().Add(drainTimeout)) // an error means that the connection is closed
	if _, err := cn.Write(answer); err != nil {
		return
	}
	if hc, ok := cn.(halfCloser); ok && hc.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, cn, drainBytes)
	}
}

// SetReadDeadline sets the deadline of a body. Between two requests only one that has passed
// is set, which ends the reading of the connection.
func (cn *Conn) SetReadDeadline(at time.Time) error {
	if cn.awaitsHead.Load() && (at.IsZero() || at.After(time.Now())) {
		return nil
	}
	return cn.Conn.SetReadDeadline(at)
}

// SetDeadline sets both deadlines, the one for reading like SetReadDeadline.
func (cn *Conn) SetDeadline(at time.Time) error {
	return errors.Join(cn.SetReadDeadline(at), cn.SetWriteDeadline(at))
}

// Close closes the connection and releases what it holds.
func (cn *Conn) Close() error {
	if !cn.awaitsHead.Load() && !cn.handled.Swap(true) {
		cn.ln.recordRefused(Malformed, cn.Conn)
	}
	cn.ln.release(cn)
	return cn.Conn.Close()
}
