package fleet

import (
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/rendezvous"
)

// Addresses lists where callers may connect besides this VM, at most so many.
//
// Callers use a bounded number of addresses and choose among them by chance. If
// all VMs named the same ones, of 295 the first 63 would have nearly all
// callers, and be in one or two failure domains. So each VM names others, as its
// own ID ranks them, and as many of each failure domain as of the next, its own
// first: what is lost with a domain is one in as many as there are domains of
// what any caller knows. A VM's choice stays while the fleet does, since callers
// leave connections to addresses that they are not told again.
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
