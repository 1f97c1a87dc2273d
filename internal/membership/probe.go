package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

const (
	maxOpenProbes   = 256 // own probes that await an ack
	maxDirectProbes = 192 // open probes above which no probe without helpers is sent
	maxRelays       = 64  // probes on behalf of others that await an ack

	// maxDeadProbeShare is the largest share of periods in which a dead VM is
	// probed as well, to detect when a partition heals.
	maxDeadProbeShare = 0.25
	// A failure domain without an ack for this fraction of AckTTL gets one
	// more probe.
	staleNumerator, staleDenominator = 9, 10
)

type (
	// prober holds the state of this VM's probes and relays.
	prober struct {
		next     clock.Millis // when the next period begins
		round    []*member    // members still to be probed in this round
		inserted int          // of them, members added since the round started
		number   uint64
		open     map[uint64]*probe
		relays   map[uint64]relay
	}

	// probe is one probe in progress.
	probe struct {
		number           uint64
		target           *member
		directOnly       bool // no helpers are requested, and the result is not a fair sample of the fleet
		sent             clock.Millis
		nextAt           clock.Millis // when the next helper is requested, or the probe fails
		deadline         clock.Millis
		helpers          []*member // chosen when the first one is needed
		helpersRequested int
		helpersMissed    int // helpers that reported a missed ack
	}

	// relay is an indirect probe on behalf of another VM.
	relay struct {
		requester string
		number    uint64
		target    *member
		deadline  clock.Millis // when a missed ack is reported to the requester
		expires   clock.Millis // until when a late ack is still forwarded
	}
)

func newNotice() *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_Notice{Notice: &peerpb.Notice{}}}
}

// send addresses a datagram, attaches rumours to it and emits it.
func (dt *Detector) send(to *member, dg *peerpb.Datagram) {
	dg.From = dt.Self.ID
	dg.Incarnation = dt.Self.Incarnation
	dg.To = to.vm.ID
	dt.attachRumours(to, dg)
	dt.out = append(dt.out, Send{To: to.vm, Datagram: dg})
}

// addToRound inserts a new member at a random position of the current round.
func (pb *prober) addToRound(mb *member, rnd *rand.Rand) {
	if !slices.Contains(pb.round, mb) {
		pb.round = slices.Insert(pb.round, rnd.IntN(len(pb.round)+1), mb)
		pb.inserted++
	}
}

// probeRound sends the probes of one period: to the next VM of the round,
// sometimes to a dead one, and to one in a failure domain without a recent ack.
func (dt *Detector) probeRound() {
	target := dt.nextInRound()
	if target != nil {
		dt.sendProbe(target, false)
	}
	dead := dt.deadMembers()
	if len(dead) > 0 {
		share := min(maxDeadProbeShare, float64(len(dead))/float64(len(dt.table.members)+1))
		if target == nil || dt.Rand.Float64() < share {
			dt.sendProbe(dead[dt.Rand.IntN(len(dead))], true)
		}
	}
	if mb := dt.memberOfStaleDomain(); mb != nil {
		dt.sendProbe(mb, false)
	}
}

// nextInRound returns the next member to probe; nil if there is none. It starts a new round
// when the current one has ended.
func (dt *Detector) nextInRound() *member {
	if dt.prober.inserted > len(dt.prober.round)/4 {
		dt.startRound() // too many random positions for the round to sample all domains evenly
	}
	for range 2 {
		for len(dt.prober.round) > 0 {
			mb := dt.prober.round[0]
			dt.prober.round = dt.prober.round[1:]
			if mb.inProbeRound() && dt.table.byID[mb.vm.ID] == mb {
				return mb
			}
		}
		dt.startRound()
	}
	return nil
}

// startRound starts a round. It shuffles the VMs so that those of each failure
// domain are spread evenly over the round, and any part of it samples all domains.
func (dt *Detector) startRound() {
	type placed struct {
		mb *member
		at float64
	}
	byDomain := make(map[string]int)
	var order []placed
	for _, mb := range dt.shuffled(dt.table.members) {
		if mb.inProbeRound() {
			byDomain[mb.vm.FailureDomain]++
			order = append(order, placed{mb: mb, at: float64(byDomain[mb.vm.FailureDomain])})
		}
	}
	for ix, pl := range order {
		size := float64(byDomain[pl.mb.vm.FailureDomain])
		order[ix].at = (pl.at - dt.domainPhase(pl.mb.vm.FailureDomain)) / size
	}
	slices.SortFunc(order, func(pa, pc placed) int {
		return cmp.Or(cmp.Compare(pa.at, pc.at), cmp.Compare(pa.mb.vm.ID, pc.mb.vm.ID))
	})
	dt.prober.round = make([]*member, len(order))
	for ix, pl := range order {
		dt.prober.round[ix] = pl.mb
	}
	dt.prober.inserted = 0
}

// domainPhase returns the offset of a failure domain within a round. It is the same
// in every round, so that the span between two probes of the domain stays the same.
func (dt *Detector) domainPhase(domain string) float64 {
	return float64(hashOf(dt.Self.ID+"\x00"+domain)&(1<<31-1)) / (1 << 31)
}

