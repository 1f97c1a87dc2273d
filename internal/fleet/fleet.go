// Package fleet maintains one VM's view of the other VMs: which of them are alive,
// which are leaving and at which addresses callers reach them. It connects membership,
// which makes these decisions, with the transport between VMs.
//
// # Usage
//
//	fl := &fleet.Fleet{Self: self, Secret: secret, Rand: rng, Log: lg}
//	go fl.Run(ctx)
//	fl.SetListed(ctx, listed)
//	for _, vm := range fl.View().VMs { ... }
//	fl.Leave(ctx)
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/actor"
	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/explain"
	"alderdyke/internal/limit"
	"alderdyke/internal/membership"
	"alderdyke/internal/origin"
	"alderdyke/internal/overload"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/quota"
	"alderdyke/internal/registry"
	"alderdyke/internal/suspect"
	"alderdyke/internal/topic"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// maxTickInterval is the longest time between two membership steps.
const maxTickInterval = 100 * clock.Millis(1)

// Fleet is one VM's view of the other VMs. Set the exported fields before Run.
type Fleet struct {
	Self     board.VM // Peer is the address that it listens on
	Secret   []byte
	Rand     *rand.Rand
	Settings membership.Settings
	Clock    clock.Source
	Log      event.Logger
	Scope    tally.Scope
	// OnUsage receives another VM's usage report; nil drops it.
	OnUsage func(vm string, rp usage.Report)
	// OnPlacementRequest selects engines for a request of another VM; nil ignores
	// placement requests.
	OnPlacementRequest func(vm string, ask usage.PlacementRequest) usage.PlacementReply
	// OnLatePlacementRequest is called for each placement request that is dropped because
	// its sender will have stopped waiting; nil counts none.
	OnLatePlacementRequest func()
	// OnQuotaRequest answers a request of another VM, which has the given
	// incarnation, as a keeper of the customers' quotas; nil ignores quota requests.
	OnQuotaRequest func(vm string, incarnation uint64, ask quota.Request) quota.Response
	// OnOriginRequest answers a request for the software version at which a stream
	// began; nil ignores such requests.
	OnOriginRequest func(rq origin.Request) origin.Reply
	// OnServerRequest chooses a plain server for a request of another VM; nil ignores
	// such requests.
	OnServerRequest func(ask balance.Ask) (balance.Allocation, bool)
	// OnServerReport receives the ends of other VMs' requests at plain servers; nil drops
	// them.
	OnServerReport func(rp balance.Report)
	// OnMoveRequest receives another VM's requests to move a run of this VM; nil drops them.
	OnMoveRequest func(ask usage.MoveRequest)
	// OnViewChange receives each new view of the fleet; nil drops it.
	OnViewChange func(view *board.Fleet)
	// OnReport receives what other VMs report about requests that crash servers; nil
	// drops it.
	OnReport func(re suspect.Report)
	// OnLimit receives another VM's notice of a server's limit; nil drops it.
	OnLimit func(vm string, nt limit.Notice)
	// Limits returns the limits of servers in force, which are sent to VMs that start; nil
	// sends none.
	Limits func() []limit.Notice
	// OnLimitsKnown is called when another VM has sent the limits in force that it knows, or
	// there is no other VM; nil: no VM is asked for them.
	OnLimitsKnown func()
	// Removals returns the removals of servers' entries that this VM remembers, which are sent
	// to VMs that have listed the servers; nil sends none.
	Removals func() []registry.Removal
	// OnRemovals receives the removals that another VM remembers; nil: no VM is asked for them.
	OnRemovals func(list []registry.Removal)
	// OnTopicUpdate receives what another VM read of a topic; nil drops it.
	OnTopicUpdate func(nw topic.Update)
	// OnWhereRequest explains where a request would go; nil ignores such asks.
	OnWhereRequest func(rq explain.Request) explain.Explanation

	view              atomic.Pointer[board.Fleet]
	schedulers        atomic.Pointer[schedulers]
	placementRequests pendingRequests[usage.PlacementReply]
	overload          overload.Filter // of other VMs' placement requests
	quotaRequests     pendingRequests[quota.Response]
	originRequests    pendingRequests[origin.Reply]
	serverRequests    pendingRequests[serverReply]
	moveRequests      moveRequests  // of other VMs
	lastMove          atomic.Uint64 // number of this VM's last move request
	explaining        atomic.Bool   // an ask where a request would go is being answered
	limitsKnown       atomic.Bool   // OnLimitsKnown was called
	removalsKnown     atomic.Bool   // another VM has sent its removals since the servers were listed
	removalsProbe     atomic.Uint64 // number of the last probe that asked for them
	explained         whereReply    // to the last of these asks; guarded by explaining
	keepers           atomic.Pointer[keepers]
	latestUsage       map[string]messageOrder // by VM: order of its newest usage report
	reassemblies      map[string]*reassembly  // by topic
	members           *actor.Actor[membership.Event, membership.Intent]
	peers             *peer.Transport
}

