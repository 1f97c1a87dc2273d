// Package membership detects which entry VMs are alive, without a
// coordination service.
//
// It implements SWIM: each VM probes one other VM per period over datagrams,
// requests indirect probes from helpers before it suspects a VM, and
// disseminates what it learned as rumours piggybacked on the datagrams that it
// sends anyway. The number of datagrams that a VM sends does not grow with the
// fleet. From Lifeguard it takes the local health multiplier, suspicion
// timeouts that shrink with independent confirmations, helpers that are
// requested one after another and report a missed ack, and the flag that
// informs a VM that it is suspected.
//
// A VM goes through Alive, Suspect and Dead. It counts as Dead only DeadDelay
// after its suspicion timed out. DeadDelay is longer than AckTTL, the span
// after which a VM without acks from a majority of the roster stops being
// quorate. A partitioned VM has therefore fenced itself before others take
// over its work. A VM that lost the majority counts as quorate again only
// after it has reached one for another AckTTL. Dead is final for a generation
// of an incarnation: a VM that learns that it was declared dead continues in a
// new generation.
//
// A VM that is not quorate still marks VMs as Dead locally, so that it can
// continue to serve, but does not tell others. Otherwise a single partitioned
// VM would make every other VM refute its own death.
//
// A Detector does no I/O: it takes events and the time, and returns intents.
// It is not safe for concurrent use.
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
	maxHealth        = 8          // limit of the local health score
	pausePenalty     = 2          // added to the local health score by a pause of this process
	confirmations    = 2          // independent confirmations that shrink a suspicion timeout to its minimum
)

type (
	// Detector is the failure detector of one VM. Set the exported fields
	// before the first Step.
	Detector struct {
		// Self is this VM. Its Incarnation must be higher than that of any
		// earlier run with the same ID, such as the wall clock in milliseconds
		// at process start.
		Self board.VM
		// Rand selects VMs and spreads load. It must be seeded differently
		// on each VM.
		Rand     *rand.Rand
		Settings Settings
		// Counters increase while the detector runs; read them between steps.
		Counters Counters

		now       clock.Millis
		selfHash  uint32 // hash of the ID of Self
		started   bool
		startedAt clock.Millis
		listed    bool // a VM list or seeds have been received
		leaving   bool
		left      bool
		disabled  disabledFeatures // for comparison in tests

		refutation  uint32 // current refutation number of Self
		localHealth int    // score of the local health multiplier; 0 is healthy
		table       table
		rumours     rumours
		prober      prober
		syncer      syncer
		quorum      quorum

		nextCleanup   clock.Millis
		wakeAt        clock.Millis
		staleAtSender []*member // members whose outdated suspicion the current datagram's sender still holds
		fleet         *board.Fleet
		dirty         bool
		out           []Intent
	}

	// Settings configure a Detector. A zero field means its default.
	Settings struct {
		ProbeInterval clock.Millis // one VM is probed in each interval
		ProbeTimeout  clock.Millis // without an ack by then, helpers are requested
		HelperStagger clock.Millis // between requests to two helpers
		ProbeDeadline clock.Millis // without an ack by then, the VM is suspected
		SuspicionMin  clock.Millis // suspicion timeout with all independent confirmations
		SuspicionMax  clock.Millis // suspicion timeout without any
		// AckTTL is how long an ack counts towards the quorum, from when its
		// probe was sent.
		AckTTL clock.Millis
		// DeadDelay is the span from a suspicion's timeout until the VM counts
		// as Dead. It must be longer than AckTTL plus the time in which a
		// rumour reaches the fleet.
		DeadDelay    clock.Millis
		RemoveAfter  clock.Millis // a VM that is Dead and not listed for this span is removed from the roster
		SyncInterval clock.Millis // between comparisons of tables that differ
		PauseLimit   clock.Millis // a Tick that is later than this indicates a pause of this process
		Helpers      int
		MaxDatagram  int // bytes of an encoded datagram, without the transport's overhead
	}

	// Counters of a Detector since its start.
	Counters struct {
		Probes         uint64 // sent by this VM for itself
		Acked          uint64 // probes that were acked, directly or through a helper
		Missed         uint64 // probes that were not acked
		Relayed        uint64 // probes sent on behalf of others
		Suspected      uint64 // suspicions that this VM's own probes started
		MarkedDead     uint64 // VMs that became Dead
		Refutations    uint64 // of a suspicion or death of Self
		Pauses         uint64 // detected pauses of this process
		Syncs          uint64 // requests to compare tables
		Ignored        uint64 // datagrams and rumours that are malformed, exceed a limit or are not for Self
		UnknownSenders uint64 // datagrams from VMs whose address is unknown or whose incarnation is outdated
	}

	// disabledFeatures switches refinements off, for comparison in tests.
	disabledFeatures struct {
		helpers     bool // a VM is suspected after the direct probe alone
		suspicion   bool // a VM is dead at the first missed probe
		localHealth bool // timeouts do not depend on local health or pauses
		decay       bool // the suspicion timeout is SuspicionMin regardless of confirmations
		stagger     bool // all helpers are requested at once
	}
)

// Step handles one event at the given time and returns the resulting intents.
// The time must not go backward.
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

// Quorate reports whether this VM reaches a majority of the roster at the
// given time, according to the steps so far.
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

// detectPause detects that this process did not run when it was due. Datagrams
// that arrived in the meantime are still queued, so probes in progress prove
// nothing and are dropped, and suspicions are extended by the pause.
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

// adjustHealth adds to the local health score; a negative value improves it.
func (dt *Detector) adjustHealth(by int) {
	if dt.disabled.localHealth {
		return
	}
	dt.localHealth = min(max(dt.localHealth+by, 0), maxHealth)
}

// scaleTimeout multiplies a timeout by the local health multiplier.
func (dt *Detector) scaleTimeout(span clock.Millis) clock.Millis {
	return span * clock.Millis(1+dt.localHealth)
}

// advance handles everything that is due at the current time.
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

// leave announces a planned stop. After a final one, this VM sends nothing more.
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

// announceLeave notifies a few VMs at once, since this VM sends nothing afterwards.
func (dt *Detector) announceLeave() {
	notified := 0
	for _, mb := range dt.shuffled(dt.table.members) {
		if mb.vm.Health != board.Alive || !mb.observed {
			continue
		}
		dt.send(mb, newNotice())
		if notified++; notified == 2*dt.Settings.Helpers {
			return
		}
	}
}

// finish completes a step: it updates the quorum, the snapshot and the next wake-up.
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

// nextWake returns when the next timeout or probe is due.
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
