// Package settings reads the settings of one VM: its identity and location, its
// addresses, its secrets and its limits.
//
// Settings come from one TOML file. All problems of the file are found before the
// VM listens, and are reported together as [place.Errors], each with file, line,
// key, value and suggested fix. Addresses are IP addresses with a port; host names
// are never resolved. examples/entry.toml shows every key.
//
// # Usage
//
//	set, err := settings.Load("/etc/alderdyke/entry.toml")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // one problem per line
//	}
//
// A program that uses no settings file starts from [Default] and calls
// [Settings.Validate].
package settings

import (
	"net/netip"

	"alderdyke/pkg/clock"
)

// Log levels.
const (
	LevelInfo  Level = "Info"
	LevelWarn  Level = "Warn"
	LevelError Level = "Error"
)

type (
	// Settings are the settings of one VM. It is a value; do not modify Peer.Seeds
	// of a shared one.
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

	// Caller sets the address for callers.
	Caller struct {
		Listen    netip.AddrPort
		Advertise netip.AddrPort // the address that callers are given; Listen if not set
	}

	// Peer sets the address for other entry VMs, which is used for TCP and UDP
	// with the same port.
	Peer struct {
		Listen     netip.AddrPort
		Advertise  netip.AddrPort // the address that other VMs are given; Listen if not set
		Secret     Secret         // shared by all VMs of the fleet
		SecretFile string
		Seeds      []netip.AddrPort // peer addresses for joining the fleet; may include this VM's own
	}

	// Operator sets the address for operators.
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

	// Backends sets how this VM connects to backend servers.
	Backends struct {
		Token     Secret // not set: no token is sent
		TokenFile string
	}

	// Limits bounds the load that one VM accepts.
	Limits struct {
		MaxBody          Bytes        // of one request; 4MiB by default
		MaxHeader        Bytes        // of one request's headers; 16KiB by default
		MaxConnections   int          // of callers; 2048 by default
		MaxStreams       int          // requests in progress at once; 4096 by default
		MaxAnswerMemory  Bytes        // of all completed answers that are kept and do not count in MaxRequestMemory; 16MiB by default
		MaxRequestMemory Bytes        // of the bodies and answers of all requests in progress, and of answers that are still read; not set: a quarter of GOMEMLIMIT, or no limit without it
		HeaderTimeout    clock.Millis // until a request's headers are complete; 10s by default
		BodyTimeout      clock.Millis // until a request's body is complete; 1m by default
		IdleTimeout      clock.Millis // of a connection without a request; 2m by default
	}

	// Addresses sets the response to callers that request the addresses to use.
	Addresses struct {
		KeepFor clock.Millis // how long a caller may cache the response; 30s by default
		Count   int          // number of addresses in the response; 3 by default
	}

	// Answers sets how long completed answers are kept.
	Answers struct {
		KeepFor clock.Millis // for callers that send the same key again; 10m by default
	}

	// Drain sets the planned stop. It interrupts no request: it lasts until the
	// last request in progress has ended, however long that takes.
	Drain struct {
		Linger    clock.Millis // after Addresses.KeepFor, until the callers' address closes; 5s by default
		WarnEvery clock.Millis // interval of warnings while a stop lasts longer than this; 1m by default
	}

	// Roles sets how the roles of model engines are adapted to the load.
	Roles struct {
		Enabled bool         // false: engines keep their roles, but operators' orders are still sent; true by default
		Dwell   clock.Millis // minimum time between two changes in a cell; a role must have had a spare engine for three times as long; 5m by default
	}

	// Logging sets what is logged to standard error.
	Logging struct {
		Level Level // minimum level that is logged; Info by default
	}

	// Level is a log level.
	Level string
)

// Default returns settings with all defaults and no other values.
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

// withAdvertiseDefaults sets the advertised addresses that are not set.
func (set Settings) withAdvertiseDefaults() Settings {
	if !set.Caller.Advertise.IsValid() {
		set.Caller.Advertise = set.Caller.Listen
	}
	if !set.Peer.Advertise.IsValid() {
		set.Peer.Advertise = set.Peer.Listen
	}
	return set
}
