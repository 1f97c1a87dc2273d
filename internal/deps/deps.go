// Package deps pins the libraries of the first round, until the packages that
// use them have landed.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go" // pinned
	_ "github.com/Shopify/toxiproxy/v2"         // pinned
	_ "github.com/anishathalye/porcupine"       // pinned
	_ "github.com/google/uuid"                  // pinned
	_ "github.com/hashicorp/yamux"              // pinned
	_ "github.com/integrii/flaggy"              // pinned
	_ "github.com/kataras/iris/v12"             // pinned
	_ "github.com/pelletier/go-toml/v2"         // pinned
	_ "github.com/samber/oops"                  // pinned
	_ "github.com/uber-go/tally/v4"             // pinned
	_ "github.com/uber-go/tally/v4/prometheus"  // pinned
	_ "go.uber.org/goleak"                      // pinned
	_ "golang.org/x/crypto/hkdf"                // pinned
	_ "golang.org/x/sync/errgroup"              // pinned
	_ "golang.org/x/time/rate"                  // pinned
	_ "gonum.org/v1/gonum/stat"                 // pinned
	_ "gonum.org/v1/plot"                       // pinned
	_ "gonum.org/v1/plot/vg/vgsvg"              // pinned
	_ "gotest.tools/v3/assert"                  // pinned
	_ "pgregory.net/rapid"                      // pinned
)
