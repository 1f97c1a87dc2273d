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
	maxOpen   = 256 // own probes that wait for an ack
	maxAlone  = 192 // of them, those that no helper is asked for
	maxRelays = 64  // probes on behalf of others that wait for one

	// deadShare is the largest share of periods in which a dead VM is
	// probed too, to find out when a partition ends.
	deadShare = 0.25
	// A failure domain without an ack for this share of Fresh makes this VM
	// probe one more VM there.
	staleNumerator, staleDenominator = 9, 10
)

type (
	// prober holds the probes of this VM.
	prober struct {
		next   clock.Millis // when the next period begins
		ring   []*member    // still to be probed in this round
		mixed  int          // of them, those put in since the round was laid out
		number uint64
		open   map[uint64]*probe
		relays map[uint64]relay
	}

	// probe is one probe without a verdict yet.
	probe struct {
		number   uint64
		target   *member
		alone    bool // no helper is asked, and it is no fair sample of the fleet
		sent     clock.Millis
		at       clock.Millis // when the next helper is asked, or the verdict falls
		deadline clock.Millis
		helpers  []*member // chosen when the first is needed
		asked    int
		missed   int // helpers that said that they got no ack either
	}

	// relay is a probe on behalf of another VM.
	relay struct {
		asker    string
		number   uint64
		target   *member
		deadline clock.Millis // when the asker is told that no ack came
		expires  clock.Millis // a later ack is still forwarded until then
	}
)

func notice() *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_Notice{Notice: &peerpb.Notice{}}}
}

// send fills in the ends and the rumours of a datagram.
func (dt *Detector) send(to *member, dg *peerpb.Datagram) {
	dg.From = dt.Self.ID
	dg.Incarnation = dt.Self.Incarnation
	dg.To = to.vm.ID
	dt.attach(to, dg)
	dt.out = append(dt.out, Send{To: to.vm, Datagram: dg})
}

// enrol gives a new member a random place in the round that runs.
func (pb *prober) enrol(mb *member, rnd *rand.Rand) {
	if !slices.Contains(pb.ring, mb) {
		pb.ring = slices.Insert(pb.ring, rnd.IntN(len(pb.ring)+1), mb)
		pb.mixed++
	}
}

// probeRound sends the probes of one period: the next VM of the round, now
// and then a dead one, and one in a failure domain without a fresh ack.
func (dt *Detector) probeRound() {
	target := dt.nextInRing()
	if target != nil {
		dt.launch(target, false)
	}
	dead := dt.deadMembers()
	if len(dead) > 0 {
		share := min(deadShare, float64(len(dead))/float64(len(dt.tb.members)+1))
		if target == nil || dt.Rand.Float64() < share {
			dt.launch(dead[dt.Rand.IntN(len(dead))], true)
		}
	}
	if mb := dt.staleDomain(); mb != nil {
		dt.launch(mb, false)
	}
}

func (dt *Detector) nextInRing() *member {
	if dt.pb.mixed > len(dt.pb.ring)/4 {
		dt.layRing() // too many at random to be a sample of all domains
	}
	for range 2 {
		for len(dt.pb.ring) > 0 {
			mb := dt.pb.ring[0]
			dt.pb.ring = dt.pb.ring[1:]
			if mb.probed() && dt.tb.byID[mb.vm.ID] == mb {
				return mb
			}
		}
		dt.layRing()
	}
	return nil
}

// layRing begins a round. It shuffles the VMs so that those of each failure domain are spread
// evenly over the round: any stretch of it is a sample of all domains.
func (dt *Detector) layRing() {
	type placed struct {
		mb *member
		at float64
	}
	byDomain := make(map[string]int)
	var order []placed
	for _, mb := range dt.shuffled(dt.tb.members) {
		if mb.probed() {
			byDomain[mb.vm.FailureDomain]++
			order = append(order, placed{mb: mb, at: float64(byDomain[mb.vm.FailureDomain])})
		}
	}
	for ix, pl := range order {
		size := float64(byDomain[pl.mb.vm.FailureDomain])
		order[ix].at = (pl.at - dt.phase(pl.mb.vm.FailureDomain)) / size
	}
	slices.SortFunc(order, func(pa, pc placed) int {
		return cmp.Or(cmp.Compare(pa.at, pc.at), cmp.Compare(pa.mb.vm.ID, pc.mb.vm.ID))
	})
	dt.pb.ring = make([]*member, len(order))
	for ix, pl := range order {
		dt.pb.ring[ix] = pl.mb
	}
	dt.pb.mixed = 0
}

