// Package rendezvous ranks VMs for a key by highest-random-weight hashing, so
// that VMs with the same fleet snapshot agree without exchanging messages, and
// adding or removing a VM moves only that VM's keys.
//
// # Usage
//
//	ranked := rendezvous.Rank("cell/rapportmodel/0", fleet.Serving())
//	owner := ranked[0]
//	some := rendezvous.Spread(key, fleet.Serving(), 3)
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"alderdyke/internal/board"
)

// Rank returns the VMs in order of preference for the key, the most preferred first.
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

// First returns the most preferred of the VMs that fit accepts, without ranking
// the others; false if it accepts none.
func First(key string, vms []board.VM, fit func(vm *board.VM) bool) (board.VM, bool) {
	best, bestScore := -1, uint64(0)
	var buf hashBuffer
	for ix := range vms {
		if !fit(&vms[ix]) {
			continue
		}
		score := buf.weight(vms[ix].ID, key)
		if best < 0 || score > bestScore || score == bestScore && vms[ix].ID < vms[best].ID {
			best, bestScore = ix, score
		}
	}
	if best < 0 {
		return board.VM{}, false
	}
	return vms[best], true
}

// Top returns up to count of the VMs that fit accepts, in the order of Rank.
// It does not rank the rest.
func Top(key string, vms []board.VM, count int, fit func(vm *board.VM) bool) []board.VM {
	type scored struct {
		at    int
		score uint64
	}
	before := func(sa, sb scored) int {
		return cmp.Or(cmp.Compare(sb.score, sa.score), cmp.Compare(vms[sa.at].ID, vms[sb.at].ID))
	}
	top := make([]scored, 0, count+1)
	var buf hashBuffer
	for ix := range vms {
		if !fit(&vms[ix]) {
			continue
		}
		sc := scored{ix, buf.weight(vms[ix].ID, key)}
		if len(top) == count && (count == 0 || before(sc, top[count-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, sc, before)
		top = slices.Insert(top, at, sc)
		top = top[:min(count, len(top))]
	}
	out := make([]board.VM, 0, len(top))
	for _, sc := range top {
		out = append(out, vms[sc.at])
	}
	return out
}

// Spread returns up to count VMs: the most preferred of each failure domain, in
// order of preference, and if there are fewer domains than count, the most
// preferred of the remaining VMs. It scans the VMs a few times and ranks none.
func Spread(key string, vms []board.VM, count int) []board.VM {
	scores := make([]uint64, len(vms))
	var buf hashBuffer
	for ix := range vms {
		scores[ix] = buf.weight(vms[ix].ID, key)
	}
	out := make([]board.VM, 0, count)
	apart := func(vm *board.VM) bool {
		return !slices.ContainsFunc(out, func(other board.VM) bool { return other.FailureDomain == vm.FailureDomain })
	}
	fresh := func(vm *board.VM) bool {
		return !slices.ContainsFunc(out, func(other board.VM) bool { return other.ID == vm.ID })
	}
	for _, fit := range []func(*board.VM) bool{apart, fresh} {
		for len(out) < count {
			best := bestOf(vms, scores, fit)
			if best < 0 {
				break
			}
			out = append(out, vms[best])
		}
	}
	return out
}

// Bucket assigns a VM to one of count buckets for the key.
func Bucket(key, vmID string, count int) int { return int(weight(vmID, key) % uint64(count)) }

// bestOf returns the index of the VM with the highest score among those that fit
// accepts; -1 if there is none. Ties go to the lower ID, as in Rank.
func bestOf(vms []board.VM, scores []uint64, fit func(vm *board.VM) bool) int {
	best := -1
	for ix := range vms {
		if best >= 0 && (scores[ix] < scores[best] || scores[ix] == scores[best] && vms[ix].ID > vms[best].ID) {
			continue
		}
		if fit(&vms[ix]) {
			best = ix
		}
	}
	return best
}

// Subset returns up to most of the servers for the VM with the given ID. The
// subsets of the VMs spread over all servers, and each VM keeps its own servers
// when others are added or removed.
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

func weight(id, key string) uint64 {
	var buf hashBuffer
	return buf.weight(id, key)
}

// hashBuffer is reused between hashes to avoid an allocation for each VM.
type hashBuffer []byte

func (sc *hashBuffer) weight(id, key string) uint64 {
	*sc = append(append(append((*sc)[:0], id...), 0), key...)
	return xxhash.Sum64(*sc)
}