// deadMembers lists the dead VMs, which may recover.
func (dt *Detector) deadMembers() []*member {
	var dead []*member
	for _, mb := range dt.table.members {
		if mb.vm.Health == board.Dead && !mb.inProbeRound() {
			dead = append(dead, mb)
		}
	}
	return dead
}

// sendProbe probes a member, with or without the help of others.
func (dt *Detector) sendProbe(mb *member, directOnly bool) {
	if len(dt.prober.open) >= maxOpenProbes || (directOnly && len(dt.prober.open) >= maxDirectProbes) {
		return
	}
	dt.Counters.Probes++
	dt.prober.number++
	pr := &probe{number: dt.prober.number, target: mb, sent: dt.now, directOnly: directOnly}
	pr.nextAt = dt.now + dt.scaleTimeout(dt.Settings.ProbeTimeout)
	pr.deadline = dt.now + dt.scaleTimeout(dt.Settings.ProbeDeadline)
	if directOnly || dt.disabled.helpers || !mb.maybeAlive() {
		pr.nextAt = pr.deadline
	}
	dt.prober.open[pr.number] = pr
	dt.send(mb, newProbeDatagram(pr.number, mb))
}

func newProbeDatagram(number uint64, mb *member) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_Probe{Probe: &peerpb.Probe{
		Number:    number,
		Suspected: mb.vm.Health == board.Suspect,
	}}}
}

// expireProbes requests helpers that are due, and ends probes and relays that timed out.
func (dt *Detector) expireProbes() {
	for _, number := range sortedKeys(dt.prober.open) {
		pr := dt.prober.open[number]
		for pr.nextAt <= dt.now && pr.nextAt < pr.deadline {
			dt.sendIndirectProbe(pr)
		}
		if dt.now >= pr.deadline {
			delete(dt.prober.open, number)
			dt.handleMissedProbe(pr)
		}
	}
	for _, number := range sortedKeys(dt.prober.relays) {
		rl := dt.prober.relays[number]
		if dt.now >= rl.deadline {
			dt.replyToRequester(rl, &peerpb.Ack{Number: rl.number, Target: rl.target.vm.ID, Missed: true})
			rl.deadline = rl.expires
			dt.prober.relays[number] = rl
		}
		if dt.now >= rl.expires {
			delete(dt.prober.relays, number)
		}
	}
}

// sendIndirectProbe requests the next helper of a probe. After the last one the
// probe only awaits its deadline.
func (dt *Detector) sendIndirectProbe(pr *probe) {
	if pr.helpers == nil {
		pr.helpers = dt.chooseHelpers(pr.target)
	}
	for pr.helpersRequested < len(pr.helpers) {
		dt.send(pr.helpers[pr.helpersRequested], &peerpb.Datagram{
			Body: &peerpb.Datagram_IndirectProbe{IndirectProbe: &peerpb.IndirectProbe{
				Number: pr.number,
				Target: pr.target.vm.ID,
			}},
		})
		pr.helpersRequested++
		if !dt.disabled.stagger {
			break
		}
	}
	pr.nextAt += dt.scaleTimeout(dt.Settings.HelperStagger)
	if pr.helpersRequested == len(pr.helpers) {
		pr.nextAt = pr.deadline
		dt.send(pr.target, newProbeDatagram(pr.number, pr.target)) // the first may have been lost
	}
}

// chooseHelpers selects VMs that reach the target over different paths: the
// first in the target's failure domain, the others each in a different one.
func (dt *Detector) chooseHelpers(target *member) []*member {
	var near, apart, rest []*member
	seen := map[string]bool{target.vm.FailureDomain: true}
	for _, mb := range dt.shuffled(dt.table.members) {
		domain := mb.vm.FailureDomain
		switch {
		case mb == target || mb.vm.Health != board.Alive:
		case domain == target.vm.FailureDomain && len(near) == 0:
			near = append(near, mb)
		case !seen[domain]:
			seen[domain] = true
			apart = append(apart, mb)
		default:
			rest = append(rest, mb)
		}
	}
	all := slices.Concat(near, apart, rest)
	return all[:min(len(all), dt.Settings.Helpers)]
}

// handleMissedProbe handles a probe that was not acked in time. If no helper
// answered either, the fault may be local to this VM.
func (dt *Detector) handleMissedProbe(pr *probe) {
	dt.Counters.Missed++
	mb := pr.target
	if pr.helpersRequested > 0 && pr.helpersMissed == 0 {
		dt.adjustHealth(1)
	}
	if dt.table.byID[mb.vm.ID] != mb {
		return
	}
	switch {
	case !mb.observed:
		mb.missedProbes++
	case mb.maybeAlive() && !pr.directOnly: // a single lost datagram must not cause a suspicion
		dt.recordSample(pr, false)
		dt.suspectMissed(mb)
	}
}

