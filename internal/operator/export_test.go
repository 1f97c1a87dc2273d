package operator

import "net/http"

// CloseIdle closes the client's idle connections.
func CloseIdle() { direct.(*http.Transport).CloseIdleConnections() }
