//go:build go1.27

package unread

import (
	"io"
	"math"
	"net/http"
)

// body has the transport close its connection when it is closed before its end.
type body struct {
	io.ReadCloser
	rsp *http.Response
}

func roundTrip(base *http.Transport, req *http.Request) (*http.Response, error) {
	rsp, err := base.RoundTrip(req)
	if err != nil {
		return nil, err // as it is: callers tell its kinds apart
	}
	if rsp.Body != http.NoBody && rsp.StatusCode != http.StatusSwitchingProtocols {
		rsp.Body = &body{ReadCloser: rsp.Body, rsp: rsp}
	}
	return rsp, nil
}

// Close closes the body. The transport reads no more of a body that is known to be very
// long, and looks at the length of the response when its body is closed. Closing the
// connection here instead could leave it among those that are used again, if the rest of the
// body was received already.
func (bd *body) Close() error {
	length := bd.rsp.ContentLength
	bd.rsp.ContentLength = math.MaxInt64
	defer func() { bd.rsp.ContentLength = length }()
	return bd.ReadCloser.Close()
}
