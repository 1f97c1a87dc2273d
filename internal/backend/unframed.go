package backend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// unframedBody is a body that the end of its connection delimits.
type unframedBody struct {
	io.ReadCloser
	conn *gatedConn
}

// IsUnframed reports whether a response states neither a length nor chunks, so that its body,
// if it has one, ends where the connection is closed.
func IsUnframed(rsp *http.Response) bool {
	return rsp.ContentLength < 0 && len(rsp.TransferEncoding) == 0
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
