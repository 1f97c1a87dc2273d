package fleet

import (
	"context"
	"net/netip"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/quota"
	"alderdyke/internal/rendezvous"
	"alderdyke/pkg/clock"
)

// keeperRankKey is the rendezvous key by which VMs are ranked as keepers.
const keeperRankKey = "quotas"

// keepers holds the ID of the VM that keeps each shard of the customers' quotas, by shard.
type keepers [quota.Shards]string

// selectKeepers selects the keepers from a view of the fleet. Each VM is a candidate for
// one shard only, so that the loss of a keeper moves no other shard. VMs with different
// views may select different keepers, but a keeper grants only from the parts that VMs
// have lent it.
func selectKeepers(view *board.Fleet) *keepers {
	fit := eligible(view)
	var ks keepers
	for ix := range ks {
		vm, _ := rendezvous.First(keeperRankKey, view.VMs, func(vm *board.VM) bool {
			return fit(vm) && rendezvous.Bucket(keeperRankKey, vm.ID, quota.Shards) == ix
		})
		ks[ix] = vm.ID
	}
	top := rendezvous.Top(keeperRankKey, view.VMs, quota.Shards, fit)
	for ix := range ks {
		if ks[ix] == "" {
			ks[ix] = ks.substitute(top)
		}
	}
	return &ks
}

// substitute returns the VM that keeps a shard without candidates: the highest-ranked VM
// that keeps no other shard, or else the highest-ranked one; empty if there is none.
func (ks keepers) substitute(top []board.VM) string {
	for _, vm := range top {
		if !slices.Contains(ks[:], vm.ID) {
			return vm.ID
		}
	}
	if len(top) == 0 {
		return ""
	}
	return top[0].ID
}

// Keepers returns the ID of the VM that keeps each shard of the customers' quotas; empty
// IDs before this VM has joined the fleet.
func (mb *Member) Keepers() [quota.Shards]string {
	fl := mb.currentFleet()
	if fl == nil {
		return keepers{}
	}
	if ks := fl.keepers.Load(); ks != nil {
		return *ks
	}
	return keepers{}
}

// VMs returns the number of VMs that have not left as planned, dead ones included,
// because no other VM may use their parts of the customers' limits. It is 0 before this
// VM has joined the fleet. The count is cached for each view, since every request calls VMs.
func (mb *Member) VMs() int {
	view := mb.View()
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.fleet == nil {
		return 0
	}
	if mb.countedView != view {
		mb.countedView, mb.vmCount = view, mb.countVMs(view)
	}
	return mb.vmCount
}

// countVMs counts the VMs of a view, and those that are listed but not in it yet. The
// lock is held.
func (mb *Member) countVMs(view *board.Fleet) int {
	count := 0
	for _, vm := range view.VMs {
		if vm.Health != board.Left {
			count++
		}
	}
	for name := range mb.listed {
		if _, seen := view.VM(name); !seen {
			count++
		}
	}
	return count
}

// AskQuota sends a quota request to a keeper and waits for the response.
func (mb *Member) AskQuota(ctx context.Context, vm string, ask quota.Request) (quota.Response, error) {
	fl, to, err := mb.resolvePeer(vm)
	if err != nil {
		return quota.Response{}, err
	}
	return fl.quotaRequests.call(ctx, func(number uint64) error {
		return fl.peers.SendDatagram(to, quotaRequestToWire(number, ask))
	})
}

// TellQuota sends a keeper a request that needs no response.
func (mb *Member) TellQuota(vm string, ask quota.Request) {
	if fl, to, err := mb.resolvePeer(vm); err == nil {
		_ = fl.peers.SendDatagram(to, quotaRequestToWire(0, ask)) // tokens in a lost message were the customer's and are refilled
	}
}

// resolvePeer returns the fleet, and the VM with an ID as the fleet's current view has it.
func (mb *Member) resolvePeer(vm string) (*Fleet, board.VM, error) {
	fl := mb.currentFleet()
	if fl == nil {
		return nil, board.VM{}, errNotJoined
	}
	to, ok := fl.View().VM(vm)
	if !ok {
		return nil, board.VM{}, errUnknownVM
	}
	return fl, to, nil
}

