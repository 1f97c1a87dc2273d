// Package membership decides which entry VMs are alive, without a
// coordination service.
//
// Each VM probes one other VM a period over datagrams, asks helpers before it
// suspects one, and spreads what it learned as rumours on the datagrams that
// it sends anyway, as SWIM does. The number of datagrams that a VM sends does
// not grow with the fleet. From Lifeguard it takes the local health
// multiplier, suspicion timeouts that shrink with independent confirmations,
// helpers that are asked one after another and report a missed ack, and the
// flag that tells a VM that it is suspected.
//
// A VM goes through Alive, Suspect and Dead. It counts as Dead only DeadDelay
// after its suspicion ran out. DeadDelay is longer than AckTTL, the span after
// which a VM without acks from a majority of the roster stops being quorate:
// a VM that is cut off has fenced itself before others take over its work. A
// VM that lost the majority counts as quorate again only after another AckTTL.
// Dead is final for an incarnation: who hears that it was held dead goes on
// under a new one.
//
// A VM that is not quorate still marks VMs as Dead for itself, so that it goes
// on serving what it can, but it does not tell others: one VM that was cut off
// must not make the whole fleet refute its death.
//
// A Detector does no I/O: it is given events and the time, and returns
// intents. It is not safe for concurrent use.
//
// # Usage
//
//	dt := &membership.Detector{
//		Self: board.VM{
//			VMRef:         board.VMRef{ID: "aarhus-a-1", Incarnation: startedAt},
//			FailureDomain: "aarhus-a",
//			Peer:          "10.0.0.1:7400",
//		},
//		Rand: rand.New(rand.NewPCG(seed, 0)),
//	}
//	for _, in := range dt.Step(now, membership.Listed{VMs: listed}) {
//		switch in := in.(type) {
//		case membership.Send: ...
//		case membership.FleetChanged: ...
//		case membership.QuorumDeadline: ...
//		case membership.DeathRefuted: ...
//		case membership.Replaced: ...
//		case membership.Wake: ...
//		}
//	}
package membership

