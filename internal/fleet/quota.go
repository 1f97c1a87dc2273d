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

// keeperRankKey ranks the VMs for keeping the customers' quotas.
const keeperRankKey = "quotas"

// keepers is the VM that keeps each shard of the customers' quotas.
type keepers [quota.Shards]string

// selectKeepers chooses by a view of the fleet. Each VM stands for one shard only, so that
// the loss of a keeper moves no other shard. VMs whose views differ may choose
// different keepers: what those give out is the parts that they were lent.
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

// substitute is the VM that keeps a shard which no VM stands for: the most preferred
// one that keeps no other, or else the most preferred one; empty: there is none.
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

// Keepers is the VM that keeps each shard of the customers' quotas; empty before this
// VM has joined the others.
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

// VMs is how many VMs there are that have not left as planned, also those that are
// dead for now: their parts of the customers' limits are nobody else's. It is 0
// before this VM has joined the others, and is asked for with each request.
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

// countVMs counts the VMs of a view, and those that are listed and not in it yet. The
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

// AskQuota asks a VM as the keeper of the customers' quotas.
func (mb *Member) AskQuota(ctx context.Context, vm string, ask quota.Request) (quota.Response, error) {
	fl, to, err := mb.resolvePeer(vm)
	if err != nil {
		return quota.Response{}, err
	}
	return fl.quotaRequests.call(ctx, func(number uint64) error {
		return fl.peers.SendDatagram(to, quotaRequestToWire(number, ask))
	})
}

// TellQuota tells it what needs no answer.
func (mb *Member) TellQuota(vm string, ask quota.Request) {
	if fl, to, err := mb.resolvePeer(vm); err == nil {
		_ = fl.peers.SendDatagram(to, quotaRequestToWire(0, ask)) // what is lost was the customer's, and comes in anew
	}
}

// resolvePeer finds a VM that this one sees.
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

// handleQuotaRequest answers an ask, to where it came from.
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
	_ = fl.peers.SendDatagram(to, quotaResponseToWire(qa.GetNumber(), ans)) // the asker goes on without it
}

func quotaRequestToWire(number uint64, ask quota.Request) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_QuotaAsk{QuotaAsk: &peerpb.QuotaAsk{
		Number: number, Shard: uint32(ask.Shard), Serial: ask.Sequence, Keeper: ask.KeeperID, Heard: uint64(max(0, ask.KeeperTime)),
		Customer: ask.Customer, Need: ask.Need, Ahead: ask.Credit, Back: ask.Returned, Release: ask.Release, Slack: ask.LendsSlack}}}
}

// quotaRequestFromWire reads an ask. What is no number of tokens is none.
func quotaRequestFromWire(qa *peerpb.QuotaAsk) quota.Request {
	return quota.Request{Shard: int(qa.GetShard()), Sequence: qa.GetSerial(), KeeperID: qa.GetKeeper(), KeeperTime: clock.Millis(qa.GetHeard()), Customer: qa.GetCustomer(),
		Need: nonNegative(qa.GetNeed()), Credit: nonNegative(qa.GetAhead()), Returned: nonNegative(qa.GetBack()),
		Release: qa.GetRelease(), LendsSlack: qa.GetSlack()}
}

func quotaResponseToWire(number uint64, ans quota.Response) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_QuotaAnswer{QuotaAnswer: &peerpb.QuotaAnswer{
		Number: number, Keeper: ans.KeeperID, Time: uint64(max(0, ans.Time)), Known: ans.Known, Granted: ans.Granted,
		Credit: ans.Credit, Wait: uint32(max(0, ans.Wait)), Owes: ans.InDebt}}}
}

func quotaResponseFromWire(qa *peerpb.QuotaAnswer) quota.Response {
	return quota.Response{KeeperID: qa.GetKeeper(), Time: clock.Millis(qa.GetTime()), Known: qa.GetKnown(), Granted: qa.GetGranted(),
		Credit: nonNegative(qa.GetCredit()), Wait: clock.Millis(qa.GetWait()), InDebt: qa.GetOwes()}
}

// nonNegative reads a number of tokens.
func nonNegative(val float64) float64 {
	if val >= 0 { // neither below zero nor not a number
		return val
	}
	return 0
}
