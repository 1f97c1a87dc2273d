// Package settings reads what one VM is told before it starts: its place, its
// addresses, its secrets and its limits.
//
// Settings come from one TOML file. All problems of the file are found before
// anything listens and are reported together as [place.Errors], each with
// file, line, key, value and mend. Addresses are IP numbers; host names are
// never looked up. examples/entry.toml shows every key.
//
// # Usage
//
//	set, err := settings.Load("/etc/alderdyke/entry.toml")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // one problem a line
//	}
//
// A program that needs no file starts from [Default] and calls
// [Settings.Validate].
package settings

import (
	"net/netip"

	"alderdyke/pkg/clock"
)

// Levels of logging.
const (
	LevelInfo  Level = "Info"
	LevelWarn  Level = "Warn"
	LevelError Level = "Error"
)

type (
	// Settings is all that one VM is told. It is a value; do not write to
	// Peer.Seeds of a shared one.
	Settings struct {
		ID            string // unique among the VMs; a VM that replaces another may keep its ID
		FailureDomain string
		Region        string

		Caller    Caller
		Peer      Peer
		Operator  Operator
		Log       Log
		VMList    VMList
		Backends  Backends
		Limits    Limits
		Addresses Addresses
		Answers   Answers
		Drain     Drain
		Roles     Roles
		Logging   Logging
	}

	// Caller is where callers connect.
	Caller struct {
		Listen    netip.AddrPort
		Advertise netip.AddrPort // what callers are told; Listen if it is not set
	}

	// Peer is where the other entry VMs connect, by TCP and by UDP at the
	// same port.
	Peer struct {
		Listen     netip.AddrPort
		Advertise  netip.AddrPort // what other VMs are told; Listen if it is not set
		Secret     Secret         // shared by all VMs of the fleet
		SecretFile string
		Seeds      []netip.AddrPort // peer addresses to join by; may hold this VM's own
	}

	// Operator is where operators connect.
	Operator struct {
		Listen    netip.AddrPort
		Token     Secret
		TokenFile string
	}

	// Log is the platform's log service.
	Log struct {
		Address   netip.AddrPort
		Stream    string // "alderdyke" by default
		Token     Secret // not set: no token is sent
		TokenFile string
	}

	// VMList is the platform's list of VMs.
	VMList struct {
		Address   netip.AddrPort
		Token     Secret // not set: no token is sent
		TokenFile string
	}

	// Backends is how this VM speaks to backend servers.
	Backends struct {
		Token     Secret // not set: no token is sent
		TokenFile string
	}

	// Limits bound what one VM takes on.
	Limits struct {
		MaxBody         Bytes        // of one request; 4MiB by default
		MaxHeader       Bytes        // of one request's headers; 16KiB by default
		MaxConnections  int          // of callers; 2048 by default
		MaxStreams      int          // requests in progress at once; 4096 by default
		MaxAnswerMemory Bytes        // all answers that are kept after their end; 16MiB by default
		HeaderTimeout   clock.Millis // until a request's headers are whole; 10s by default
		BodyTimeout     clock.Millis // until a request's body is whole; 1m by default
		IdleTimeout     clock.Millis // of a connection without a request; 2m by default
	}

	// Addresses is the answer to callers who ask which addresses to use.
	Addresses struct {
		KeepFor clock.Millis // how long a caller may keep the answer; 30s by default
		Count   int          // how many addresses the answer holds; 3 by default
	}

	// Answers is how long what ended is remembered.
	Answers struct {
		KeepFor clock.Millis // for callers who send the same key again; 10m by default
	}

	// Drain is the planned stop. It cuts off nothing: it lasts until the
	// last request in progress has ended, however long that takes.
	Drain struct {
		Linger    clock.Millis // beyond Addresses.KeepFor, until the callers' address closes; 5s by default
		WarnEvery clock.Millis // a stop that lasts longer is logged each time; 1m by default
	}

	// Roles is how the roles of model engines follow the load.
	Roles struct {
		Enabled bool         // false: engines keep their roles; operators' orders are still given; true by default
		Dwell   clock.Millis // least span between two changes in a cell; a role must have had an engine to spare for three times as long; 5m by default
	}

	// Logging is what goes to standard error.
	Logging struct {
		Level Level // least level that is written; Info by default
	}

	// Level of logging.
	Level string
)

// Default returns settings with all defaults and nothing else.
func Default() Settings {
	return Settings{
		Log: Log{Stream: "alderdyke"},
		Limits: Limits{
			MaxBody:         4 * MiB,
			MaxHeader:       16 * KiB,
			MaxConnections:  2048,
			MaxStreams:      4096,
			MaxAnswerMemory: 16 * MiB,
			HeaderTimeout:   10 * clock.Second,
			BodyTimeout:     clock.Minute,
			IdleTimeout:     2 * clock.Minute,
		},
		Addresses: Addresses{KeepFor: 30 * clock.Second, Count: 3},
		Answers:   Answers{KeepFor: 10 * clock.Minute},
		Drain:     Drain{Linger: 5 * clock.Second, WarnEvery: clock.Minute},
		Roles:     Roles{Enabled: true, Dwell: 5 * clock.Minute},
		Logging:   Logging{Level: LevelInfo},
	}
}

// withAdvertiseDefaults fills the advertised addresses that are not set.
func (set Settings) withAdvertiseDefaults() Settings {
	if !set.Caller.Advertise.IsValid() {
		set.Caller.Advertise = set.Caller.Listen
	}
	if !set.Peer.Advertise.IsValid() {
		set.Peer.Advertise = set.Peer.Listen
	}
	return set
}
