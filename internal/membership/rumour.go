package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

const (
	// retransmitFactor is how often a rumour is sent for each doubling of the fleet size.
	retransmitFactor = 2
	// rumourOverhead is the size of a rumour's tag and length in a datagram.
	rumourOverhead = 3
	// rumourBudget is the space for rumours in one datagram, in bytes. When many
	// VMs change at once, it bounds the traffic at the cost of slower rumours.
	rumourBudget = 400
	// introductionPeriod is how long this VM adds its address to datagrams to a
	// VM that is new or recovered, since that VM may not know it yet.
	introductionPeriod = 10 * clock.Second
	// addressPeriod is how long rumours about a new VM contain its address, even
	// if the VM had to refute a suspicion.
	addressPeriod = clock.Minute
	// Limits of a rumour: its counters must be able to grow, and it must fit in
	// a datagram beside others.
	maxIncarnation = 1 << 62
	maxRefutation  = 1 << 30
	maxRumourSize  = 350
	maxMembers     = 4096 // VMs in the table
)

type (
	// rumours is the queue of rumours to send, the least sent first.
	rumours struct{ queue []rumour }

	// rumour refers to the VM that it is about; its content is that VM's state
	// at the time of sending. by is the hash of the VM that suspects it.
	rumour struct {
		id    string
		by    uint32
		sent  int
		brief bool // others start the same rumour at this time, so a quarter of the sends is enough
	}
)

// push queues a rumour, or restarts it. A rumour about a VM's own state replaces
// the suspicions of it.
func (rm *rumours) push(id string, by uint32) {
	rm.queue = slices.DeleteFunc(rm.queue, func(ru rumour) bool {
		return ru.id == id && (by == 0 || ru.by == by || ru.by == 0)
	})
	rm.queue = append(rm.queue, rumour{id: id, by: by})
}

// markBrief reduces how often rumours about a VM are sent, since others start them too.
func (rm *rumours) markBrief(id string) {
	for ix := range rm.queue {
		if rm.queue[ix].id == id {
			rm.queue[ix].brief = true
		}
	}
}

// pushBrief queues a rumour that others start too.
func (rm *rumours) pushBrief(id string, by uint32) {
	rm.push(id, by)
	rm.queue[len(rm.queue)-1].brief = true
}

// exhausted reports whether a rumour was sent often enough.
func (ru rumour) exhausted(limit int) bool {
	if ru.brief {
		limit = (limit + 3) / 4
	}
	return ru.sent >= limit
}

// countReceived counts a rumour received from another VM as sent: the more VMs
// know it, the less it needs to be disseminated.
func (rm *rumours) countReceived(id string, by uint32) {
	for ix := range rm.queue {
		if ru := &rm.queue[ix]; ru.id == id && (ru.by == by || ru.by == 0) {
			ru.sent++
		}
	}
}

func (rm *rumours) drop(id string) {
	rm.queue = slices.DeleteFunc(rm.queue, func(ru rumour) bool { return ru.id == id })
}

// attachRumours fills a datagram with rumours up to its limit. A suspicion of the
// recipient goes first, so that the recipient can refute it.
func (dt *Detector) attachRumours(to *member, dg *peerpb.Datagram) {
	room := dt.Settings.MaxDatagram - proto.Size(dg) - maxSequenceSize
	if !to.observed || dt.now-to.joinedAt < introductionPeriod {
		room = dt.appendRumour(dg, room, dt.selfRumour())
	}
	if to.vm.Health == board.Suspect || to.confirmedDead() {
		room = dt.appendRumour(dg, room, dt.memberRumour(to, dt.selfHash, false))
	}
	if to.observed && to.vm.Health != board.Alive {
		// The recipient is probably not running, so the queue is not sent. But
		// two VMs may suspect each other, so this VM's refutation is included.
		self := dt.selfRumour()
		dt.appendRumour(dg, room, &peerpb.Rumour{
			VM: self.GetVM(), Incarnation: self.GetIncarnation(),
			Refutation: self.GetRefutation(), Leaving: self.GetLeaving(),
		})
		return
	}
	for _, mb := range dt.staleAtSender {
		room = dt.appendRumour(dg, room, dt.memberRumour(mb, 0, false))
	}
	room = min(room, rumourBudget)
	limit := retransmitFactor * bits.Len(uint(len(dt.table.members)+1))
	queue := dt.rumours.queue
	for ix := range queue {
		rr := dt.encodeRumour(queue[ix])
		if rr == nil {
			queue[ix].sent = limit
			continue
		}
		left := dt.appendRumour(dg, room, rr)
		if left == room {
			break
		}
		room = left
		queue[ix].sent++
	}
	queue = slices.DeleteFunc(queue, func(ru rumour) bool { return ru.exhausted(limit) })
	slices.SortStableFunc(queue, func(ra, rb rumour) int { return cmp.Compare(ra.sent, rb.sent) })
	dt.rumours.queue = queue
}

