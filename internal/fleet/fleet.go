// Package fleet keeps one VM's view of the others: which run, which leave and
// where callers reach them. It joins membership, which decides, with the
// transport between VMs.
//
// # Usage
//
//	fl := &fleet.Fleet{Self: self, Secret: secret, Rand: rng, Log: lg}
//	go fl.Run(ctx)
//	fl.List(ctx, listed)
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

// tick is the longest span between two decisions of membership.
const tick = 100 * clock.Millis(1)

// Fleet is one VM's view of the others. Set the exported fields before Run.
type Fleet struct {
	Self     board.VM // Peer is where it listens
	Secret   []byte
	Rand     *rand.Rand
	Settings membership.Settings
	Clock    clock.Source
	Log      event.Logger
	Scope    tally.Scope
	// Usage hears what another VM has at model engines; nil drops it.
	Usage func(vm string, rp usage.Report)
	// Place chooses engines for a request of another VM; nil answers no asks.
	Place func(vm string, ask usage.PlacementRequest) usage.PlacementReply
	// Quota answers another VM, which is in one of its lives, as a keeper of the
	// customers' quotas; nil answers no asks.
	Quota func(vm string, life uint64, ask quota.Request) quota.Response
	// Changed hears of each new view of the fleet; nil drops it.
	Changed func(view *board.Fleet)
	// End hears at which server's end a request was there; nil drops it.
	End func(en suspect.Crash)
	// News hears what another VM read of a topic; nil drops it.
	News func(nw topic.Update)

	view       atomic.Pointer[board.Fleet]
	schedulers atomic.Pointer[schedulers]
	asks       asks[usage.PlacementReply]
	quotaAsks  asks[quota.Response]
	keepers    atomic.Pointer[keepers]
	latest     map[string]wordOrder // by VM: the newest word on usage that was heard
	large      map[string]*pieces   // by topic
	members    *actor.Actor[membership.Event, membership.Intent]
	peers      *peer.Transport
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
		Datagrams: fl.heard, Scope: fl.Scope, Log: fl.Log, Clock: clock.OrBoottime(fl.Clock)}
	fl.members = actor.New[membership.Event, membership.Intent](clock.OrBoottime(fl.Clock), membership.Tick{}, tick)
	fl.members.Step = dt.Step
	fl.members.Do = fl.carryOut
	fl.members.WakeAt = actor.WakeOf[membership.Intent](func(wk membership.Wake) clock.Millis { return wk.At })
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

// List tells which VMs there may be.
func (fl *Fleet) List(ctx context.Context, vms []board.VM) {
	fl.members.Tell(ctx, membership.Listed{VMs: vms})
}

// Leave announces a planned stop.
func (fl *Fleet) Leave(ctx context.Context) { fl.members.Tell(ctx, membership.Leave{}) }

// heard takes a datagram. The transport calls it for one at a time.
func (fl *Fleet) heard(dg *peerpb.Datagram, from netip.AddrPort) {
	fl.spread().PassOn(dg)
	switch {
	case dg.GetUsage() != nil:
		fl.heardUsage(dg)
	case dg.GetTopicNews() != nil:
		nw := newsFromWire(dg.GetTopicNews())
		nw.Sender = dg.GetFrom()
		fl.heardNews(nw)
	case dg.GetTopicPiece() != nil:
		fl.heardPiece(dg.GetTopicPiece())
	case dg.GetRequestEnd() != nil:
		fl.heardEnd(dg.GetRequestEnd())
	case dg.GetPlaceAsk() != nil:
		fl.heardAsk(dg.GetFrom(), from, dg.GetPlaceAsk())
	case dg.GetPlaceAnswer() != nil:
		fl.asks.end(dg.GetPlaceAnswer().GetNumber(), answerFromWire(dg.GetPlaceAnswer()))
	case dg.GetQuotaAsk() != nil:
		fl.heardQuotaAsk(dg, from)
	case dg.GetQuotaAnswer() != nil:
		fl.quotaAsks.end(dg.GetQuotaAnswer().GetNumber(), quotaAnswerFromWire(dg.GetQuotaAnswer()))
	default:
		select {
		case fl.members.Events <- membership.Received{Datagram: dg}:
		default: // a full backlog drops it, as the network may
		}
	}
}

// wordOrder orders the words of one VM.
type wordOrder struct{ incarnation, sequence uint64 }

// heardUsage takes a VM's word unless a newer one came before.
func (fl *Fleet) heardUsage(dg *peerpb.Datagram) {
	order, last := wordOrder{dg.GetIncarnation(), dg.GetSequence()}, fl.latest[dg.GetFrom()]
	old := order.incarnation < last.incarnation || order.incarnation == last.incarnation && order.sequence < last.sequence
	if old || fl.Usage == nil {
		return
	}
	if fl.latest == nil {
		fl.latest = make(map[string]wordOrder)
	}
	fl.latest[dg.GetFrom()] = order
	fl.Usage(dg.GetFrom(), usageFromWire(dg.GetUsage()))
}

func (fl *Fleet) heardEnd(re *peerpb.RequestEnd) {
	if en, ok := EndFromWire(re); ok && fl.End != nil {
		fl.End(en)
	}
}

func (fl *Fleet) heardNews(nw topic.Update) {
	if fl.News != nil {
		fl.News(nw)
	}
}

// heardPiece takes a piece of a large record, and the record as news once it is
// whole.
func (fl *Fleet) heardPiece(tp *peerpb.TopicPiece) {
	if fl.large == nil {
		fl.large = make(map[string]*pieces)
	}
	if fl.large[tp.GetTopic()] == nil {
		fl.large[tp.GetTopic()] = &pieces{}
	}
	rec, whole, err := fl.large[tp.GetTopic()].take(tp)
	if err != nil {
		// What was read is of no use; the gap has this VM read for itself.
		fl.Log.Log(event.NewsUnreadable, event.F("Topic", tp.GetTopic()), event.F("Offset", tp.GetOffset()), event.F("Error", err.Error()))
		return
	}
	if whole {
		fl.heardNews(topic.Update{Topic: tp.GetTopic(), From: rec.Offset, Next: rec.Offset + 1, Records: []topic.Record{rec}})
	}
}

func (fl *Fleet) carryOut(in membership.Intent) {
	switch in := in.(type) {
	case membership.Send:
		// Membership expects datagrams to be lost.
		_ = fl.peers.Datagram(in.To, in.Datagram)
	case membership.FleetChanged:
		LogChanges(fl.Log, fl.View(), in.Fleet)
		fl.view.Store(in.Fleet)
		fl.schedulers.Store(schedulersOf(in.Fleet))
		fl.keepers.Store(keepersOf(in.Fleet))
		if fl.Changed != nil {
			fl.Changed(in.Fleet)
		}
	case membership.DeathRefuted:
		fl.Log.Log(event.HeldDead)
	case membership.Replaced:
		fl.Log.Log(event.Replaced, event.F("Incarnation", in.Incarnation))
	case membership.QuorumDeadline, membership.Wake:
	}
}
