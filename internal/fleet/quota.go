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

// rankKeepers ranks the VMs for keeping the customers' quotas.
const rankKeepers = "quotas"

// keepers is the VM that keeps each shard of the customers' quotas.
type keepers [quota.Shards]string

// keepersOf chooses by a view of the fleet. Each VM stands for one shard only, so that
// the loss of a keeper moves no other shard. VMs whose views differ may choose
// different keepers: what those give out is the parts that they were lent.
func keepersOf(view *board.Fleet) *keepers {
	fit := mayServeAll(view)
	var ks keepers
	for ix := range ks {
		vm, _ := rendezvous.First(rankKeepers, view.VMs, func(vm *board.VM) bool {
			return fit(vm) && rendezvous.Bucket(rankKeepers, vm.ID, quota.Shards) == ix
		})
		ks[ix] = vm.ID
	}
	top := rendezvous.Top(rankKeepers, view.VMs, quota.Shards, fit)
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
func (ne *Neighbours) Keepers() [quota.Shards]string {
	fl := ne.joined()
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
func (ne *Neighbours) VMs() int {
	view := ne.View()
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.fleet == nil {
		return 0
	}
	if ne.sized != view {
		ne.sized, ne.size = view, ne.sizeIn(view)
	}
	return ne.size
}

// sizeIn counts the VMs of a view, and those that are listed and not in it yet. The
// lock is held.
func (ne *Neighbours) sizeIn(view *board.Fleet) int {
	count := 0
	for _, vm := range view.VMs {
		if vm.Health != board.Left {
			count++
		}
	}
	for name := range ne.listed {
		if _, seen := view.VM(name); !seen {
			count++
		}
	}
	return count
}

// AskQuota asks a VM as the keeper of the customers' quotas.
func (ne *Neighbours) AskQuota(ctx context.Context, vm string, ask quota.Request) (quota.Response, error) {
	fl, to, err := ne.peer(vm)
	if err != nil {
		return quota.Response{}, err
	}
	return fl.quotaAsks.await(ctx, func(number uint64) error {
		return fl.peers.Datagram(to, quotaAskToWire(number, ask))
	})
}

// TellQuota tells it what needs no answer.
func (ne *Neighbours) TellQuota(vm string, ask quota.Request) {
	if fl, to, err := ne.peer(vm); err == nil {
		_ = fl.peers.Datagram(to, quotaAskToWire(0, ask)) // what is lost was the customer's, and comes in anew
	}
}

// peer finds a VM that this one sees.
func (ne *Neighbours) peer(vm string) (*Fleet, board.VM, error) {
	fl := ne.joined()
	if fl == nil {
		return nil, board.VM{}, errNotJoined
	}
	to, ok := fl.View().VM(vm)
	if !ok {
		return nil, board.VM{}, errUnknownVM
	}
	return fl, to, nil
}

// heardQuotaAsk answers an ask, to where it came from.
func (fl *Fleet) heardQuotaAsk(dg *peerpb.Datagram, from netip.AddrPort) {
	if fl.Quota == nil {
		return
	}
	qa := dg.GetQuotaAsk()
	if qa.GetShard() >= quota.Shards {
		return
	}
	ans := fl.Quota(dg.GetFrom(), dg.GetIncarnation(), quotaAskFromWire(qa))
	if qa.GetNumber() == 0 {
		return
	}
	to := board.VM{VMRef: board.VMRef{ID: dg.GetFrom()}, Peer: from.String()}
	_ = fl.peers.Datagram(to, quotaAnswerToWire(qa.GetNumber(), ans)) // the asker goes on without it
}

func quotaAskToWire(number uint64, ask quota.Request) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_QuotaAsk{QuotaAsk: &peerpb.QuotaAsk{
		Number: number, Shard: uint32(ask.Shard), Serial: ask.Sequence, Keeper: ask.KeeperID, Heard: uint64(max(0, ask.KeeperTime)),
		Customer: ask.Customer, Need: ask.Need, Ahead: ask.Credit, Back: ask.Returned, Release: ask.Release, Slack: ask.LendsSlack}}}
}

// quotaAskFromWire reads an ask. What is no number of tokens is none.
func quotaAskFromWire(qa *peerpb.QuotaAsk) quota.Request {
	return quota.Request{Shard: int(qa.GetShard()), Sequence: qa.GetSerial(), KeeperID: qa.GetKeeper(), KeeperTime: clock.Millis(qa.GetHeard()), Customer: qa.GetCustomer(),
		Need: tokensOf(qa.GetNeed()), Credit: tokensOf(qa.GetAhead()), Returned: tokensOf(qa.GetBack()),
		Release: qa.GetRelease(), LendsSlack: qa.GetSlack()}
}

func quotaAnswerToWire(number uint64, ans quota.Response) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_QuotaAnswer{QuotaAnswer: &peerpb.QuotaAnswer{
		Number: number, Keeper: ans.KeeperID, Time: uint64(max(0, ans.Time)), Known: ans.Known, Granted: ans.Granted,
		Credit: ans.Credit, Wait: uint32(max(0, ans.Wait)), Owes: ans.InDebt}}}
}

func quotaAnswerFromWire(qa *peerpb.QuotaAnswer) quota.Response {
	return quota.Response{KeeperID: qa.GetKeeper(), Time: clock.Millis(qa.GetTime()), Known: qa.GetKnown(), Granted: qa.GetGranted(),
		Credit: tokensOf(qa.GetCredit()), Wait: clock.Millis(qa.GetWait()), InDebt: qa.GetOwes()}
}

// tokensOf reads a number of tokens.
func tokensOf(val float64) float64 {
	if val >= 0 { // neither below zero nor not a number
		return val
	}
	return 0
}
