package charge

import (
	"slices"

	"alderdyke/internal/quota"
	"alderdyke/pkg/clock"
)

// Verdicts of a [Preview].
const (
	Granted Verdict = "Granted"
	Denied  Verdict = "Denied"  // the quota is used up
	Away    Verdict = "Away"    // no keeper responds
	Unknown Verdict = "Unknown" // other VMs decide, the keepers of the quotas
)

type (
	// Verdict is what would become of a charge, as far as this VM knows.
	Verdict string

	// Preview describes a charge that is not made.
	Preview struct {
		Verdict Verdict
		Credit  float64      // tokens that this VM holds in advance
		Local   float64      // tokens that this VM may grant while no keeper responds, with the credit
		Wait    clock.Millis // until there is room, if the charge is denied
		Keepers []string     // VM that keeps each shard; empty: not known
	}

	// PermitPreview describes a permit that is not taken.
	PermitPreview struct {
		Verdict Verdict
		// Wait is the time until there is room, as a keeper said or would say, or until a keeper
		// is expected to respond. It is zero if the permit is granted or nothing is known.
		Wait    clock.Millis
		Keepers []string // VM that keeps each shard; empty: not known
	}
)

// permitOrder ranks the verdicts of the shards: one that grants a permit is enough, and one of
// which this VM knows nothing may grant it.
var permitOrder = map[Verdict]int{Away: 0, Denied: 1, Unknown: 2, Granted: 3}

// Preview returns what Charge would decide on an order at its first attempt. It takes
// nothing, and asks no other VM.
func (ch *Charger) Preview(or Order) Preview {
	or.whole = or.Tokens
	ch.ensureShards()
	vms, keepers := ch.Peers.VMs(), ch.Peers.Keepers()
	replies := ch.localReplies(keepers, or)
	ch.mu.Lock()
	defer ch.mu.Unlock()
	now, lim := ch.now(), or.Limit.PerShard()
	var pv Preview
	for _, re := range replies {
		credit, local := re.sh.account.Tokens(now, vms, or.Customer, lim)
		pv.Credit, pv.Local, pv.Keepers = pv.Credit+credit, pv.Local+local, append(pv.Keepers, re.vm)
	}
	if pv.Credit >= or.Tokens {
		pv.Verdict = Granted
		return pv
	}
	known, granted := ch.previewKeepers(now, vms, replies, or)
	unavailable, away := 0.0, false // tokens of the shards without a responding keeper
	for _, re := range replies {
		if re.unavailable {
			_, local := re.sh.account.Tokens(now, vms, or.Customer, lim)
			unavailable, away = unavailable+local, true
		}
	}
	switch {
	case !known:
		pv.Verdict = Unknown
	case granted, away && vms > 0 && unavailable >= or.Tokens:
		pv.Verdict = Granted
	case away:
		pv.Verdict = Away
	default:
		pv.Verdict = Denied
		for _, re := range replies {
			pv.Wait = max(pv.Wait, re.wait)
		}
	}
	return pv
}

// previewKeepers returns whether the keepers would grant an order. It is known if this VM
// keeps all shards of which tokens would be requested. The lock must be held.
func (ch *Charger) previewKeepers(now clock.Millis, vms int, replies []*reply, or Order) (known, granted bool) {
	open := eligible(replies)
	if slices.ContainsFunc(open, func(re *reply) bool { return re.vm != ch.Self }) {
		return false, false
	}
	lim := or.Limit.PerShard()
	ask := func(sh *shard, ke *quota.Keeper, tokens float64) quota.Response {
		account := sh.account.Clone()
		return ke.Handle(now, vms, ch.Self, 0, or.describeCaller(account.NewRequest(now, vms, ch.Self, or.Customer, lim, tokens)), &lim)
	}
	part := or.Tokens / float64(max(1, len(open)))
	var granting *shard
	var keeper *quota.Keeper
	missing := 0
	for _, re := range open {
		ke := re.sh.keeper.Clone()
		rsp := ask(re.sh, ke, part)
		re.denied, re.unavailable, re.wait = rsp.Known && !rsp.Granted, !rsp.Known, rsp.Wait
		switch {
		case !rsp.Known || !rsp.Granted:
			missing++
		case granting == nil:
			granting, keeper = re.sh, ke
		}
	}
	if granting == nil {
		return true, false
	}
	return true, missing == 0 || ask(granting, keeper, part*float64(missing)).Granted
}

// PreviewPermit returns whether TakePermit would get a permit now, as far as this VM knows. It
// takes nothing and asks no other VM: of keepers at other VMs it knows their recent denials.
func (ch *Charger) PreviewPermit(or PermitOrder) PermitPreview {
	ch.ensureShards()
	vms, keepers := ch.Peers.VMs(), ch.Peers.Keepers()
	rate := or.Rate
	if ch.ServerLimit != nil {
		if known, ok := ch.ServerLimit(or.Server); ok {
			rate = known // by which a keeper at this VM grants
		}
	}
	ch.mu.Lock()
	defer ch.mu.Unlock()
	pv, now := PermitPreview{Verdict: Away}, ch.now()
	for _, sh := range ch.shards {
		vm := sh.keeperFor(now, keepers[sh.index])
		verdict, wait := ch.previewShardPermit(now, vms, sh, vm, rate, or)
		pv.Keepers = append(pv.Keepers, vm)
		if permitOrder[verdict] > permitOrder[pv.Verdict] {
			pv.Verdict = verdict
		}
		if wait > 0 && (pv.Wait == 0 || wait < pv.Wait) {
			pv.Wait = wait
		}
	}
	switch pv.Verdict {
	case Granted:
		pv.Wait = 0
	case Away:
		pv.Wait = max(minRetryAfter, ch.unavailableFor(now))
	case Denied, Unknown:
	}
	return pv
}

// previewShardPermit is PreviewPermit for one shard. The lock must be held.
func (ch *Charger) previewShardPermit(now clock.Millis, vms int, sh *shard, vm string, rate float64, or PermitOrder) (Verdict, clock.Millis) {
	de := sh.permitDenials[or.Server]
	switch {
	case now < de.until && or.Reserve >= de.tokens:
		return Denied, de.roomAt - now
	case vm == "" || now < sh.unresponsiveUntil[vm]:
		return Away, 0
	case vm != ch.Self:
		return Unknown, max(0, de.roomAt-now)
	}
	rsp := sh.keeper.PreviewServer(now, vms, vm, sh.account.Clone().ServerRequest(now, vms, vm, or.Server, rate/quota.Shards, or.Reserve))
	if rsp.Granted {
		return Granted, 0
	}
	return Denied, rsp.Wait
}
