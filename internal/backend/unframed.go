package backend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

// unframedBody is a body that the end of its connection delimits.
type unframedBody struct {
	io.ReadCloser
	conn *gatedConn
}

// isUnframed reports whether a response has a body with neither a length nor chunks, which
// ends where the connection is closed.
func isUnframed(rsp *http.Response) bool {
	return rsp.ContentLength < 0 && len(rsp.TransferEncoding) == 0 && rsp.Body != http.NoBody
}

// Read reads from the body. If the connection broke, its end is not the end of the body.
func (ub unframedBody) Read(data []byte) (int, error) {
	size, err := ub.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		if errBroken := ub.conn.brokenBefore(); errBroken != nil {
			return size, fmt.Errorf("the connection broke in the answer: %w", errBroken)
		}
	}
	return size, err
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
