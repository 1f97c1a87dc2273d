package ingress_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/ingress"
)

func TestShares(t *testing.T) {
	for _, tc := range []struct {
		rs          ingress.Resources
		share       float64
		connections int
		heads       int64
	}{
		{ingress.Resources{Descriptors: 4200, Memory: 1 << 40}, 0.25, 1000, 1 << 35},
		{ingress.Resources{Descriptors: 4200, Memory: 80 << 20}, 0.5, 320, 5 << 20},
		{ingress.Resources{Descriptors: 100, Memory: 80 << 20}, 0.5, 1, 5 << 20},
		{ingress.Resources{Descriptors: 1200}, 0.5, 500, 32 << 20},
		{ingress.Resources{Memory: 80 << 20}, 0.5, 320, 5 << 20},
		{ingress.Resources{Memory: 24 << 20}, 0.5, 24, 24 << 20 / 16}, // less than the process takes by itself
	} {
		assert.Equal(t, tc.rs.Connections(tc.share), tc.connections, "%+v", tc)
		assert.Equal(t, tc.rs.HeadMemory(tc.share), tc.heads, "%+v", tc)
	}
	own, err := ingress.Descriptors()
	assert.NilError(t, err)
	assert.Assert(t, own > 0)
}
