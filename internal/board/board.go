// Package board is the blackboard of one VM: the shared facts that
// controllers read and write.
//
// Every section is an immutable snapshot behind an atomic pointer. A
// controller loads the snapshots that it needs, decides, and stores a new
// snapshot of the section that it owns; each section has one writer. The
// board itself does no I/O and decides nothing.
//
// # Usage
//
//	var bd board.Board
//	bd.SetFleet(bd.Fleet().WithVM(vm))
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

// Health of a VM as this VM sees it.
const (
	Alive   Health = iota // answers, or has not been doubted
	Suspect               // does not answer; may still be alive
	Dead                  // held dead after its suspicion ran out
	Left                  // said itself that it stopped
)

// Roles and kinds of backend servers.
const (
	Prefill Role = "Prefill" // model engine that computes prompts
	Decode  Role = "Decode"  // model engine that generates tokens
	Plain   Role = "Plain"   // plain service
)

type (
	// Board holds the shared facts of one VM.
	Board struct {
		fleet     atomic.Pointer[Fleet]
		backends  atomic.Pointer[Backends]
		templates atomic.Pointer[Templates]
	}

	// Health of a VM.
	Health int

	// Role of a backend server.
	Role string

	// VMRef names one run of one VM: a VM that was replaced or restarted has
	// a higher incarnation.
	VMRef struct {
		ID          string
		Incarnation uint64
	}

	// VM is an entry VM of the fleet.
	VM struct {
		VMRef
		FailureDomain string
		Region        string
		Caller        string // "IP:port" where callers connect
		Peer          string // "IP:port" for TCP and UDP between VMs
		Health        Health
		Leaving       bool // announced its stop, or the VM list says so
		Listed        bool // the platform's VM list holds it
	}

	// Fleet is the entry VMs as this VM sees them, itself included.
	Fleet struct {
		Self VMRef
		VMs  []VM // sorted by ID
		// Epoch grows by one with every change of VMs.
		Epoch uint64
		// Quorate is false while this VM reaches only a minority of the
		// fleet: it then starts nothing that may run at most once.
		Quorate bool
	}

	// BackendServer is one life of a model engine or of a server of a plain
	// service. A server that starts again knows nothing of before, so that it is
	// another BackendServer with another ID.
	BackendServer struct {
		ID            string // of this life
		Name          string // by which the server calls itself in all of its lives; empty: its ID
		Incarnation   uint64 // higher in each life; zero if the server does not tell it
		Service       string
		Role          Role
		Address       string // "IP:port"
		FailureDomain string
		ChecksFencing bool // refuses orders with an old fencing number
		Leaving       bool // from the VM list or from its own load report
	}

	// LoadReport is what a backend server last said of itself.
	LoadReport struct {
		Server    string
		At        clock.Millis // when this VM received it
		Running   int          // requests in its memory
		Slots     int          // requests that fit its memory
		Queued    int
		LinkBytes int64 // bytes still to send on its link
		Leaving   bool
		Role      Role         // that a model engine has by its own word; empty if it does not say
		Age       clock.Millis // how old the report was when it was received
	}

	// Backends is the backend servers and their last reports.
	Backends struct {
		Servers []BackendServer // sorted by ID
		Reports map[string]LoadReport
		Epoch   uint64
	}

	// ActiveTemplate is a template with the revision that put it in force.
	ActiveTemplate struct {
		Template template.Template
		Revision uint64
	}

	// Templates is the customers' configuration in force.
	Templates struct {
		ByCustomer map[string]ActiveTemplate
		ByKeyHash  map[string]string // API key hash to customer
		Ready      bool              // false until the configuration was learned
		Applied    uint64            // log offset up to which it was learned
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

// Templates returns the configuration in force; never nil.
func (bd *Board) Templates() *Templates {
	if tp := bd.templates.Load(); tp != nil {
		return tp
	}
	return &Templates{}
}

// SetTemplates stores a new snapshot of the configuration in force.
func (bd *Board) SetTemplates(tp *Templates) { bd.templates.Store(tp) }

// Serving lists the VMs that may be given work: not dead, not left.
func (fl *Fleet) Serving() []VM {
	var out []VM
	for _, vm := range fl.VMs {
		if vm.Health == Alive || vm.Health == Suspect {
			out = append(out, vm)
		}
	}
	return out
}

// VM finds a VM by its ID.
func (fl *Fleet) VM(id string) (VM, bool) {
	for _, vm := range fl.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return VM{}, false
}

// WithServers returns the snapshot with another list of servers, sorted by ID.
// Reports of servers that are no longer listed are dropped.
func (bk *Backends) WithServers(servers []BackendServer) *Backends {
	out := &Backends{Servers: servers, Epoch: bk.Epoch + 1, Reports: make(map[string]LoadReport, len(servers))}
	for _, srv := range servers {
		if rp, ok := bk.Reports[srv.ID]; ok {
			out.Reports[srv.ID] = rp
		}
	}
	return out
}

// WithReport returns the snapshot with a newer report of one server.
func (bk *Backends) WithReport(rp LoadReport) *Backends {
	out := &Backends{Servers: bk.Servers, Epoch: bk.Epoch, Reports: maps.Clone(bk.Reports)}
	if out.Reports == nil {
		out.Reports = make(map[string]LoadReport)
	}
	out.Reports[rp.Server] = rp
	return out
}

// Key is what all lives of the server have in common.
func (bs BackendServer) Key() string { return cmp.Or(bs.Name, bs.ID) }

// Restarted tells whether another life of the server is listed in place of this
// one.
func (bk *Backends) Restarted(bs BackendServer) bool {
	return slices.ContainsFunc(bk.Servers, func(other BackendServer) bool {
		return other.Key() == bs.Key() && other.ID != bs.ID
	})
}

// Server finds a backend server by its ID.
func (bk *Backends) Server(id string) (BackendServer, bool) {
	at, ok := slices.BinarySearchFunc(bk.Servers, id, func(srv BackendServer, id string) int { return strings.Compare(srv.ID, id) })
	if !ok {
		return BackendServer{}, false
	}
	return bk.Servers[at], true
}
