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

// Ranks of an address; a lower rank is better.
const (
	rankNear = iota
	rankFar
	rankSuspect
)

// addressesBody is the response to a caller that requests the addresses of VMs.
type addressesBody struct {
	Addresses []Address
	KeepFor   clock.Millis
	Key       string // a new request key, for a caller that has none of its own
}

// Candidates lists the VMs of a fleet that callers may be sent to, without those that
// leave. VMs that are alive in this VM's own region rank best, then those of other
// regions, then suspected ones. A VM that reaches only a minority of the fleet can't
// distinguish dead VMs from those beyond a partition, where the majority may be: it
// ranks those that it can't reach best.
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

// addresses serves the list of VMs that the caller should use.
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

// pickAddresses picks at most the given number of addresses for the caller with the
// given key. Within a rank they are ordered by a hash, so that callers spread evenly,
// and failure domains alternate, so that the loss of one does not take all of a
// caller's addresses.
func pickAddresses(list []Address, key string, most int) []Address {
	type place struct {
		addr Address
		hash uint64
		turn int // position among the addresses of its failure domain
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