// suspectMissed suspects a member that missed a probe.
func (dt *Detector) suspectMissed(mb *member) {
	if dt.disabled.suspicion {
		dt.markDead(mb)
		return
	}
	if mb.vm.Health == board.Alive {
		dt.Counters.Suspected++
	}
	dt.suspect(mb, dt.selfHash)
}

// receive handles a datagram.
func (dt *Detector) receive(dg *peerpb.Datagram) {
	if dg.GetTo() != dt.Self.ID || dg.GetFrom() == "" || dg.GetFrom() == dt.Self.ID ||
		dg.GetIncarnation() == 0 || dg.GetIncarnation() >= maxIncarnation || dg.GetBody() == nil {
		dt.Counters.Ignored++
		return
	}
	news := dt.applyRumours(dg)
	from := dt.table.byID[dg.GetFrom()]
	if from == nil || !from.observed || dg.GetIncarnation() < from.vm.Incarnation {
		dt.Counters.UnknownSenders++
		dt.sendCorrection(from)
		return
	}
	if from.localOnly {
		dt.revive(from)
	}
	if dt.left {
		return
	}
	dt.handleBody(from, dg, news)
	dt.staleAtSender = nil
}

// sendCorrection tells a VM that it uses an outdated incarnation.
func (dt *Detector) sendCorrection(from *member) {
	if from == nil || !from.observed || dt.left {
		return
	}
	dg := newNotice()
	dg.Rumours = append(dg.Rumours, dt.memberRumour(from, dt.selfHash, true))
	dt.send(from, dg)
}

func (dt *Detector) handleBody(from *member, dg *peerpb.Datagram, news bool) {
	switch body := dg.GetBody().(type) {
	case *peerpb.Datagram_Probe:
		dt.ackProbe(from, body.Probe)
	case *peerpb.Datagram_Ack:
		dt.handleAck(from, body.Ack)
	case *peerpb.Datagram_IndirectProbe:
		dt.relayProbe(from, body.IndirectProbe)
	case *peerpb.Datagram_SyncAsk:
		dt.replySync(from, body.SyncAsk)
	case *peerpb.Datagram_SyncReply:
		dt.handleSyncReply(from, news)
	}
}

// ackProbe acks a probe. If the sender suspects this VM, the rumour about this VM's own
// state is queued again, since the sender may have missed it.
func (dt *Detector) ackProbe(from *member, pb *peerpb.Probe) {
	if pb.GetSuspected() {
		dt.rumours.push(dt.Self.ID, 0)
	}
	dt.send(from, &peerpb.Datagram{Body: &peerpb.Datagram_Ack{Ack: &peerpb.Ack{
		Number: pb.GetNumber(),
		Digest: dt.digest(),
	}}})
}

// relayProbe probes a member on behalf of another VM.
func (dt *Detector) relayProbe(from *member, ip *peerpb.IndirectProbe) {
	target := dt.table.byID[ip.GetTarget()]
	if target == nil || len(dt.prober.relays) >= maxRelays {
		return
	}
	dt.Counters.Relayed++
	dt.prober.number++
	dt.prober.relays[dt.prober.number] = relay{
		requester: from.vm.ID,
		number:    ip.GetNumber(),
		target:    target,
		deadline:  dt.now + dt.Settings.ProbeTimeout,
		expires:   dt.now + dt.Settings.ProbeDeadline,
	}
	dt.send(target, newProbeDatagram(dt.prober.number, target))
}

func (dt *Detector) replyToRequester(rl relay, ack *peerpb.Ack) {
	if requester := dt.table.byID[rl.requester]; requester != nil {
		dt.send(requester, &peerpb.Datagram{Body: &peerpb.Datagram_Ack{Ack: ack}})
	}
}

// handleAck completes a probe of this VM, or forwards the ack to the VM that requested it.
func (dt *Detector) handleAck(from *member, ack *peerpb.Ack) {
	if ack.GetTarget() == "" {
		if rl, ok := dt.prober.relays[ack.GetNumber()]; ok && rl.target == from {
			delete(dt.prober.relays, ack.GetNumber())
			dt.replyToRequester(rl, &peerpb.Ack{
				Number:            rl.number,
				Target:            from.vm.ID,
				TargetIncarnation: from.vm.Incarnation,
			})
			return
		}
	}
	pr, ok := dt.prober.open[ack.GetNumber()]
	if !ok {
		return
	}
	direct := ack.GetTarget() == "" && pr.target == from
	helped := ack.GetTarget() == pr.target.vm.ID && slices.Contains(pr.helpers[:pr.helpersRequested], from)
	switch {
	case helped && ack.GetMissed():
		pr.helpersMissed++
		return
	case !direct && !helped:
		return
	}
	delete(dt.prober.open, pr.number)
	dt.Counters.Acked++
	dt.adjustHealth(-1)
	dt.recordSample(pr, true)
	if direct && ack.GetDigest() != dt.digest() {
		dt.startSync(from)
	}
}

func sortedKeys[Value any](mp map[uint64]Value) []uint64 {
	keys := make([]uint64, 0, len(mp))
	for key := range mp {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