// View returns the VMs as this one sees them; never nil.
func (fl *Fleet) View() *board.Fleet {
	if vw := fl.view.Load(); vw != nil {
		return vw
	}
	return &board.Fleet{Self: fl.Self.VMRef, VMs: []board.VM{fl.Self}}
}

// Prepare initializes the fleet so that it can receive events. Run calls it if it was
// not called before.
func (fl *Fleet) Prepare() {
	dt := &membership.Detector{Self: fl.Self, Rand: fl.Rand, Settings: fl.Settings}
	fl.peers = &peer.Transport{Self: fl.Self.VMRef, Listen: fl.Self.Peer, Secret: fl.Secret,
		OnDatagram: fl.handleDatagram, Scope: fl.Scope, Log: fl.Log, Clock: clock.OrBoottime(fl.Clock)}
	fl.members = actor.New[membership.Event, membership.Intent](clock.OrBoottime(fl.Clock), membership.Tick{}, maxTickInterval)
	fl.members.Step = dt.Step
	fl.members.Execute = fl.handleIntent
	fl.members.WakeTime = actor.WakeTimeFunc[membership.Intent](func(wk membership.Wake) clock.Millis { return wk.At })
}

// Run maintains the view until the context ends or the transport fails.
func (fl *Fleet) Run(ctx context.Context) error {
	if fl.members == nil {
		fl.Prepare()
	}
	go fl.members.Run(ctx)
	if err := fl.peers.Run(ctx); err != nil {
		return fmt.Errorf("run the transport between VMs: %w", err)
	}
	return nil
}

// SetListed passes the VMs that the fleet's topic lists to membership.
func (fl *Fleet) SetListed(ctx context.Context, vms []board.VM) {
	if !slices.ContainsFunc(vms, func(vm board.VM) bool { return vm.ID != fl.Self.ID }) {
		fl.noteLimitsKnown()
	}
	fl.members.Send(ctx, membership.Listed{VMs: vms})
}

// Leave announces a planned stop.
func (fl *Fleet) Leave(ctx context.Context) { fl.members.Send(ctx, membership.Leave{}) }

// handleDatagram forwards a datagram to the group that it names, if any, and passes it to
// the handler of its kind. The transport calls it for one at a time.
func (fl *Fleet) handleDatagram(dg *peerpb.Datagram, from netip.AddrPort) {
	if fl.overload.Dropping() {
		fl.reportOverload(clock.OrBoottime(fl.Clock).Now())
	}
	fl.broadcaster().Forward(dg)
	if fl.handleServerMessage(dg, from) {
		return
	}
	switch {
	case dg.GetUsage() != nil:
		fl.handleUsage(dg)
	case dg.GetTopicNews() != nil:
		nw := updateFromWire(dg.GetTopicNews())
		nw.Sender = dg.GetFrom()
		fl.handleTopicUpdate(nw)
	case dg.GetTopicPiece() != nil:
		fl.handleFragment(dg.GetTopicPiece())
	case dg.GetRequestEnd() != nil, dg.GetPartsAnswered() != nil:
		fl.handleReport(dg)
	case dg.GetServerLimit() != nil:
		fl.handleLimit(dg)
	case dg.GetServerRemovals() != nil:
		fl.handleRemovals(dg.GetServerRemovals())
	case dg.GetPlaceAsk() != nil:
		fl.handlePlacementRequest(dg, from)
	case dg.GetPlaceAnswer() != nil:
		fl.placementRequests.deliver(dg.GetPlaceAnswer().GetNumber(), placementReplyFromWire(dg.GetPlaceAnswer()))
	case dg.GetMoveAsk() != nil:
		fl.handleMoveAsk(dg)
	case dg.GetQuotaAsk() != nil:
		fl.handleQuotaRequest(dg, from)
	case dg.GetQuotaAnswer() != nil:
		fl.quotaRequests.deliver(dg.GetQuotaAnswer().GetNumber(), quotaResponseFromWire(dg.GetQuotaAnswer()))
	case dg.GetWhereAsk() != nil:
		fl.handleWhereAsk(dg.GetFrom(), from, dg.GetWhereAsk())
	case dg.GetOriginAsk() != nil:
		fl.handleOriginRequest(dg.GetFrom(), from, dg.GetOriginAsk())
	case dg.GetOriginAnswer() != nil:
		fl.originRequests.deliver(dg.GetOriginAnswer().GetNumber(), originReplyFromWire(dg.GetOriginAnswer()))
	default:
		fl.exchangeRemovals(dg, from)
		fl.exchangeLimits(dg, from)
		select {
		case fl.members.Events <- membership.Received{Datagram: dg}:
		default: // a full queue drops it, as the network may
		}
	}
}

