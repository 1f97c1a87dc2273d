package fleet

import (
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/overload"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

const (
	// maxMoveAge is the age at which a move request is dropped: it was decided by what the
	// engines held then, and in a burst an engine gets other runs within half a second.
	maxMoveAge = 500 * clock.Millis(1)
	// maxMoveNumbers is how many numbers of a sender's move requests are remembered, to
	// detect duplicates. A sender asks one VM for a few moves in maxMoveAge.
	maxMoveNumbers = 64
	// maxRunTokens bounds the tokens that a move request states for a run.
	maxRunTokens = 1 << 30
)

type (
	// moveRequests tells which move requests of other VMs are late or duplicates. The zero
	// value is ready to use.
	moveRequests struct {
		ages    overload.Ages
		numbers map[string]*moveNumbers // by sender
	}

	// moveNumbers are the newest move requests of one incarnation of a VM.
	moveNumbers struct {
		incarnation uint64
		list        []uint64
	}
)

// RequestMove asks the VM that serves a run to move it. The VM's usage reports show what
// came of it.
func (mb *Member) RequestMove(ask usage.MoveRequest) {
	fl := mb.currentFleet()
	if fl == nil {
		return
	}
	if ix := slices.IndexFunc(fl.View().VMs, func(vm board.VM) bool { return vm.ID == ask.VM }); ix >= 0 {
		fl.requestMove(fl.View().VMs[ix], ask)
	}
}

func (fl *Fleet) requestMove(to board.VM, ask usage.MoveRequest) {
	ma := moveAskToWire(ask)
	ma.SentAt, ma.Number = uint64(max(1, clock.OrBoottime(fl.Clock).Now())), fl.lastMove.Add(1)
	// If it is lost, another one follows once the run no longer counts at its destination.
	_ = fl.peers.SendDatagram(to, &peerpb.Datagram{Body: &peerpb.Datagram_MoveAsk{MoveAsk: ma}})
}

// handleMoveAsk passes on a move request that is neither late nor a duplicate.
func (fl *Fleet) handleMoveAsk(dg *peerpb.Datagram) {
	ask, ok := moveRequestFromWire(dg.GetMoveAsk())
	if !ok || fl.OnMoveRequest == nil {
		return
	}
	now := clock.OrBoottime(fl.Clock).Now()
	if age, ok := fl.moveRequests.admit(now, dg); !ok {
		fl.Log.Log(event.MoveAskDropped, event.F("Other", dg.GetFrom()), event.F("From", ask.From), event.F("To", ask.To), event.F("Age", age.String()))
		return
	}
	fl.OnMoveRequest(ask)
}

// admit reports whether a move request is neither late nor a duplicate, and returns its age.
func (mr *moveRequests) admit(now clock.Millis, dg *peerpb.Datagram) (age clock.Millis, ok bool) {
	ma := dg.GetMoveAsk()
	if !mr.add(dg.GetFrom(), dg.GetIncarnation(), ma.GetNumber()) {
		return 0, false
	}
	age = mr.ages.Observe(now, maxMoveAge, overload.Query{VM: dg.GetFrom(), Incarnation: dg.GetIncarnation(), SentAt: sentAtFromWire(ma.GetSentAt())})
	return age, age <= maxMoveAge
}

// add records the number of a move request, and reports whether it is new.
func (mr *moveRequests) add(vm string, incarnation, number uint64) bool {
	mn := mr.numbers[vm]
	if mn == nil || mn.incarnation != incarnation {
		if mr.numbers == nil || len(mr.numbers) >= maxMoveNumbers {
			mr.numbers = make(map[string]*moveNumbers) // there are three schedulers at a time
		}
		mn = &moveNumbers{incarnation: incarnation}
		mr.numbers[vm] = mn
	}
	if slices.Contains(mn.list, number) {
		return false
	}
	mn.list = append(mn.list, number)
	mn.list = mn.list[max(0, len(mn.list)-maxMoveNumbers):]
	return true
}

func moveAskToWire(ask usage.MoveRequest) *peerpb.MoveAsk {
	return &peerpb.MoveAsk{Service: ask.Service, From: ask.From, To: ask.To, Tokens: uint32(min(max(0, ask.Tokens), maxRunTokens))}
}

// moveRequestFromWire decodes a move request; false if it is incomplete or names no possible
// move.
func moveRequestFromWire(ma *peerpb.MoveAsk) (usage.MoveRequest, bool) {
	ask := usage.MoveRequest{Service: ma.GetService(), From: ma.GetFrom(), To: ma.GetTo(), Tokens: int(min(ma.GetTokens(), maxRunTokens))}
	complete := ask.Service != "" && ask.From != "" && ask.To != "" && ma.GetTokens() > 0 && sentAtFromWire(ma.GetSentAt()) > 0
	return ask, complete && ask.From != ask.To && ma.GetTokens() <= maxRunTokens
}
