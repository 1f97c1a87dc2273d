package fleet

import (
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/rendezvous"
)

// Addresses lists the addresses of other VMs that callers may connect to, up to
// limit of them.
//
// Callers use a limited number of addresses and choose among them at random. If
// every VM returned the same ones, the first 63 of 295 VMs would get nearly all
// callers, and those may be in one or two failure domains. Each VM therefore ranks
// the others by its own ID and takes equally many from each failure domain, starting
// with its own, so the loss of a failure domain costs any caller only that domain's
// share of its addresses. A VM's selection stays the same while the fleet does,
// because callers close connections to addresses that are no longer listed.
func (mb *Member) Addresses(limit int) []string {
	return selectAddresses(mb.Self, mb.View().VMs, limit)
}

func selectAddresses(self board.VM, vms []board.VM, limit int) []string {
	var fit []board.VM
	for _, vm := range vms {
		if vm.ID != self.ID && vm.Health == board.Alive && !vm.Leaving && vm.Caller != "" {
			fit = append(fit, vm)
		}
	}
	byDomain := make(map[string][]board.VM)
	domains := []string{self.FailureDomain}
	for _, vm := range rendezvous.Rank(self.ID, fit) {
		if !slices.Contains(domains, vm.FailureDomain) {
			domains = append(domains, vm.FailureDomain)
		}
		byDomain[vm.FailureDomain] = append(byDomain[vm.FailureDomain], vm)
	}
	out := make([]string, 0, min(limit, len(fit)))
	for round := 0; len(out) < min(limit, len(fit)); round++ {
		for _, domain := range domains {
			if round < len(byDomain[domain]) && len(out) < limit {
				out = append(out, byDomain[domain][round].Caller)
			}
		}
	}
	return out
}