// messageOrder orders the messages of one VM.
type messageOrder struct{ incarnation, sequence uint64 }

// handleUsage accepts a VM's usage report unless a newer one was received before.
func (fl *Fleet) handleUsage(dg *peerpb.Datagram) {
	order, last := messageOrder{dg.GetIncarnation(), dg.GetSequence()}, fl.latestUsage[dg.GetFrom()]
	old := order.incarnation < last.incarnation || order.incarnation == last.incarnation && order.sequence < last.sequence
	if old || fl.OnUsage == nil {
		return
	}
	if fl.latestUsage == nil {
		fl.latestUsage = make(map[string]messageOrder)
	}
	fl.latestUsage[dg.GetFrom()] = order
	fl.OnUsage(dg.GetFrom(), usageFromWire(dg.GetUsage()))
}

func (fl *Fleet) handleReport(dg *peerpb.Datagram) {
	if re, ok := ReportFromWire(dg); ok && fl.OnReport != nil {
		fl.OnReport(re)
	}
}

func (fl *Fleet) handleTopicUpdate(nw topic.Update) {
	if fl.OnTopicUpdate != nil {
		fl.OnTopicUpdate(nw)
	}
}

// handleFragment adds a fragment of a large record, and passes the record on as an
// update once all fragments were received.
func (fl *Fleet) handleFragment(tp *peerpb.TopicPiece) {
	if fl.reassemblies == nil {
		fl.reassemblies = make(map[string]*reassembly)
	}
	if fl.reassemblies[tp.GetTopic()] == nil {
		fl.reassemblies[tp.GetTopic()] = &reassembly{}
	}
	rec, whole, err := fl.reassemblies[tp.GetTopic()].add(tp)
	if err != nil {
		// The record can't be used; this VM notices the gap and reads the store itself.
		fl.Log.Log(event.NewsUnreadable, event.F("Topic", tp.GetTopic()), event.F("Offset", tp.GetOffset()), event.F("Error", err.Error()))
		return
	}
	if whole {
		fl.handleTopicUpdate(topic.Update{Topic: tp.GetTopic(), From: rec.Offset, Next: rec.Offset + 1, Records: []topic.Record{rec}})
	}
}

func (fl *Fleet) handleIntent(in membership.Intent) {
	switch in := in.(type) {
	case membership.Send:
		// Membership tolerates lost datagrams.
		_ = fl.peers.SendDatagram(in.To, fl.askRemovals(fl.askLimits(in.Datagram)))
	case membership.FleetChanged:
		LogChanges(fl.Log, fl.View(), in.Fleet)
		fl.view.Store(in.Fleet)
		fl.schedulers.Store(selectSchedulers(in.Fleet))
		fl.keepers.Store(selectKeepers(in.Fleet))
		if fl.OnViewChange != nil {
			fl.OnViewChange(in.Fleet)
		}
	case membership.DeathRefuted:
		fl.Log.Log(event.HeldDead)
	case membership.Replaced:
		fl.Log.Log(event.Replaced, event.F("Incarnation", in.Incarnation))
	case membership.QuorumDeadline, membership.Wake:
	}
}
