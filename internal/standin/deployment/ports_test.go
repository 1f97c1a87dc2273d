package deployment

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// Ports are chosen long before VMs listen on them, and deployments of one
// process start concurrently, so the same port must never be returned twice.
func TestPortsAreAllocatedOnce(t *testing.T) {
	seen := make(map[netip.AddrPort]bool)
	for range 400 {
		ports, err := freePorts(3)
		assert.NilError(t, err)
		for _, ap := range ports {
			assert.Assert(t, !seen[ap], "%s was returned twice", ap)
			seen[ap] = true
		}
	}
}
