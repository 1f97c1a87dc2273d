//go:build !go1.27

package ingress

import "net/http"

// allowHeaderValues does nothing: net/http does not limit the lines of a head.
func allowHeaderValues(*http.Server) {}