import (
	"math/rand/v2"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// Defaults of Settings.
const (
	defaultProbeInterval = 500 * clock.Millis(1)
	defaultProbeTimeout  = 300 * clock.Millis(1)
	defaultHelperStagger = 150 * clock.Millis(1)
	defaultProbeDeadline = 1500 * clock.Millis(1)
	defaultSuspicionMin  = 2 * clock.Second
	defaultSuspicionMax  = 6 * clock.Second
	defaultAckTTL        = 5 * clock.Second
	defaultDeadDelay     = 7 * clock.Second
	defaultRemoveAfter   = 2 * clock.Minute
	defaultSyncInterval  = 20 * clock.Second
	defaultPauseLimit    = 150 * clock.Millis(1)
	defaultHelpers       = 3
	defaultMaxDatagram   = 1100
)

const (
	cleanupInterval  = clock.Second
	removedRetention = clock.Hour // how long removed VMs are remembered
	maxHealth        = 8          // of the local health multiplier
	pausePenalty     = 2          // added to it by a pause of this process
	confirmations    = 2          // independent ones that shrink a suspicion to its minimum
)

type (
	// Detector is membership as one VM sees it. Set the exported fields
	// before the first Step.
	Detector struct {
		// Self is this VM. Its Incarnation must be higher than that of any
		// earlier run under the same ID, such as the wall clock in
		// milliseconds at the start of the process.
		Self board.VM
		// Rand chooses VMs and spreads load. It must be seeded differently
		// on each VM.
		Rand     *rand.Rand
		Settings Settings
		// Counters grow while the detector runs; read them between steps.
		Counters Counters

		now       clock.Millis
		selfHash  uint32 // hash of the ID of Self
		started   bool
		startedAt clock.Millis
		listed    bool // the VM list or the seeds were given once
		leaving   bool
		left      bool
		disabled  disabledFeatures // refinements switched off to measure their worth

		refutation  uint32 // of this incarnation of Self
		localHealth int    // local health: 0 is good
		table       table
		rumours     rumours
		prober      prober
		syncer      syncer
		quorum      quorum

		nextCleanup   clock.Millis
		wakeAt        clock.Millis
		staleAtSender []*member // of which the sender of this step's datagram holds an old doubt
		fleet         *board.Fleet
		dirty         bool
		out           []Intent
	}

	// Settings of a Detector. A zero field means the default.
	Settings struct {
		ProbeInterval clock.Millis // one VM is probed each such period
		ProbeTimeout  clock.Millis // without an ack by then, helpers are asked
		HelperStagger clock.Millis // between one helper and the next
		ProbeDeadline clock.Millis // without an ack by then, the VM is suspect
		SuspicionMin  clock.Millis // with independent confirmations
		SuspicionMax  clock.Millis // without any
		// AckTTL is how long an ack counts toward being quorate, from when
		// its probe was sent.
		AckTTL clock.Millis
		// DeadDelay passes after a suspicion ran out before the VM counts as
		// Dead. Keep it longer than AckTTL plus the time a rumour needs to
		// reach the fleet.
		DeadDelay    clock.Millis
		RemoveAfter  clock.Millis // Dead and not listed for so long leaves the roster
		SyncInterval clock.Millis // between comparisons of tables that differ
		PauseLimit   clock.Millis // a Tick later than this shows a pause of this process
		Helpers      int
		MaxDatagram  int // bytes of an encoded datagram, without what the transport adds
	}

	// Counters of a Detector since it started.
	Counters struct {
		Probes         uint64 // sent on own behalf
		Acked          uint64 // probes that were acked, directly or by a helper
		Missed         uint64 // probes that were not
		Relayed        uint64 // probes sent on behalf of others
		Suspected      uint64 // suspicions that began from an own probe
		MarkedDead     uint64 // VMs that became Dead
		Refutations    uint64 // of suspicion or death of Self
		Pauses         uint64 // of this process
		Syncs          uint64 // requests to compare tables
		Ignored        uint64 // datagrams that are not well formed or not for Self
		UnknownSenders uint64 // datagrams of VMs whose address is not known
	}

	// disabledFeatures switches refinements off, for comparison only.
	disabledFeatures struct {
		helpers     bool // suspect after the direct probe alone
		suspicion   bool // no suspicion: dead at the first missed probe
		localHealth bool // timeouts do not follow local health or pauses
		decay       bool // suspicion lasts SuspicionMin whatever the confirmations
		stagger     bool // all helpers are asked at once
	}
)

// Step takes one event at a point in time and returns what is to be done. The
// time must not go backward.
func (dt *Detector) Step(now clock.Millis, ev Event) []Intent {
	dt.start(now)
	dt.out = nil
	dt.now = max(now, dt.now)
	dt.detectPause()
	switch ev := ev.(type) {
	case Received:
		dt.receive(ev.Datagram)
	case Listed:
		dt.applyList(ev.VMs)
	case Leave:
		dt.leave(ev.Final)
	case Tick:
	}
	if !dt.left {
		dt.advance()
	}
	return dt.finish()
}

// Quorate tells whether this VM reaches a majority of the roster at the
// given point, as far as is known from the steps so far.
func (dt *Detector) Quorate(now clock.Millis) bool {
	return dt.started && !dt.left && dt.quorum.until > now
}

func (dt *Detector) start(now clock.Millis) {
	if dt.started {
		return
	}
	dt.started = true
	dt.startedAt = now
	dt.now = now
	dt.selfHash = hashOf(dt.Self.ID)
	dt.Settings = dt.Settings.withDefaults()
	dt.table.byID = make(map[string]*member)
	dt.table.removed = make(map[string]removedVM)
	dt.prober.open = make(map[uint64]*probe)
	dt.prober.relays = make(map[uint64]relay)
	dt.prober.next = now + clock.Millis(dt.Rand.Int64N(int64(dt.Settings.ProbeInterval)))
	dt.nextCleanup = now + cleanupInterval
	dt.Self.Health = board.Alive
	dt.rumours.push(dt.Self.ID, 0)
	dt.invalidate()
}

// detectPause notices that this process did not run when it wanted to. What
// the others sent in the meantime is still queued, so open probes prove
// nothing and suspicions wait for as long as the pause took.
func (dt *Detector) detectPause() {
	late := dt.now - dt.wakeAt
	if dt.wakeAt == 0 || late <= dt.Settings.PauseLimit {
		return
	}
	dt.Counters.Pauses++
	if dt.disabled.localHealth {
		return
	}
	dt.adjustHealth(pausePenalty)
	clear(dt.prober.open)
	clear(dt.prober.relays)
	for _, mb := range dt.table.suspects {
		mb.suspicion.started += late
		mb.suspicion.deadline += late
	}
}

// adjustHealth worsens the local health, and improves it if by is negative.
func (dt *Detector) adjustHealth(by int) {
	if dt.disabled.localHealth {
		return
	}
	dt.localHealth = min(max(dt.localHealth+by, 0), maxHealth)
}

// scaleTimeout stretches a timeout by the local health.
func (dt *Detector) scaleTimeout(span clock.Millis) clock.Millis {
	return span * clock.Millis(1+dt.localHealth)
}

func (dt *Detector) advance() {
	dt.expireProbes()
	dt.expireSuspicions()
	dt.expireSync()
	if dt.now >= dt.nextCleanup {
		dt.nextCleanup = dt.now + cleanupInterval
		dt.removeExpired()
	}
	if dt.now >= dt.prober.next {
		dt.prober.next = max(dt.prober.next+dt.Settings.ProbeInterval, dt.now+dt.Settings.ProbeInterval/2)
		dt.probeRound()
	}
}

func (dt *Detector) leave(final bool) {
	if dt.left {
		return
	}
	dt.leaving = true
	dt.Self.Leaving = true
	if final {
		dt.left = true
		dt.Self.Health = board.Left
	}
	dt.rumours.push(dt.Self.ID, 0)
	dt.invalidate()
	if final {
		dt.announceLeave()
	}
}

// announceLeave tells a few VMs at once, since this VM sends nothing afterwards.
func (dt *Detector) announceLeave() {
	told := 0
	for _, mb := range dt.shuffled(dt.table.members) {
		if mb.vm.Health != board.Alive || !mb.confirmed {
			continue
		}
		dt.send(mb, newNotice())
		if told++; told == 2*dt.Settings.Helpers {
			return
		}
	}
}

// finish closes a step: quorum, snapshot and the next wake.
func (dt *Detector) finish() []Intent {
	dt.updateQuorum()
	if dt.dirty {
		dt.dirty = false
		dt.fleet = dt.snapshot()
		dt.out = append(dt.out, FleetChanged{Fleet: dt.fleet})
	}
	if at := dt.nextWake(); !dt.left {
		dt.wakeAt = at
		dt.out = append(dt.out, Wake{At: at})
	}
	return dt.out
}

func (dt *Detector) nextWake() clock.Millis {
	at := min(dt.nextCleanup, dt.prober.next)
	if dt.quorum.until > dt.now {
		at = min(at, dt.quorum.until)
	} else if dt.quorum.majoritySince > 0 {
		at = min(at, dt.quorum.majoritySince+dt.Settings.AckTTL)
	}
	for _, pr := range dt.prober.open {
		at = min(at, pr.nextAt)
	}
	for _, rl := range dt.prober.relays {
		at = min(at, rl.deadline)
	}
	for _, mb := range dt.table.suspects {
		at = min(at, mb.suspicion.nextAction())
	}
	if dt.syncer.awaiting != "" {
		at = min(at, dt.syncer.deadline)
	}
	return max(at, dt.now+1)
}

func (se Settings) withDefaults() Settings {
	spans := []struct {
		field *clock.Millis
		value clock.Millis
	}{
		{&se.ProbeInterval, defaultProbeInterval},
		{&se.ProbeTimeout, defaultProbeTimeout},
		{&se.HelperStagger, defaultHelperStagger},
		{&se.ProbeDeadline, defaultProbeDeadline},
		{&se.SuspicionMin, defaultSuspicionMin},
		{&se.SuspicionMax, defaultSuspicionMax},
		{&se.AckTTL, defaultAckTTL},
		{&se.DeadDelay, defaultDeadDelay},
		{&se.RemoveAfter, defaultRemoveAfter},
		{&se.SyncInterval, defaultSyncInterval},
		{&se.PauseLimit, defaultPauseLimit},
	}
	for _, sp := range spans {
		if *sp.field <= 0 {
			*sp.field = sp.value
		}
	}
	if se.Helpers <= 0 {
		se.Helpers = defaultHelpers
	}
	if se.MaxDatagram <= 0 {
		se.MaxDatagram = defaultMaxDatagram
	}
	return se
}