// phase of a failure domain within the round, the same in every round, so
// that the span between two probes there stays the same too.
func (dt *Detector) phase(domain string) float64 {
	return float64(hashOf(dt.Self.ID+"\x00"+domain)&(1<<31-1)) / (1 << 31)
}

// deadMembers lists the VMs that may come back.
func (dt *Detector) deadMembers() []*member {
	var dead []*member
	for _, mb := range dt.tb.members {
		if mb.vm.Health == board.Dead && !mb.probed() {
			dead = append(dead, mb)
		}
	}
	return dead
}

// launch probes a member, alone or with the help of others.
func (dt *Detector) launch(mb *member, alone bool) {
	if len(dt.pb.open) >= maxOpen || (alone && len(dt.pb.open) >= maxAlone) {
		return
	}
	dt.Counters.Probes++
	dt.pb.number++
	pr := &probe{number: dt.pb.number, target: mb, sent: dt.now, alone: alone}
	pr.at = dt.now + dt.scaled(dt.Settings.ProbeTimeout)
	pr.deadline = dt.now + dt.scaled(dt.Settings.ProbeDeadline)
	if alone || dt.without.helpers || !mb.serving() {
		pr.at = pr.deadline
	}
	dt.pb.open[pr.number] = pr
	dt.send(mb, askAck(pr.number, mb))
}

func askAck(number uint64, mb *member) *peerpb.Datagram {
	return &peerpb.Datagram{Body: &peerpb.Datagram_Probe{Probe: &peerpb.Probe{
		Number:    number,
		Suspected: mb.vm.Health == board.Suspect,
	}}}
}

// expireProbes asks helpers and passes verdicts.
func (dt *Detector) expireProbes() {
	for _, number := range sortedKeys(dt.pb.open) {
		pr := dt.pb.open[number]
		for pr.at <= dt.now && pr.at < pr.deadline {
			dt.askHelper(pr)
		}
		if dt.now >= pr.deadline {
			delete(dt.pb.open, number)
			dt.missedProbe(pr)
		}
	}
	for _, number := range sortedKeys(dt.pb.relays) {
		rl := dt.pb.relays[number]
		if dt.now >= rl.deadline {
			dt.reply(rl, &peerpb.Ack{Number: rl.number, Target: rl.target.vm.ID, Missed: true})
			rl.deadline = rl.expires
			dt.pb.relays[number] = rl
		}
		if dt.now >= rl.expires {
			delete(dt.pb.relays, number)
		}
	}
}

// askHelper asks the next helper of a probe, or lets it wait for its verdict.
func (dt *Detector) askHelper(pr *probe) {
	if pr.helpers == nil {
		pr.helpers = dt.chooseHelpers(pr.target)
	}
	for pr.asked < len(pr.helpers) {
		dt.send(pr.helpers[pr.asked], &peerpb.Datagram{
			Body: &peerpb.Datagram_IndirectProbe{IndirectProbe: &peerpb.IndirectProbe{
				Number: pr.number,
				Target: pr.target.vm.ID,
			}},
		})
		pr.asked++
		if !dt.without.stagger {
			break
		}
	}
	pr.at += dt.scaled(dt.Settings.HelperStagger)
	if pr.asked == len(pr.helpers) {
		pr.at = pr.deadline
		dt.send(pr.target, askAck(pr.number, pr.target)) // the first may have been lost
	}
}

