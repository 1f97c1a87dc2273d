package operator

import "net/http"

// CloseIdle closes the client's idle connections.
func CloseIdle() { direct.(*http.Transport).CloseIdleConnections() }

// ReadOrder reads an order from a request.
var ReadOrder = readOrder
