package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/board"
)

// largeFleet returns VMs in failure domains of about the same size.
func largeFleet(count, domains int) []board.VM {
	out := make([]board.VM, 0, count)
	for ix := range count {
		domain := fmt.Sprintf("d%d", ix%domains)
		out = append(out, board.VM{VMRef: board.VMRef{ID: fmt.Sprintf("%s-%03d", domain, ix/domains), Incarnation: 1},
			FailureDomain: domain, Caller: fmt.Sprintf("%s:%d", domain, ix)})
	}
	return out
}

// Each VM is in exactly one group, and so is one that the sender does not know. Neither
// the sender nor a forwarding VM sends more messages than twice the square root of the
// fleet, apart from one more group for each failure domain.
func TestGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 9).Draw(t, "domains")
		vms := largeFleet(rapid.IntRange(1, 1000).Draw(t, "vms"), domains)
		all := groupsOf(vms)
		seen := make(map[string]int)
		for _, gr := range all {
			for _, vm := range gr.vms {
				seen[vm.ID]++
				assert.Assert(t, inGroup(gr.wire, vm))
			}
			assert.Assert(t, len(gr.vms) > 0 && len(gr.vms)*len(gr.vms) <= 4*len(vms)+4, "%d of %d", len(gr.vms), len(vms))
		}
		assert.Equal(t, len(seen), len(vms))
		more := max(0, len(all)-domains)
		assert.Assert(t, more*more <= 4*len(vms)+4, "%d groups of %d", len(all), len(vms))
		stranger := board.VM{VMRef: board.VMRef{ID: fmt.Sprintf("d0-%03d", rapid.IntRange(0, 999).Draw(t, "id"))}, FailureDomain: "d0"}
		in := 0
		for _, gr := range all {
			if inGroup(gr.wire, stranger) {
				in++
			}
		}
		assert.Equal(t, in, 1)
	})
}

// In a large fleet each VM lists others, equally many of each failure domain, so that
// callers spread over all VMs and lose few addresses with a failure domain.
func TestAddressesSpread(t *testing.T) {
	const most = 63
	vms := largeFleet(295, 6)
	named := make(map[string]int)
	for _, self := range vms {
		list := selectAddresses(self, vms, most)
		assert.Equal(t, len(list), most)
		perDomain := make(map[string]int)
		seen := make(map[string]bool)
		for _, address := range list {
			assert.Assert(t, !seen[address] && address != self.Caller)
			seen[address] = true
			named[address]++
			perDomain[address[:2]]++
		}
		for domain, count := range perDomain {
			assert.Assert(t, count >= most/6 && count <= most/6+1, "%s has %d of %d", domain, count, most)
		}
		assert.DeepEqual(t, list, selectAddresses(self, vms, most))
	}
	for _, vm := range vms {
		count := named[vm.Caller]
		assert.Assert(t, count >= most/2 && count <= 2*most, "%s is named by %d of 294", vm.ID, count)
	}
}

// The selection stays nearly the same when other VMs fail or leave, and contains no VM
// that is leaving or not alive.
func TestAddressesAreStable(t *testing.T) {
	vms := largeFleet(295, 6)
	before := selectAddresses(vms[0], vms, 63)
	vms[17].Leaving, vms[18].Health, vms[19].Health = true, board.Dead, board.Suspect
	stay := 0
	for _, address := range selectAddresses(vms[0], vms, 63) {
		for _, gone := range vms[17:20] {
			assert.Assert(t, address != gone.Caller)
		}
		for _, other := range before {
			if other == address {
				stay++
			}
		}
	}
	assert.Assert(t, stay >= 60, "%d of 63 stay", stay)
}

// In a small fleet each VM lists all others.
func TestAddressesOfASmallFleet(t *testing.T) {
	vms := largeFleet(7, 4)
	assert.Equal(t, len(selectAddresses(vms[0], vms, 63)), 6)
	assert.Equal(t, len(selectAddresses(vms[0], vms[:1], 63)), 0)
}
