package caller

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// Ranks of an address; a lower one is better.
const (
	rankNear = iota
	rankFar
	rankSuspect
)

// addressesBody is the answer to a caller that asks which VMs to use.
type addressesBody struct {
	Addresses []Address
	KeepFor   clock.Millis
	Key       string // a fresh request key, for a caller that has none of its own
}

// Candidates lists the VMs of a fleet that callers may be sent to; none that
// leaves. Those that are alive in this VM's own region rank best, then the
// other regions', then those in doubt. A VM that reaches only a minority of
// the fleet can't tell dead VMs from those beyond a partition, where the
// majority may be: it ranks those that it can't reach best.
func Candidates(fl *board.Fleet) []Address {
	self, _ := fl.VM(fl.Self.ID)
	var list []Address
	for _, vm := range fl.VMs {
		rank, ok := rankOf(vm, self.Region, fl.Quorate)
		if ok && !vm.Leaving && vm.Caller != "" {
			list = append(list, Address{Address: vm.Caller, FailureDomain: vm.FailureDomain, Rank: rank})
		}
	}
	return list
}

func rankOf(vm board.VM, region string, quorate bool) (rank int, ok bool) {
	switch {
	case vm.Health == board.Alive && quorate && vm.Region == region:
		return rankNear, true
	case vm.Health == board.Alive:
		return rankFar, true
	case vm.Health == board.Suspect && quorate:
		return rankSuspect, true
	case vm.Health == board.Suspect, vm.Health == board.Dead && vm.Listed && !quorate:
		return rankNear, true
	default:
		return 0, false
	}
}

// addresses answers which VMs to use.
func (srv *Server) addresses(wr http.ResponseWriter, req *http.Request) {
	if _, err := srv.authenticate(req); err != nil {
		srv.refuse(wr, "", err)
		return
	}
	list, keepFor := srv.Runner.Addresses()
	key := newKey()
	body, err := json.Marshal(addressesBody{
		Addresses: pickAddresses(list, key, srv.limits.Addresses), KeepFor: keepFor, Key: key,
	})
	if err != nil {
		srv.refuse(wr, "", err)
		return
	}
	hd := wr.Header()
	hd.Set("Content-Type", "application/json")
	hd.Set("Cache-Control", "no-store")
	srv.writeWhole(wr, http.StatusOK, body)
}

// pickAddresses picks up to most addresses for the caller with the given key. Within
// a rank they are ordered by a hash, so that callers pickAddresses evenly, and the
// failure domains take turns, so that one that is lost does not take all of
// a caller's addresses.
func pickAddresses(list []Address, key string, most int) []Address {
	type place struct {
		addr Address
		hash uint64
		turn int
	}
	pool := make([]place, len(list))
	for ix, addr := range list {
		pool[ix] = place{addr: addr, hash: xxhash.Sum64String(key + addr.Address)}
	}
	slices.SortFunc(pool, func(pa, pb place) int {
		return cmp.Or(cmp.Compare(pa.addr.Rank, pb.addr.Rank), cmp.Compare(pa.hash, pb.hash))
	})
	taken := map[string]int{} // addresses so far, by failure domain
	for ix := range pool {
		domain := pool[ix].addr.FailureDomain
		pool[ix].turn = taken[domain]
		taken[domain]++
	}
	slices.SortStableFunc(pool, func(pa, pb place) int {
		return cmp.Or(cmp.Compare(pa.addr.Rank, pb.addr.Rank), cmp.Compare(pa.turn, pb.turn))
	})
	out := make([]Address, min(len(pool), most))
	for ix := range out {
		out[ix] = pool[ix].addr
	}
	return out
}
