package backend

import (
	"errors"
	"net"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"syscall"
	"time"

	"alderdyke/internal/wellformed"
)

type (
	// gatedConn observes what a call writes to a connection and receives on it, and can be
	// sealed against further writes.
	gatedConn struct {
		net.Conn
		response headRecord // to the call that has the connection

		writing    sync.Mutex // held while data is written; locked before mu
		errWriting error      // of the first write that failed; guarded by writing

		mu     sync.Mutex
		writes uint64
		sealed bool
	}

	// connTracker records the connections that a call was given.
	connTracker struct {
		mu     sync.Mutex
		marks  map[*gatedConn]uint64 // write counts before the call
		opaque bool                  // some connection does not support sealing
		last   *gatedConn            // given last; nil: none, or it is no gatedConn

		allowed  func() bool // nil: always allowed
		withheld bool
	}
)

// Write writes to the connection unless it is sealed.
func (gc *gatedConn) Write(data []byte) (int, error) {
	gc.writing.Lock()
	defer gc.writing.Unlock()
	gc.mu.Lock()
	if gc.sealed {
		gc.mu.Unlock()
		return 0, net.ErrClosed
	}
	gc.writes++
	gc.mu.Unlock()
	size, err := gc.Conn.Write(data)
	if gc.errWriting == nil {
		gc.errWriting = err
	}
	return size, err
}

// Read reads from the connection.
func (gc *gatedConn) Read(data []byte) (int, error) {
	size, err := gc.Conn.Read(data)
	gc.response.add(data[:size])
	return size, err
}

// mark returns the number of writes so far, for a later call of seal.
func (gc *gatedConn) mark() uint64 {
	gc.mu.Lock()
	defer gc.mu.Unlock()
	return gc.writes
}

// seal forbids all further writes if there was none since the mark, and reports
// whether it did.
func (gc *gatedConn) seal(mark uint64) bool {
	gc.mu.Lock()
	defer gc.mu.Unlock()
	if gc.writes != mark {
		return false
	}
	gc.sealed = true
	return true
}

// gotConn records a connection that the call was given. If the call is no longer
// allowed, nothing can be written to the connection from then on.
func (cr *connTracker) gotConn(info httptrace.GotConnInfo) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	gc, ok := info.Conn.(*gatedConn)
	cr.last = gc
	if !ok {
		cr.opaque = true
	} else {
		gc.response.begin()
		if _, seen := cr.marks[gc]; !seen {
			cr.marks[gc] = gc.mark()
		}
	}
	if cr.allowed == nil || cr.allowed() {
		return
	}
	cr.withheld = true
	if ok {
		gc.seal(cr.marks[gc])
		return
	}
	_ = info.Conn.Close() // so that nothing can be written to it
}

// gotInformational returns an error if an informational response (1xx) is malformed, or too
// many bytes of them have come: where they are observed, net/http limits each alone.
func (cr *connTracker) gotInformational(_ int, hd textproto.MIMEHeader) error {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if cr.last == nil || cr.last.response.receivedBytes() > headerBytes {
		return ErrTooLarge
	}
	return wellformed.CheckFields(hd)
}

// notSentCause returns why a call that was not sent failed.
func (cr *connTracker) notSentCause(err error) error {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if cr.withheld {
		return ErrWithheld
	}
	return redact(err, ErrBadCall)
}

// sealUnwritten seals every connection of the call and reports whether none of them
// was written to for this call.
func (cr *connTracker) sealUnwritten() bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if cr.opaque {
		return false
	}
	clean := true
	for gc, mark := range cr.marks {
		clean = gc.seal(mark) && clean
	}
	return clean
}

// conn returns the connection that the call was given last, or nil if it is no gatedConn.
func (cr *connTracker) conn() *gatedConn {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.last
}

// brokenBefore returns why the connection broke before its end was read, or nil if the peer
// ended it in order. No more can be written to the connection afterwards.
//
// The kernel reports a broken connection to one call only. If a write gets the error, a read
// that follows returns the end of the connection. By then the write has its error, but may
// not have returned. A write after an end in order fails with EPIPE, for whatever reason the
// connection breaks.
func (gc *gatedConn) brokenBefore() error {
	_ = gc.SetWriteDeadline(time.Unix(1, 0)) // interrupts a write that waits for the peer
	gc.writing.Lock()
	defer gc.writing.Unlock()
	errno, ok := errors.AsType[syscall.Errno](gc.errWriting)
	if !ok || errno == syscall.EPIPE {
		return nil // not written, interrupted, or closed by this side
	}
	return errno
}