// appendRumour adds a rumour if it fits, and returns the space left.
func (dt *Detector) appendRumour(dg *peerpb.Datagram, room int, rr *peerpb.Rumour) int {
	need := proto.Size(rr) + rumourOverhead
	if need > room {
		return room
	}
	dg.Rumours = append(dg.Rumours, rr)
	return room - need
}

// encodeRumour returns the message for a queued rumour; nil if it no longer applies.
func (dt *Detector) encodeRumour(ru rumour) *peerpb.Rumour {
	if ru.id == dt.Self.ID {
		return dt.selfRumour()
	}
	mb := dt.table.byID[ru.id]
	switch {
	case mb == nil || !mb.observed || mb.localOnly:
		return nil
	case ru.by != 0 && mb.vm.Health != board.Suspect:
		return nil
	}
	fresh := mb.refutation == 0 || dt.now-mb.joinedAt < addressPeriod
	return dt.memberRumour(mb, ru.by, mb.vm.Health == board.Alive && fresh)
}

func (dt *Detector) selfRumour() *peerpb.Rumour {
	rr := fullRumour(dt.Self)
	rr.Refutation = dt.refutation
	return rr
}

// memberRumour describes the state of a member, with its addresses if withAddresses is set.
func (dt *Detector) memberRumour(mb *member, by uint32, withAddresses bool) *peerpb.Rumour {
	rr := &peerpb.Rumour{VM: mb.vm.ID, Incarnation: mb.vm.Incarnation, Health: uint32(mb.vm.Health)}
	if withAddresses {
		rr = fullRumour(mb.vm)
	}
	rr.Refutation = mb.refutation
	rr.Leaving = mb.leaving
	if mb.vm.Health == board.Suspect {
		rr.By = by
		if by == 0 && len(mb.suspicion.reporters) > 0 {
			rr.By = mb.suspicion.reporters[0]
		}
	}
	return rr
}

// fullRumour describes a VM with its addresses.
func fullRumour(vm board.VM) *peerpb.Rumour {
	return &peerpb.Rumour{
		VM:            vm.ID,
		Incarnation:   vm.Incarnation,
		Health:        uint32(vm.Health),
		FailureDomain: vm.FailureDomain,
		Region:        vm.Region,
		Caller:        vm.Caller,
		Peer:          vm.Peer,
		Leaving:       vm.Leaving,
	}
}

// applyRumours applies the rumours of a datagram, and reports whether any was new.
func (dt *Detector) applyRumours(dg *peerpb.Datagram) bool {
	_, bySync := dg.GetBody().(*peerpb.Datagram_SyncReply)
	news := false
	dt.staleAtSender = nil
	for _, rr := range dg.GetRumours() {
		if !dt.applyRumour(rr) {
			continue
		}
		news = true
		if bySync {
			dt.rumours.drop(rr.GetVM()) // already known to others
		}
	}
	return news
}

// applyRumour applies one rumour, and reports whether it was new.
func (dt *Detector) applyRumour(rr *peerpb.Rumour) bool {
	hl := board.Health(rr.GetHealth())
	if !wellFormed(rr) {
		dt.Counters.Ignored++
		return false
	}
	if rr.GetVM() == dt.Self.ID {
		dt.applySelfRumour(rr, hl)
		return false
	}
	mb := dt.table.byID[rr.GetVM()]
	if mb == nil {
		return dt.addMember(rr, hl)
	}
	if mb.confirmedDead() && mb.noNewerGeneration(rr) && hl <= board.Suspect {
		dt.notifyDead(mb)
		return false
	}
	switch ord := mb.compareVersion(rr.GetIncarnation(), rr.GetRefutation()); {
	case ord > 0:
		if hl == board.Suspect || hl == board.Dead {
			dt.staleAtSender = append(dt.staleAtSender, mb)
		}
		return false
	case ord < 0:
		return dt.applyNewer(mb, rr, hl)
	default:
		return dt.applySameVersion(mb, rr, hl)
	}
}

func wellFormed(rr *peerpb.Rumour) bool {
	return rr.GetVM() != "" && rr.GetHealth() <= uint32(board.Left) &&
		rr.GetIncarnation() > 0 && rr.GetIncarnation() < maxIncarnation &&
		rr.GetRefutation() < maxRefutation && proto.Size(rr) <= maxRumourSize
}

