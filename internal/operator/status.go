package operator

import "alderdyke/pkg/clock"

type (
	// Status is the state of one VM and its view of the fleet.
	Status struct {
		VM            string
		Incarnation   uint64
		FailureDomain string
		Region        string
		Uptime        clock.Millis
		Draining      bool
		Quorate       bool // false while the VM reaches only a minority of the fleet
		Seats         int  // VMs that hold request keys; 0 until this VM has their table
		InProgress    int  // requests that have not ended
		Unconfirmed   int  // cancellations that backend servers have not confirmed
		Kept          int  // completed answers that are kept for callers who reconnect
		Log           LogStatus
		Fleet         []VMStatus     // sorted by ID
		Cells         []CellStatus   // cells that this VM schedules, sorted by name
		Backends      []ServerStatus // sorted by ID
	}

	// LogStatus is how far the VM has read the platform's log.
	LogStatus struct {
		Position  uint64       // offset of the next record to read
		Ready     bool         // the VM has received the configuration in force
		Reachable bool         // the last read succeeded
		ReadAge   clock.Millis // since the last successful read
	}

	// VMStatus is one entry VM in the view of the VM that reports it.
	VMStatus struct {
		ID            string
		Incarnation   uint64
		FailureDomain string
		Region        string
		Caller        string // "IP:port"
		Health        string // Alive, Suspect, Dead or Left
		Leaving       bool
		Listed        bool // on the platform's VM list
	}

	// CellStatus is one cell that the VM schedules.
	CellStatus struct {
		Name    string
		Waiting int // requests without a grant
		Granted int // requests that hold a reservation
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
		Reported      bool         // at least one load report was received
		ReportAge     clock.Millis // of the last load report
	}
)
