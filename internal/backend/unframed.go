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
