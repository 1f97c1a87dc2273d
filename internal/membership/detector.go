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
// A VM goes through Alive, Suspect and Dead. It counts as Dead only DeadHold
// after its suspicion ran out. DeadHold is longer than Fresh, the span after
// which a VM without acks from a majority of the roster stops being quorate:
// a VM that is cut off has fenced itself before others take over its work. A
// VM that lost the majority counts as quorate again only after another Fresh.
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
//		case membership.Changed: ...
//		case membership.Fresh: ...
//		case membership.Refuted: ...
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
	defaultProbeEvery    = 500 * clock.Millis(1)
	defaultProbeTimeout  = 300 * clock.Millis(1)
	defaultStagger       = 150 * clock.Millis(1)
	defaultProbeDeadline = 1500 * clock.Millis(1)
	defaultSuspicionMin  = 2 * clock.Second
	defaultSuspicionMax  = 6 * clock.Second
	defaultFresh         = 5 * clock.Second
	defaultDeadHold      = 7 * clock.Second
	defaultRemoveAfter   = 2 * clock.Minute
	defaultSyncEvery     = 20 * clock.Second
	defaultPauseLimit    = 150 * clock.Millis(1)
	defaultHelpers       = 3
	defaultMaxDatagram   = 1100
)

const (
	housekeepEvery = clock.Second
	goneFor        = clock.Hour // how long removed VMs are remembered
	maxHealth      = 8          // of the local health multiplier
	pauseHealth    = 2          // added to it by a pause of this process
	confirmations  = 2          // independent ones that shrink a suspicion to its minimum
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
		self      uint32 // hash of the ID of Self
		started   bool
		startedAt clock.Millis
		listed    bool // the VM list or the seeds were given once
		leaving   bool
		left      bool
		without   without // refinements switched off to measure their worth

		refutation uint32 // of this incarnation of Self
		health     int    // local health: 0 is good
		tb         table
		rm         rumours
		pb         prober
		sy         syncer
		qr         quorum

		nextHousekeep clock.Millis
		wakeAt        clock.Millis
		owed          []*member // of which the sender of this step's datagram holds an old doubt
		fleet         *board.Fleet
		dirty         bool
		out           []Intent
	}

	// Settings of a Detector. A zero field means the default.
	Settings struct {
		ProbeEvery    clock.Millis // one VM is probed each such period
		ProbeTimeout  clock.Millis // without an ack by then, helpers are asked
		HelperStagger clock.Millis // between one helper and the next
		ProbeDeadline clock.Millis // without an ack by then, the VM is suspect
		SuspicionMin  clock.Millis // with independent confirmations
		SuspicionMax  clock.Millis // without any
		// Fresh is how long an ack counts toward being quorate, from when
		// its probe was sent.
		Fresh clock.Millis
		// DeadHold passes after a suspicion ran out before the VM counts as
		// Dead. Keep it longer than Fresh plus the time a rumour needs to
		// reach the fleet.
		DeadHold    clock.Millis
		RemoveAfter clock.Millis // Dead and not listed for so long leaves the roster
		SyncEvery   clock.Millis // between comparisons of tables that differ
		PauseLimit  clock.Millis // a Tick later than this shows a pause of this process
		Helpers     int
		MaxDatagram int // bytes of an encoded datagram, without what the transport adds
	}

	// Counters of a Detector since it started.
	Counters struct {
		Probes      uint64 // sent on own behalf
		Acked       uint64 // probes that were acked, directly or by a helper
		Missed      uint64 // probes that were not
		Relayed     uint64 // probes sent on behalf of others
		Suspected   uint64 // suspicions that began from an own probe
		Died        uint64 // VMs that became Dead
		Refutations uint64 // of suspicion or death of Self
		Pauses      uint64 // of this process
		Syncs       uint64 // requests to compare tables
		Ignored     uint64 // datagrams that are not well formed or not for Self
		Strangers   uint64 // datagrams of VMs whose address is not known
	}

	// without switches refinements off, for comparison only.
	without struct {
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
	dt.notePause()
	switch ev := ev.(type) {
	case Received:
		dt.receive(ev.Datagram)
	case Listed:
		dt.list(ev.VMs)
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
	return dt.started && !dt.left && dt.qr.until > now
}

func (dt *Detector) start(now clock.Millis) {
	if dt.started {
		return
	}
	dt.started = true
	dt.startedAt = now
	dt.now = now
	dt.self = hashOf(dt.Self.ID)
	dt.Settings = dt.Settings.withDefaults()
	dt.tb.byID = make(map[string]*member)
	dt.tb.gone = make(map[string]goneVM)
	dt.pb.open = make(map[uint64]*probe)
	dt.pb.relays = make(map[uint64]relay)
	dt.pb.next = now + clock.Millis(dt.Rand.Int64N(int64(dt.Settings.ProbeEvery)))
	dt.nextHousekeep = now + housekeepEvery
	dt.Self.Health = board.Alive
	dt.rm.push(dt.Self.ID, 0)
	dt.touch()
}

// notePause notices that this process did not run when it wanted to. What
// the others sent in the meantime is still queued, so open probes prove
// nothing and suspicions wait for as long as the pause took.
func (dt *Detector) notePause() {
	late := dt.now - dt.wakeAt
	if dt.wakeAt == 0 || late <= dt.Settings.PauseLimit {
		return
	}
	dt.Counters.Pauses++
	if dt.without.localHealth {
		return
	}
	dt.ail(pauseHealth)
	clear(dt.pb.open)
	clear(dt.pb.relays)
	for _, mb := range dt.tb.suspects {
		mb.suspicion.started += late
		mb.suspicion.deadline += late
	}
}

// ail worsens the local health, and improves it if by is negative.
func (dt *Detector) ail(by int) {
	if dt.without.localHealth {
		return
	}
	dt.health = min(max(dt.health+by, 0), maxHealth)
}

// scaled stretches a timeout by the local health.
func (dt *Detector) scaled(span clock.Millis) clock.Millis {
	return span * clock.Millis(1+dt.health)
}

func (dt *Detector) advance() {
	dt.expireProbes()
	dt.expireSuspicions()
	dt.expireSync()
	if dt.now >= dt.nextHousekeep {
		dt.nextHousekeep = dt.now + housekeepEvery
		dt.housekeep()
	}
	if dt.now >= dt.pb.next {
		dt.pb.next = max(dt.pb.next+dt.Settings.ProbeEvery, dt.now+dt.Settings.ProbeEvery/2)
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
	dt.rm.push(dt.Self.ID, 0)
	dt.touch()
	if final {
		dt.announce()
	}
}

// announce tells a few VMs at once, since this VM sends nothing afterwards.
func (dt *Detector) announce() {
	told := 0
	for _, mb := range dt.shuffled(dt.tb.members) {
		if mb.vm.Health != board.Alive || !mb.heard {
			continue
		}
		dt.send(mb, notice())
		if told++; told == 2*dt.Settings.Helpers {
			return
		}
	}
}

// finish closes a step: quorum, snapshot and the next wake.
func (dt *Detector) finish() []Intent {
	dt.measureQuorum()
	if dt.dirty {
		dt.dirty = false
		dt.fleet = dt.snapshot()
		dt.out = append(dt.out, Changed{Fleet: dt.fleet})
	}
	if at := dt.nextWake(); !dt.left {
		dt.wakeAt = at
		dt.out = append(dt.out, Wake{At: at})
	}
	return dt.out
}

func (dt *Detector) nextWake() clock.Millis {
	at := min(dt.nextHousekeep, dt.pb.next)
	if dt.qr.until > dt.now {
		at = min(at, dt.qr.until)
	} else if dt.qr.reached > 0 {
		at = min(at, dt.qr.reached+dt.Settings.Fresh)
	}
	for _, pr := range dt.pb.open {
		at = min(at, pr.at)
	}
	for _, rl := range dt.pb.relays {
		at = min(at, rl.deadline)
	}
	for _, mb := range dt.tb.suspects {
		at = min(at, mb.suspicion.next())
	}
	if dt.sy.asked != "" {
		at = min(at, dt.sy.deadline)
	}
	return max(at, dt.now+1)
}

func (se Settings) withDefaults() Settings {
	spans := []struct {
		field *clock.Millis
		value clock.Millis
	}{
		{&se.ProbeEvery, defaultProbeEvery},
		{&se.ProbeTimeout, defaultProbeTimeout},
		{&se.HelperStagger, defaultStagger},
		{&se.ProbeDeadline, defaultProbeDeadline},
		{&se.SuspicionMin, defaultSuspicionMin},
		{&se.SuspicionMax, defaultSuspicionMax},
		{&se.Fresh, defaultFresh},
		{&se.DeadHold, defaultDeadHold},
		{&se.RemoveAfter, defaultRemoveAfter},
		{&se.SyncEvery, defaultSyncEvery},
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
