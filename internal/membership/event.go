package membership

import (
	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

type (
	// Event is what a Detector is told: Received, Listed, Tick or Leave.
	Event interface{ event() }

	// Intent is what a Detector wants done: Send, FleetChanged, QuorumDeadline, DeathRefuted,
	// Replaced or Wake.
	Intent interface{ intent() }

	// Received is a datagram that the transport has authenticated. The
	// detector keeps no reference to it.
	Received struct{ Datagram *peerpb.Datagram }

	// Listed is the whole VM list of the platform, or the seeds of the
	// settings. It may lag and be wrong.
	Listed struct{ VMs []board.VM }

	// Tick passes the time.
	Tick struct{}

	// Leave announces a planned stop; with Final, that the process exits.
	Leave struct{ Final bool }

	// Send wants a datagram sent. All is filled but the Sequence, which the
	// transport sets. It may share parts with other datagrams and must not
	// be changed otherwise.
	Send struct {
		To       board.VM
		Datagram *peerpb.Datagram
	}

	// FleetChanged is a new snapshot of the fleet.
	FleetChanged struct{ Fleet *board.Fleet }

	// QuorumDeadline tells up to which point this VM is quorate without further acks.
	// Who is about to start something that may run at most once compares it
	// with the clock at the last moment, because a process that was paused
	// still sees the snapshot of before.
	QuorumDeadline struct{ Until clock.Millis }

	// DeathRefuted tells that others held this VM dead. It goes on, as a rule under
	// the same incarnation, and must check which of its work others took over.
	DeathRefuted struct{ Incarnation uint64 }

	// Replaced tells that a later process runs under the ID of this VM at
	// another address. This one is silent from now on and must stop.
	Replaced struct{ Incarnation uint64 }

	// Wake asks for a Tick at the given point. A Tick that comes later than
	// Settings.PauseLimit is taken for a pause of this process.
	Wake struct{ At clock.Millis }
)

func (Received) event() {}
func (Listed) event()   {}
func (Tick) event()     {}
func (Leave) event()    {}

func (Send) intent()           {}
func (FleetChanged) intent()   {}
func (QuorumDeadline) intent() {}
func (DeathRefuted) intent()   {}
func (Replaced) intent()       {}
func (Wake) intent()           {}