// chooseHelpers picks VMs that reach the target on different paths: the
// first in the target's failure domain, the others each in another one.
func (dt *Detector) chooseHelpers(target *member) []*member {
	var near, apart, rest []*member
	seen := map[string]bool{target.vm.FailureDomain: true}
	for _, mb := range dt.shuffled(dt.tb.members) {
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

// missedProbe passes the verdict that the target did not answer. If no
// helper answered either, this VM may itself be the one in trouble.
func (dt *Detector) missedProbe(pr *probe) {
	dt.Counters.Missed++
	mb := pr.target
	if pr.asked > 0 && pr.missed == 0 {
		dt.ail(1)
	}
	if dt.tb.byID[mb.vm.ID] != mb {
		return
	}
	switch {
	case !mb.heard:
		mb.tries++
	case mb.serving() && !pr.alone: // alone, one lost datagram would do
		dt.observe(pr, false)
		dt.doubt(mb)
	}
}

func (dt *Detector) doubt(mb *member) {
	if dt.without.suspicion {
		dt.die(mb)
		return
	}
	if mb.vm.Health == board.Alive {
		dt.Counters.Suspected++
	}
	dt.suspect(mb, dt.self)
}

// receive takes in a datagram.
func (dt *Detector) receive(dg *peerpb.Datagram) {
	if dg.GetTo() != dt.Self.ID || dg.GetFrom() == "" || dg.GetFrom() == dt.Self.ID ||
		dg.GetIncarnation() == 0 || dg.GetIncarnation() >= maxIncarnation || dg.GetBody() == nil {
		dt.Counters.Ignored++
		return
	}
	news := dt.hearAll(dg)
	from := dt.tb.byID[dg.GetFrom()]
	if from == nil || !from.heard || dg.GetIncarnation() < from.vm.Incarnation {
		dt.Counters.Strangers++
		dt.correct(from)
		return
	}
	if from.private {
		dt.revive(from)
	}
	if dt.left {
		return
	}
	dt.takeBody(from, dg, news)
	dt.owed = nil
}

// correct tells a VM that it uses an incarnation that it had before.
func (dt *Detector) correct(from *member) {
	if from == nil || !from.heard || dt.left {
		return
	}
	dg := notice()
	dg.Rumours = append(dg.Rumours, dt.about(from, dt.self, true))
	dt.send(from, dg)
}

func (dt *Detector) takeBody(from *member, dg *peerpb.Datagram, news bool) {
	switch body := dg.GetBody().(type) {
	case *peerpb.Datagram_Probe:
		dt.ackProbe(from, body.Probe)
	case *peerpb.Datagram_Ack:
		dt.takeAck(from, body.Ack)
	case *peerpb.Datagram_IndirectProbe:
		dt.relayProbe(from, body.IndirectProbe)
	case *peerpb.Datagram_SyncAsk:
		dt.answerSync(from, body.SyncAsk)
	case *peerpb.Datagram_SyncReply:
		dt.takeSync(from, news)
	}
}

func (dt *Detector) ackProbe(from *member, pb *peerpb.Probe) {
	if pb.GetSuspected() {
		dt.rm.push(dt.Self.ID, 0)
	}
	dt.send(from, &peerpb.Datagram{Body: &peerpb.Datagram_Ack{Ack: &peerpb.Ack{
		Number: pb.GetNumber(),
		Digest: dt.digest(),
	}}})
}

func (dt *Detector) relayProbe(from *member, ip *peerpb.IndirectProbe) {
	target := dt.tb.byID[ip.GetTarget()]
	if target == nil || len(dt.pb.relays) >= maxRelays {
		return
	}
	dt.Counters.Relayed++
	dt.pb.number++
	dt.pb.relays[dt.pb.number] = relay{
		asker:    from.vm.ID,
		number:   ip.GetNumber(),
		target:   target,
		deadline: dt.now + dt.Settings.ProbeTimeout,
		expires:  dt.now + dt.Settings.ProbeDeadline,
	}
	dt.send(target, askAck(dt.pb.number, target))
}

func (dt *Detector) reply(rl relay, ack *peerpb.Ack) {
	if asker := dt.tb.byID[rl.asker]; asker != nil {
		dt.send(asker, &peerpb.Datagram{Body: &peerpb.Datagram_Ack{Ack: ack}})
	}
}

// takeAck ends a probe of this VM, or forwards the ack to whom it was for.
func (dt *Detector) takeAck(from *member, ack *peerpb.Ack) {
	if ack.GetTarget() == "" {
		if rl, ok := dt.pb.relays[ack.GetNumber()]; ok && rl.target == from {
			delete(dt.pb.relays, ack.GetNumber())
			dt.reply(rl, &peerpb.Ack{
				Number:            rl.number,
				Target:            from.vm.ID,
				TargetIncarnation: from.vm.Incarnation,
			})
			return
		}
	}
	pr, ok := dt.pb.open[ack.GetNumber()]
	if !ok {
		return
	}
	direct := ack.GetTarget() == "" && pr.target == from
	helped := ack.GetTarget() == pr.target.vm.ID && slices.Contains(pr.helpers[:pr.asked], from)
	switch {
	case helped && ack.GetMissed():
		pr.missed++
		return
	case !direct && !helped:
		return
	}
	delete(dt.pb.open, pr.number)
	dt.Counters.Acked++
	dt.ail(-1)
	dt.observe(pr, true)
	if direct && ack.GetDigest() != dt.digest() {
		dt.trySync(from)
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
