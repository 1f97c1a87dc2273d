package operator

import "net/http"

// CloseIdleConnections closes the client's idle connections.
func CloseIdleConnections() { directTransport.(*http.Transport).CloseIdleConnections() }

// ReadOrder reads an order from a request.
var ReadOrder = readOrder