// handleQuotaRequest answers a quota request at the address that it came from. A request
// with number 0 needs no response.
func (fl *Fleet) handleQuotaRequest(dg *peerpb.Datagram, from netip.AddrPort) {
	if fl.OnQuotaRequest == nil {
		return
	}
	qa := dg.GetQuotaAsk()
	if qa.GetShard() >= quota.Shards {
		return
	}
	ans := fl.OnQuotaRequest(dg.GetFrom(), dg.GetIncarnation(), quotaRequestFromWire(qa))
	if qa.GetNumber() == 0 {
		return
	}
	to := board.VM{VMRef: board.VMRef{ID: dg.GetFrom()}, Peer: from.String()}
	_ = fl.peers.SendDatagram(to, quotaResponseToWire(qa.GetNumber(), ans)) // the requesting VM continues without it
}

func quotaRequestToWire(number uint64, ask quota.Request) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_QuotaAsk{QuotaAsk: &peerpb.QuotaAsk{
		Number: number, Shard: uint32(ask.Shard), Serial: ask.Sequence, Keeper: ask.KeeperID, Heard: uint64(max(0, ask.KeeperTime)),
		Customer: ask.Customer, Need: ask.Need, Ahead: ask.Credit, Back: ask.Returned, Release: ask.Release, Slack: ask.LendsSlack,
		Server: ask.Server, Rate: ask.Rate, Reserve: ask.Reserve, Spent: ask.Spent,
		Book: ask.Booking, Whole: ask.Whole, ReturnWithin: millisToWire(max(0, ask.ReturnWithin)), Returning: ask.Returning}}}
}

// quotaRequestFromWire decodes a request. Invalid numbers of tokens become 0, and so does a
// time that no caller honours.
func quotaRequestFromWire(qa *peerpb.QuotaAsk) quota.Request {
	within := clock.Millis(qa.GetReturnWithin())
	if within > maxPlanned {
		within = 0
	}
	return quota.Request{Shard: int(qa.GetShard()), Sequence: qa.GetSerial(), KeeperID: qa.GetKeeper(), KeeperTime: clock.Millis(qa.GetHeard()), Customer: qa.GetCustomer(),
		Need: nonNegative(qa.GetNeed()), Credit: nonNegative(qa.GetAhead()), Returned: nonNegative(qa.GetBack()),
		Release: qa.GetRelease(), LendsSlack: qa.GetSlack(),
		Server: qa.GetServer(), Rate: nonNegative(qa.GetRate()), Reserve: nonNegative(qa.GetReserve()), Spent: nonNegative(qa.GetSpent()),
		Booking: qa.GetBook(), Whole: nonNegative(qa.GetWhole()), ReturnWithin: within, Returning: qa.GetReturning()}
}

func quotaResponseToWire(number uint64, ans quota.Response) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_QuotaAnswer{QuotaAnswer: &peerpb.QuotaAnswer{
		Number: number, Keeper: ans.KeeperID, Time: uint64(max(0, ans.Time)), Known: ans.Known, Granted: ans.Granted,
		Credit: ans.Credit, Wait: uint32(max(0, ans.Wait)), Owes: ans.InDebt, ReturnAfter: millisToWire(max(0, ans.ReturnAfter)),
		Booked: ans.Booked}}}
}

func quotaResponseFromWire(qa *peerpb.QuotaAnswer) quota.Response {
	return quota.Response{KeeperID: qa.GetKeeper(), Time: clock.Millis(qa.GetTime()), Known: qa.GetKnown(), Granted: qa.GetGranted(),
		Credit: nonNegative(qa.GetCredit()), Wait: clock.Millis(qa.GetWait()), InDebt: qa.GetOwes(), ReturnAfter: clock.Millis(qa.GetReturnAfter()),
		Booked: qa.GetBooked()}
}

// nonNegative returns a number of tokens, or 0 if it is negative or NaN.
func nonNegative(val float64) float64 {
	if val >= 0 { // false for negative numbers and for NaN
		return val
	}
	return 0
}
