//go:build go1.27

package ingress

import (
	"math"
	"net/http"
)

// allowHeaderValues lifts the limit of net/http on the lines of a head: a Listener bounds
// their number by their bytes and their cost.
func allowHeaderValues(hs *http.Server) { hs.MaxHeaderValueCount = math.MaxInt32 }
