// Package fleet keeps one VM's view of the others: which run, which leave and
// where callers reach them. It joins membership, which decides, with the
// transport between VMs.
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
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/actor"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/membership"
	"alderdyke/internal/peer"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/quota"
	"alderdyke/internal/suspect"
	"alderdyke/internal/topic"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// maxTickInterval is the longest span between two decisions of membership.
const maxTickInterval = 100 * clock.Millis(1)

// Fleet is one VM's view of the others. Set the exported fields before Run.
type Fleet struct {
	Self     board.VM // Peer is where it listens
	Secret   []byte
	Rand     *rand.Rand
	Settings membership.Settings
	Clock    clock.Source
	Log      event.Logger
	Scope    tally.Scope
	// OnUsage hears what another VM has at model engines; nil drops it.
	OnUsage func(vm string, rp usage.Report)
	// OnPlacementRequest chooses engines for a request of another VM; nil answers no asks.
	OnPlacementRequest func(vm string, ask usage.PlacementRequest) usage.PlacementReply
	// OnQuotaRequest answers another VM, which is in one of its lives, as a keeper of the
	// customers' quotas; nil answers no asks.
	OnQuotaRequest func(vm string, life uint64, ask quota.Request) quota.Response
	// OnViewChange hears of each new view of the fleet; nil drops it.
	OnViewChange func(view *board.Fleet)
	// OnCrash hears at which server's end a request was there; nil drops it.
	OnCrash func(en suspect.Crash)
	// OnTopicUpdate hears what another VM read of a topic; nil drops it.
	OnTopicUpdate func(nw topic.Update)

	view              atomic.Pointer[board.Fleet]
	schedulers        atomic.Pointer[schedulers]
	placementRequests pendingRequests[usage.PlacementReply]
	quotaRequests     pendingRequests[quota.Response]
	keepers           atomic.Pointer[keepers]
	latestUsage       map[string]messageOrder // by VM: the newest word on usage that was heard
	reassemblies      map[string]*reassembly  // by topic
	members           *actor.Actor[membership.Event, membership.Intent]
	peers             *peer.Transport
}

// View is the VMs as this one sees them; never nil.
func (fl *Fleet) View() *board.Fleet {
	if vw := fl.view.Load(); vw != nil {
		return vw
	}
	return &board.Fleet{Self: fl.Self.VMRef, VMs: []board.VM{fl.Self}}
}

// Prepare makes the fleet ready to be told events. Run does it by itself.
func (fl *Fleet) Prepare() {
	dt := &membership.Detector{Self: fl.Self, Rand: fl.Rand, Settings: fl.Settings}
	fl.peers = &peer.Transport{Self: fl.Self.VMRef, Listen: fl.Self.Peer, Secret: fl.Secret,
		OnDatagram: fl.handleDatagram, Scope: fl.Scope, Log: fl.Log, Clock: clock.OrBoottime(fl.Clock)}
	fl.members = actor.New[membership.Event, membership.Intent](clock.OrBoottime(fl.Clock), membership.Tick{}, maxTickInterval)
	fl.members.Step = dt.Step
	fl.members.Execute = fl.handleIntent
	fl.members.WakeTime = actor.WakeTimeFunc[membership.Intent](func(wk membership.Wake) clock.Millis { return wk.At })
}

// Run follows the fleet until the context ends, or the transport fails.
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

// SetListed tells which VMs there may be.
func (fl *Fleet) SetListed(ctx context.Context, vms []board.VM) {
	fl.members.Send(ctx, membership.Listed{VMs: vms})
}

// Leave announces a planned stop.
func (fl *Fleet) Leave(ctx context.Context) { fl.members.Send(ctx, membership.Leave{}) }

// handleDatagram takes a datagram. The transport calls it for one at a time.
func (fl *Fleet) handleDatagram(dg *peerpb.Datagram, from netip.AddrPort) {
	fl.broadcaster().Forward(dg)
	switch {
	case dg.GetUsage() != nil:
		fl.handleUsage(dg)
	case dg.GetTopicNews() != nil:
		nw := updateFromWire(dg.GetTopicNews())
		nw.Sender = dg.GetFrom()
		fl.handleTopicUpdate(nw)
	case dg.GetTopicPiece() != nil:
		fl.handleFragment(dg.GetTopicPiece())
	case dg.GetRequestEnd() != nil:
		fl.handleCrash(dg.GetRequestEnd())
	case dg.GetPlaceAsk() != nil:
		fl.handlePlacementRequest(dg.GetFrom(), from, dg.GetPlaceAsk())
	case dg.GetPlaceAnswer() != nil:
		fl.placementRequests.deliver(dg.GetPlaceAnswer().GetNumber(), placementReplyFromWire(dg.GetPlaceAnswer()))
	case dg.GetQuotaAsk() != nil:
		fl.handleQuotaRequest(dg, from)
	case dg.GetQuotaAnswer() != nil:
		fl.quotaRequests.deliver(dg.GetQuotaAnswer().GetNumber(), quotaResponseFromWire(dg.GetQuotaAnswer()))
	default:
		select {
		case fl.members.Events <- membership.Received{Datagram: dg}:
		default: // a full backlog drops it, as the network may
		}
	}
}

// messageOrder orders the words of one VM.
type messageOrder struct{ incarnation, sequence uint64 }

// handleUsage takes a VM's word unless a newer one came before.
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

func (fl *Fleet) handleCrash(re *peerpb.RequestEnd) {
	if en, ok := CrashFromWire(re); ok && fl.OnCrash != nil {
		fl.OnCrash(en)
	}
}

func (fl *Fleet) handleTopicUpdate(nw topic.Update) {
	if fl.OnTopicUpdate != nil {
		fl.OnTopicUpdate(nw)
	}
}

// handleFragment takes a piece of a large record, and the record as news once it is
// whole.
func (fl *Fleet) handleFragment(tp *peerpb.TopicPiece) {
	if fl.reassemblies == nil {
		fl.reassemblies = make(map[string]*reassembly)
	}
	if fl.reassemblies[tp.GetTopic()] == nil {
		fl.reassemblies[tp.GetTopic()] = &reassembly{}
	}
	rec, whole, err := fl.reassemblies[tp.GetTopic()].add(tp)
	if err != nil {
		// What was read is of no use; the gap has this VM read for itself.
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
		// Membership expects datagrams to be lost.
		_ = fl.peers.SendDatagram(in.To, in.Datagram)
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
