package membership

import (
	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

type (
	// Event is an input of a Detector: Received, Listed, Tick or Leave.
	Event interface{ event() }

	// Intent is an action that a Detector requests: Send, FleetChanged,
	// QuorumDeadline, DeathRefuted, Replaced or Wake.
	Intent interface{ intent() }

	// Received is a datagram that the transport has authenticated. The
	// detector keeps no reference to it.
	Received struct{ Datagram *peerpb.Datagram }

	// Listed is the complete VM list of the platform, or the seeds of the
	// settings. It may be outdated or wrong.
	Listed struct{ VMs []board.VM }

	// Tick reports that time has passed.
	Tick struct{}

	// Leave announces a planned stop; Final means that the process exits.
	Leave struct{ Final bool }

	// Send requests that a datagram be sent. All fields are set except
	// Sequence, which the transport sets. The datagram may share parts with
	// others and must not be changed otherwise.
	Send struct {
		To       board.VM
		Datagram *peerpb.Datagram
	}

	// FleetChanged carries a new snapshot of the fleet.
	FleetChanged struct{ Fleet *board.Fleet }

	// QuorumDeadline reports until when this VM is quorate without further
	// acks. Compare it with the clock immediately before starting work that
	// must run at most once: after a pause the process still sees an
	// outdated snapshot.
	QuorumDeadline struct{ Until clock.Millis }

	// DeathRefuted reports that others had declared this VM dead. It
	// continues, normally under the same incarnation, and must check which
	// of its work others took over.
	DeathRefuted struct{ Incarnation uint64 }

	// Replaced reports that a later process runs under the ID of this VM at
	// another address. This process sends nothing from now on and must stop.
	Replaced struct{ Incarnation uint64 }

	// Wake requests a Tick at the given time. A Tick that is late by more
	// than Settings.PauseLimit counts as a pause of this process.
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
