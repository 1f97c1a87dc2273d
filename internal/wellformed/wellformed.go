// Package wellformed rejects HTTP responses that break the protocol although net/http
// accepts them, so that no caller of a client has to expect them.
//
// # Usage
//
//	hc := &http.Client{Transport: wellformed.Transport{Base: unread.Transport{Base: &http.Transport{}}}}
//	rsp, err := hc.Do(req)
//	if errors.Is(err, wellformed.ErrStatus) { ... }
package wellformed

import (
	"errors"
	"net/http"

	"alderdyke/internal/unread"
)

// minStatus is the lowest status of HTTP (RFC 9110, section 15). A status over 599 is no
// reason to reject a response: it can be treated and passed on as a failure of the server.
const minStatus = 100

// ErrStatus reports that the status of a response can't be interpreted.
var ErrStatus = errors.New("response has a status below 100")

// Transport sends requests by another transport and rejects malformed responses. A request
// whose response was rejected may have been carried out.
type Transport struct{ Base unread.Transport }

// RoundTrip implements [http.RoundTripper].
func (tr Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	rsp, err := tr.Base.RoundTrip(req)
	if err != nil {
		return nil, err // as it is: callers tell its kinds apart
	}
	if rsp.StatusCode < minStatus {
		_ = rsp.Body.Close() // the response is rejected as a whole
		return nil, ErrStatus
	}
	return rsp, nil
}

// CloseIdleConnections closes connections that carry no call.
func (tr Transport) CloseIdleConnections() { tr.Base.CloseIdleConnections() }
