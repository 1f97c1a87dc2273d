package operator

import "alderdyke/pkg/clock"

type (
	// Status is one VM and what it sees.
	Status struct {
		VM            string
		Incarnation   uint64
		FailureDomain string
		Region        string
		Uptime        clock.Millis
		Draining      bool
		Quorate       bool // false while the VM reaches only a minority of the fleet
		Seats         int  // VMs that keep request keys; 0 until this VM knows them
		InProgress    int  // requests that have no end yet
		Unconfirmed   int  // cancels that backend servers have not confirmed yet
		Kept          int  // answers that are kept for callers who come back
		Log           LogStatus
		Fleet         []VMStatus     // sorted by ID
		Cells         []CellStatus   // cells that this VM accounts for, sorted by name
		Backends      []ServerStatus // sorted by ID
	}

	// LogStatus is how far the VM has read the platform's log.
	LogStatus struct {
		Position  uint64       // offset of the next record to read
		Ready     bool         // the configuration in force was learned
		Reachable bool         // the last read succeeded
		ReadAge   clock.Millis // since the last successful read
	}

	// VMStatus is one entry VM as the asked VM sees it.
	VMStatus struct {
		ID            string
		Incarnation   uint64
		FailureDomain string
		Region        string
		Caller        string // "IP:port"
		Health        string // Alive, Suspect, Dead or Left
		Leaving       bool
		Listed        bool // the platform's VM list holds it
	}

	// CellStatus is one cell that the VM accounts for.
	CellStatus struct {
		Name    string
		Waiting int // requests without a grant
		Granted int // requests that hold a place
	}

	// ServerStatus is one backend server and its last load report.
	ServerStatus struct {
		ID            string
		Service       string
		Role          string
		Address       string // "IP:port"
		FailureDomain string
		ChecksFencing bool
		Leaving       bool
		Running       int
		Slots         int
		Queued        int
		Reported      bool         // a load report has come
		ReportAge     clock.Millis // of the last load report
	}
)