// applySelfRumour refutes a suspicion or death of Self, unless another process runs under this ID.
func (dt *Detector) applySelfRumour(rr *peerpb.Rumour, hl board.Health) {
	later := rr.GetIncarnation() > dt.Self.Incarnation
	switch {
	case dt.left:
	case later && rr.GetPeer() != "" && rr.GetPeer() != dt.Self.Peer:
		dt.left = true
		dt.Self.Health = board.Left
		dt.invalidate()
		dt.out = append(dt.out, Replaced{Incarnation: rr.GetIncarnation()})
	case later || hl != board.Alive:
		dt.refute(rr.GetIncarnation(), rr.GetRefutation(), hl)
	}
}

// noNewerGeneration reports whether a rumour is of the member's incarnation and of no
// later generation than this VM knows of.
func (mb *member) noNewerGeneration(rr *peerpb.Rumour) bool {
	return rr.GetIncarnation() == mb.vm.Incarnation && generationOf(rr.GetRefutation()) <= generationOf(mb.refutation)
}

// notifyDead informs a VM that this one declared it dead. Its work may have been
// taken over, so it must continue in a new generation, even if it refuted the
// suspicion elsewhere.
func (dt *Detector) notifyDead(mb *member) {
	if len(dt.prober.open) < maxOpenProbes/8 {
		dt.sendProbe(mb, true)
	}
}

// addMember adds a VM that was not known. A rumour without an address is ignored,
// since the VM could not be reached.
func (dt *Detector) addMember(rr *peerpb.Rumour, hl board.Health) bool {
	gv, wasRemoved := dt.table.removed[rr.GetVM()]
	if len(dt.table.members) >= maxMembers {
		dt.Counters.Ignored++
		return false
	}
	if rr.GetPeer() == "" || hl == board.Left || (wasRemoved && rr.GetIncarnation() <= gv.incarnation) {
		return false
	}
	mb := &member{vm: board.VM{VMRef: board.VMRef{ID: rr.GetVM()}}, healthSince: dt.now}
	dt.table.add(mb)
	dt.prober.addToRound(mb, dt.Rand)
	return dt.applyNewer(mb, rr, hl)
}

// applyNewer applies a rumour about a later incarnation or refutation.
func (dt *Detector) applyNewer(mb *member, rr *peerpb.Rumour, hl board.Health) bool {
	if rr.GetIncarnation() != mb.vm.Incarnation {
		mb.leaving = false
		mb.healthSince = dt.now
		mb.joinedAt = dt.now
	}
	wasProbed := mb.observed && mb.maybeAlive()
	expected := !mb.observed && mb.vm.Listed // the VM list informed the others too
	mb.observed = true
	mb.vm.Incarnation = rr.GetIncarnation()
	mb.refutation = rr.GetRefutation()
	mb.leaving = mb.leaving || rr.GetLeaving()
	mb.vm.Leaving = mb.leaving || mb.listedLeaving
	mb.setAddresses(rr)
	if hl == board.Suspect {
		dt.setHealth(mb, board.Alive)
		dt.suspect(mb, rr.GetBy())
	} else {
		dt.setHealth(mb, hl)
		dt.rumours.push(mb.vm.ID, 0)
	}
	if expected {
		dt.rumours.markBrief(mb.vm.ID)
	}
	if !wasProbed && mb.maybeAlive() {
		dt.prober.addToRound(mb, dt.Rand)
	}
	return true
}

func (mb *member) setAddresses(rr *peerpb.Rumour) {
	if rr.GetPeer() == "" {
		return
	}
	mb.vm.Peer = rr.GetPeer()
	mb.vm.Caller = rr.GetCaller()
	mb.vm.FailureDomain = rr.GetFailureDomain()
	mb.vm.Region = rr.GetRegion()
}

// applySameVersion applies a rumour about the known incarnation and refutation.
func (dt *Detector) applySameVersion(mb *member, rr *peerpb.Rumour, hl board.Health) bool {
	news := false
	if rr.GetLeaving() == mb.leaving && hl == mb.vm.Health {
		dt.rumours.countReceived(mb.vm.ID, rr.GetBy())
	}
	if rr.GetLeaving() && !mb.leaving {
		mb.leaving = true
		mb.vm.Leaving = true
		dt.invalidate()
		dt.rumours.push(mb.vm.ID, 0)
		news = true
	}
	switch {
	case hl == board.Alive && mb.localOnly:
		dt.revive(mb)
		return true
	case hl == board.Suspect && mb.maybeAlive():
		before := len(mb.suspicion.reporters)
		dt.suspect(mb, rr.GetBy())
		return news || len(mb.suspicion.reporters) != before
	case hl == board.Dead && (mb.maybeAlive() || mb.localOnly), hl == board.Left && mb.vm.Health != board.Left:
		dt.setHealth(mb, hl)
		dt.rumours.push(mb.vm.ID, 0)
		return true
	}
	return news
}

// revive reverts this VM's local decision that a member is Dead.
func (dt *Detector) revive(mb *member) {
	dt.setHealth(mb, board.Alive)
	dt.prober.addToRound(mb, dt.Rand)
}
