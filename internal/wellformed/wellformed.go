// Package wellformed rejects HTTP responses that break the protocol although net/http
// accepts them, so that no caller of a client has to expect them.
//
// Informational responses (1xx) are not checked by a [Transport]. net/http drops them and
// limits the bytes of all of them together, but only for requests whose
// [httptrace.ClientTrace] has no Got1xxResponse. Callers that limit them by themselves can
// check them with [CheckFields].
//
// # Usage
//
//	hc := &http.Client{Transport: wellformed.Transport{Base: &http.Transport{}}}
//	rsp, err := hc.Do(req)
//	if errors.Is(err, wellformed.ErrStatus) || errors.Is(err, wellformed.ErrFieldName) { ... }
package wellformed

import (
	"errors"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"alderdyke/internal/unread"
)

// minStatus is the lowest status of HTTP (RFC 9110, section 15). A status over 599 is no
// reason to reject a response: it can be treated and passed on as a failure of the server.
const minStatus = 100

// Reasons why a response is rejected.
var (
	// ErrStatus reports that the status of a response can't be interpreted.
	ErrStatus = errors.New("response has a status below 100")
	// ErrFieldName reports that a field in the head or in a trailer of a response has a name
	// that is no token (RFC 9110, section 5.1). The recipients of a response may read such a
	// line differently: as another field, such as the one that delimits the body, or not at
	// all.
	ErrFieldName = errors.New("response has a field name that is no token")
)

type (
	// Transport sends requests by another transport and rejects malformed responses. A
	// request whose response was rejected may have been carried out. Like [unread.Transport]
	// it ends the connections of bodies that are closed before their ends.
	Transport struct{ Base *http.Transport }

	// chunkedBody checks the trailer of a response, which net/http reads at the end of the
	// body.
	chunkedBody struct {
		io.ReadCloser
		rsp *http.Response
	}
)

// RoundTrip implements [http.RoundTripper]. Reading the body of the response fails with
// ErrFieldName if that is the fault of its trailer.
func (tr Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	rsp, err := unread.Transport{Base: tr.Base}.RoundTrip(req)
	if err != nil {
		return nil, err // as it is: callers tell its kinds apart
	}
	if err := checkHead(rsp); err != nil {
		_ = rsp.Body.Close() // the response is rejected as a whole
		return nil, err
	}
	if len(rsp.TransferEncoding) > 0 {
		rsp.Body = chunkedBody{ReadCloser: rsp.Body, rsp: rsp}
	}
	return rsp, nil
}

// CloseIdleConnections closes connections that carry no call.
func (tr Transport) CloseIdleConnections() { tr.Base.CloseIdleConnections() }

// Read reads from the body.
func (cb chunkedBody) Read(data []byte) (int, error) {
	size, err := cb.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		if err := CheckFields(cb.rsp.Trailer); err != nil {
			return size, err
		}
	}
	return size, err
}

// checkHead returns why a response is malformed.
func checkHead(rsp *http.Response) error {
	if rsp.StatusCode < minStatus {
		return ErrStatus
	}
	if err := CheckFields(rsp.Header); err != nil {
		return err
	}
	return CheckFields(rsp.Trailer) // the names that the head announces
}

// CheckFields returns ErrFieldName if the name of a field is no token.
func CheckFields(fields map[string][]string) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrFieldName
		}
	}
	return nil
}
