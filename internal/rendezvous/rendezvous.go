// Package rendezvous ranks VMs for a key by highest-random-weight hashing, so
// that VMs with the same view agree without a message, and a change of one VM
// moves only that VM's keys.
//
// # Usage
//
//	ranked := rendezvous.Rank("cell/rapportmodel/0", fleet.Serving())
//	owner := ranked[0]
//	home, backup := rendezvous.Pair(key, fleet.Serving())
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"alderdyke/internal/board"
)

// Rank returns the VMs from most to least preferred for the key.
func Rank(key string, vms []board.VM) []board.VM {
	type scored struct {
		vm    board.VM
		score uint64
	}
	all := make([]scored, len(vms))
	for ix, vm := range vms {
		all[ix] = scored{vm, weight(vm.ID, key)}
	}
	slices.SortFunc(all, func(sa, sb scored) int {
		return cmp.Or(cmp.Compare(sb.score, sa.score), cmp.Compare(sa.vm.ID, sb.vm.ID))
	})
	out := make([]board.VM, len(all))
	for ix, sc := range all {
		out[ix] = sc.vm
	}
	return out
}

// Pair returns the home VM of the key and its backup: the most preferred VM
// of another failure domain than the home's. When one VM or one whole failure
// domain joins or goes, the pair before and the pair after share a VM. The
// backup is the zero VM if only one failure domain is left.
func Pair(key string, vms []board.VM) (home, backup board.VM) {
	ranked := Rank(key, vms)
	if len(ranked) == 0 {
		return board.VM{}, board.VM{}
	}
	home = ranked[0]
	for _, vm := range ranked[1:] {
		if vm.FailureDomain != home.FailureDomain {
			return home, vm
		}
	}
	return home, board.VM{}
}

// Subset picks up to most of the servers for the VM with the given ID, so that
// VMs spread over all of them and each keeps its own when others come and go.
func Subset(vmID string, servers []board.BackendServer, most int) []board.BackendServer {
	if len(servers) <= most {
		return servers
	}
	out := slices.Clone(servers)
	slices.SortFunc(out, func(sa, sb board.BackendServer) int {
		return cmp.Or(cmp.Compare(weight(sb.ID, vmID), weight(sa.ID, vmID)), cmp.Compare(sa.ID, sb.ID))
	})
	return out[:most]
}

func weight(id, key string) uint64 { return xxhash.Sum64String(id + "\x00" + key) }
