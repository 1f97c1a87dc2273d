// Package board holds the state that the controllers of one VM share: the
// entry VMs, the backend servers and the customers' configuration.
//
// Every section is an immutable snapshot behind an atomic pointer. A
// controller loads the snapshots that it needs, decides, and stores a new
// snapshot of the section that it owns; each section has one writer. The
// board itself does no I/O and makes no decisions.
//
// # Usage
//
//	var bd board.Board
//	bd.SetFleet(&board.Fleet{Self: self, VMs: vms, Epoch: 1, Quorate: true})
//	for _, srv := range bd.Backends().Servers { ... }
//
// The zero Board is empty and ready to use.
package board

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync/atomic"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// Health states of a VM as observed by this VM.
const (
	Alive   Health = iota // responds, or was never suspected
	Suspect               // does not respond; may still be alive
	Dead                  // declared dead after its suspicion timed out
	Left                  // announced that it stopped
)

// Roles of backend servers.
const (
	Prefill Role = "Prefill" // model engine that processes prompts
	Decode  Role = "Decode"  // model engine that generates tokens
	Plain   Role = "Plain"   // plain service, not a model engine
)

type (
	// Board holds the current snapshots of one VM's shared state.
	Board struct {
		fleet     atomic.Pointer[Fleet]
		backends  atomic.Pointer[Backends]
		templates atomic.Pointer[Templates]
	}

	// Health is the state of a VM as observed by this VM.
	Health int

	// Role is the kind of work that a backend server does.
	Role string

	// VMRef identifies one run of one VM. A VM that was replaced or
	// restarted has a higher incarnation.
	VMRef struct {
		ID          string
		Incarnation uint64
	}

	// VM describes an entry VM of the fleet.
	VM struct {
		VMRef
		FailureDomain string
		Region        string
		Caller        string // "IP:port" for callers' connections
		Peer          string // "IP:port" for TCP and UDP between VMs
		Health        Health
		Leaving       bool // it announced its stop, or the VM list marks it as leaving
		Listed        bool // it is in the platform's VM list
	}

	// Fleet is a snapshot of the entry VMs as observed by this VM, itself included.
	Fleet struct {
		Self VMRef
		VMs  []VM // sorted by ID
		// Epoch increases by one with every change of VMs.
		Epoch uint64
		// Quorate is false while this VM reaches only a minority of the
		// fleet. It then starts nothing that must run at most once.
		Quorate bool
	}

	// BackendServer is one run of a model engine or of a server of a plain
	// service. A restarted server keeps no state, so it is a new
	// BackendServer with a new ID.
	BackendServer struct {
		ID            string // of this run
		Name          string // the server's own name, the same in all of its runs; empty: its ID
		Incarnation   uint64 // higher in each run; zero if the server does not report it
		Service       string
		Version       string // of its software; empty if the server does not report it
		Role          Role
		Address       string // "IP:port"
		FailureDomain string
		Slots         int  // requests that it runs at one time; zero if the server does not report it
		ChecksFencing bool // rejects orders with an outdated fencing token
		Leaving       bool // according to the VM list or its own load report
	}

	// LoadReport is the last load report that a backend server sent.
	LoadReport struct {
		Server    string
		At        clock.Millis // when this VM received it
		Running   int          // requests in its memory
		Slots     int          // requests that fit in its memory
		Queued    int
		LinkBytes int64 // bytes still to send on its link
		Leaving   bool
		Role      Role         // that a model engine reports for itself; empty if it reports none
		Age       clock.Millis // of the report when it was received
	}

	// Backends is a snapshot of the backend servers and their last reports.
	Backends struct {
		Servers []BackendServer // sorted by ID
		Reports map[string]LoadReport
		Epoch   uint64
	}

	// ActiveTemplate is a template and the revision that made it active.
	ActiveTemplate struct {
		Template template.Template
		Revision uint64
	}

	// Templates is the active configuration of the customers.
	Templates struct {
		ByCustomer map[string]ActiveTemplate
		ByKeyHash  map[string]string // API key hash to customer
		Ready      bool              // false until the configuration was loaded
		Applied    uint64            // log offset up to which records were applied
	}
)

// Fleet returns the current snapshot of the entry VMs; never nil.
func (bd *Board) Fleet() *Fleet {
	if fl := bd.fleet.Load(); fl != nil {
		return fl
	}
	return &Fleet{}
}

// SetFleet stores a new snapshot of the entry VMs.
func (bd *Board) SetFleet(fl *Fleet) { bd.fleet.Store(fl) }

// Backends returns the current snapshot of the backend servers; never nil.
func (bd *Board) Backends() *Backends {
	if bk := bd.backends.Load(); bk != nil {
		return bk
	}
	return &Backends{}
}

// SetBackends stores a new snapshot of the backend servers.
func (bd *Board) SetBackends(bk *Backends) { bd.backends.Store(bk) }

// Templates returns the active configuration; never nil.
func (bd *Board) Templates() *Templates {
	if tp := bd.templates.Load(); tp != nil {
		return tp
	}
	return &Templates{}
}

// SetTemplates stores a new snapshot of the active configuration.
func (bd *Board) SetTemplates(tp *Templates) { bd.templates.Store(tp) }

// Serving lists the VMs that may be given work: those that are neither dead nor left.
func (fl *Fleet) Serving() []VM {
	var out []VM
	for _, vm := range fl.VMs {
		if vm.Health == Alive || vm.Health == Suspect {
			out = append(out, vm)
		}
	}
	return out
}

// VM returns the VM with the given ID; false if there is none.
func (fl *Fleet) VM(id string) (VM, bool) {
	for _, vm := range fl.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return VM{}, false
}

// WithServers returns a copy of the snapshot with the given servers, which must
// be sorted by ID. Reports of servers that are not among them are dropped.
func (bk *Backends) WithServers(servers []BackendServer) *Backends {
	out := &Backends{Servers: servers, Epoch: bk.Epoch + 1, Reports: make(map[string]LoadReport, len(servers))}
	for _, srv := range servers {
		if rp, ok := bk.Reports[srv.ID]; ok {
			out.Reports[srv.ID] = rp
		}
	}
	return out
}

// WithReport returns a copy of the snapshot with a newer report of one server.
func (bk *Backends) WithReport(rp LoadReport) *Backends {
	out := &Backends{Servers: bk.Servers, Epoch: bk.Epoch, Reports: maps.Clone(bk.Reports)}
	if out.Reports == nil {
		out.Reports = make(map[string]LoadReport)
	}
	out.Reports[rp.Server] = rp
	return out
}

// Key identifies the server across all of its runs.
func (bs BackendServer) Key() string { return cmp.Or(bs.Name, bs.ID) }

// Restarted reports whether another run of the same server is listed.
func (bk *Backends) Restarted(bs BackendServer) bool {
	return slices.ContainsFunc(bk.Servers, func(other BackendServer) bool {
		return other.Key() == bs.Key() && other.ID != bs.ID
	})
}

// Server returns the backend server with the given ID; false if there is none.
func (bk *Backends) Server(id string) (BackendServer, bool) {
	at, ok := slices.BinarySearchFunc(bk.Servers, id, func(srv BackendServer, id string) int { return strings.Compare(srv.ID, id) })
	if !ok {
		return BackendServer{}, false
	}
	return bk.Servers[at], true
}
