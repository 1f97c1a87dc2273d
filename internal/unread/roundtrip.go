//go:build !go1.27

package unread

import "net/http"

// roundTrip does nothing beside: net/http closes such connections by itself.
func roundTrip(base *http.Transport, req *http.Request) (*http.Response, error) {
	return base.RoundTrip(req)
}
