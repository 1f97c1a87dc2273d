package unread

import "net/http"

// Transport sends requests by another transport. Its connections are not used again if the
// bodies of their responses are closed before their ends.
type Transport struct{ Base *http.Transport }

// RoundTrip implements [http.RoundTripper].
func (tr Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return roundTrip(tr.Base, req)
}

// CloseIdleConnections closes connections that carry no call.
func (tr Transport) CloseIdleConnections() { tr.Base.CloseIdleConnections() }
