// Package explain holds the document that explains where a request would go at a VM and
// why, and its text form. The relay fills it, the fleet carries it as JSON, and the
// command "where" prints it.
//
// Times in the JSON form are spans such as "250ms". Neither an API key nor its hash is part of
// the document.
//
// # Usage
//
//	ex := explain.Explanation{VM: "vm-1", Route: &explain.Route{Name: "chat"}}
//	err := ex.WriteText(os.Stdout)
package explain

import (
	"slices"

	"alderdyke/pkg/clock"
)

// Who decides on a request.
const (
	ThisVM    Decider = "ThisVM"
	Scheduler Decider = "Scheduler" // another VM chooses for the whole fleet
)

// MaxCandidates bounds the candidates of one explanation, so that it fits into the
// datagrams of one reply.
const MaxCandidates = 200

type (
	// Decider is who decides on a request.
	Decider string

	// Request is a request whose placement is to be explained. It carries the hash of the
	// API key, never the key.
	Request struct {
		Method, Host, Path string
		KeyHash            string       // empty: the request has no valid key
		KeyFault           string       // why; empty: there is a hash
		Tokens, MaxOutput  int          // of the prompt, if IsPrompt
		Hint               int          // the caller's estimate of the answer's tokens; zero: none
		IsPrompt           bool         // the request states a prompt
		WaitLimit          clock.Millis // how long the caller waits; zero: not stated
		// What marks a request under which servers crash, besides method, host and customer.
		// The body is left out.
		URI     string // path and query as received
		Content string // relay.Request.Content
		// Model and SharedParts are those of relay.Prompt. They are not sent, because the VM
		// finds them in Content, and a request has to fit into a datagram.
		Model       string   `json:"-"`
		SharedParts []string `json:"-"`
		// The stream that the request resumes.
		LastEventID string // that the caller has; empty: a new stream
		Resumes     string // attempt that brought its first event; empty: not named
		// ForOther asks a scheduler what it would choose for the request of another VM, which
		// has bound it to a service and a version, unless these are empty, and excludes servers.
		ForOther                   bool
		BoundService, BoundVersion string
		Excluded                   []string
	}

	// Explanation tells where a request would go and why. Parts that the VM did not come
	// to, because the request is refused before, are nil or empty.
	Explanation struct {
		VM         string // that was asked
		Version    uint64 // of the configuration
		Refusal    *Refusal
		Route      *Route
		Customer   string  // empty: the request needs no customer, or has none
		Stream     *Stream // nil: the request resumes no stream
		Quota      *Quota
		Poison     *Poison
		Generation *Generation
		// Rebalancing is nil if the request is no generation, or its engines can't move runs.
		Rebalancing *Rebalancing
		Decision    *Decision
		Candidates  []Candidate // by ID, the choice first
		Omitted     int         // candidates beyond MaxCandidates
		Notes       []string
		Scheduler   *Explanation // of the scheduler that decides; nil: this VM decides, or the scheduler was not asked
	}

	// Refusal tells why a request would be refused.
	Refusal struct {
		Reason, Detail string
		RetryAfter     clock.Millis // zero: not stated
		Part           float64      // of the requests that would be refused, which are drawn at random; 1: all
	}

	// Route is the route and the service of a request.
	Route struct {
		Name, Kind, Service string
		Others              []string // further services, of which each request draws one
		Priority            int      // of the customer, or otherwise of the route
		Objective           clock.Millis
	}

	// Stream tells which stream a request resumes, and with which servers.
	Stream struct {
		After, Resumes string       // ID of the last event, and of the attempt that brought the first one
		State          string       // of the record of the stream: Known, Unknown, Ambiguous or Bound, by the VM that asks
		By             string       // VM that sent the record; empty: this one, or none
		Age            clock.Millis // of the record
		Silent         int          // VMs that did not reply
		Sole           string       // the only version that served while the stream may have run; empty: several, or not known
		// Service and Version are those to which the request is bound. Without a version, the
		// request is refused or the servers have none.
		Service, Version string
		Servers          []string // of that version, which take new work
	}

	// Poison tells whether servers crashed while they ran the request, or requests that share
	// a part with it.
	Poison struct {
		Verdict    string       // Clear, Suspected, Trial (let through as one) or Refused
		After      clock.Millis // if refused, until it may be tried again
		Since      clock.Millis // if refused, for how long
		OtherTrial bool         // it is refused while the trial of another request is running
		Unresolved bool         // calls broke, and it is not known whether their servers crashed
		Marks      []PoisonMark // with evidence against them
	}

	// PoisonMark is the evidence against a request or one of its parts.
	PoisonMark struct {
		Mark, Part string // as logged, and the name of the part; empty: the request itself
		Verdict    string // Suspected or Refused; Clear: other marks explain the crashes
		Weight     float64
		Crashes    int
		Oldest     clock.Millis // age of the oldest crash
	}

	// Quota tells whether the customer's quota has room.
	Quota struct {
		Needed  float64 // tokens of the request
		Credit  float64 // tokens that the VM holds and grants without a question
		Local   float64 // tokens that it may grant while no keeper responds
		Verdict string  // Granted, Denied, Away or Unknown
		Wait    clock.Millis
		Keepers []string // VMs that decide beyond the credit
	}

	// Generation is what the VM foresees for a generation.
	Generation struct {
		Tokens, Left, Reserve int          // of the run now, expected to come, and to reserve
		Limit                 int          // memory that the runs of an engine may need; zero: not known
		Wait                  clock.Millis // until the place that is forecast
		Foreseen              bool         // there is a forecast
		Bound                 string       // what keeps the request from a place; empty: nothing, or not known
		ReturnAfter           clock.Millis // that would be proposed to the caller; zero: none
		Ahead                 int          // requests of other VMs that are placed first
		MaxWait               clock.Millis // that the request waits for a place
		Prefill               string       // engine that computes the prompt; empty: not chosen, or the decode engine
		PrefillTime           clock.Millis // expected there; zero: not known
		AtDecoder             bool         // the decode engine computes the prompt
		Informed              bool         // the VM knows what all VMs have at the engines
		Estimated             int          // VMs whose runs a scheduler estimates because their reports have expired
		Unknown               int          // VMs without an unexpired report whose runs it can't estimate
	}

	// Rebalancing tells which runs would be moved between the engines of a service now, and
	// the margin with which their memory is filled.
	Rebalancing struct {
		Deviations float64 // standard deviations of the memory that runs are expected to need
		// Reason is why that margin is in force: Moves (runs are moved), Held (they are, but
		// not for long enough yet), MovesFail, UsageUnknown, NoScheduler (no VM asks this one for places) or Off.
		Reason string
		Moves  []Move // that this VM would request now
	}

	// Move is the move of a run to another engine.
	Move struct {
		VM, From, To string // VM that serves the run, and engines
		Tokens       int    // of the run
	}

	// Decision tells who decides and what.
	Decision struct {
		By     Decider
		VM     string // that decides
		Choice string // server; empty: none
		Chance float64
	}

	// Candidate is a server of the service.
	Candidate struct {
		Server, Version string
		Role            string
		PassedOver      PassedOver // why it is not the choice; empty: it is
		Chance          float64
		Plain           *Plain  // figures of a server of a plain service
		Engine          *Engine // figures of a model engine
		CallLimit       float64 // calls per second that it takes from all VMs; zero: no limit
		Permit          *Permit // nil: it has no limit of calls
	}

	// Permit tells whether a server's limit of calls has room for a call.
	Permit struct {
		Age     clock.Millis // since the server last named its limit
		Needed  bool         // a call needs a permit
		Verdict string       // Granted, Denied, Away or Unknown; empty: the VM that has the request takes the permit
		Wait    clock.Millis // until there is room, or a keeper is expected to respond; zero: now, or not known
		Keepers []string     // VMs that grant permits
	}

	// Plain holds the figures of a server of a plain service.
	Plain struct {
		InFlight   int          // requests of this VM
		Slots      int          // that the server reported, or that are assumed
		Stated     *StatedLoad  // nil: it stated none to this VM
		Fleet      *FleetLoad   // nil: this VM chooses for no others
		Pressure   float64      // load per slot by which servers are compared
		Weight     float64      // part of its requests that it gets after a return; 1: all
		EjectedFor clock.Millis // zero: it is not ejected
		RestsFor   clock.Millis // zero: it did not ask for a pause
	}

	// StatedLoad is the load that a server stated.
	StatedLoad struct {
		Running, Waiting, Slots int
		Pace                    int // service time relative to the usual one, which is 100; zero: not stated
		Age                     clock.Millis
	}

	// FleetLoad is what a scheduler knows of a server.
	FleetLoad struct {
		Assigned int     // requests of all VMs
		Load     float64 // with those that VMs sent by themselves
		Slots    int     // zero: not known
		Pace     int
		Age      clock.Millis // of the last stated load
	}

	// Engine holds the figures of a model engine.
	Engine struct {
		Runs         int // of all VMs, as far as known
		Slots        int // zero: not stated
		Tokens       int // in its memory now
		Peak         int // that its runs will need with the request; zero: it computes prompts
		Limit        int // that they may need; zero: not known
		PromptTokens int // queued
		Pace         float64
		Age          clock.Millis // of the oldest report of another VM that counts; zero: none counts
		FailedFor    clock.Millis // left of the time for which it is passed over after a failure
		RestsFor     clock.Millis
	}
)

// WithFirst returns the explanation with the candidate of an ID first, and the others by
// ID, of which those beyond MaxCandidates are left out.
func (ex Explanation) WithFirst(choice string) Explanation {
	list := slices.Clone(ex.Candidates)
	slices.SortStableFunc(list, func(ca, cb Candidate) int {
		switch {
		case ca.Server == cb.Server:
			return 0
		case ca.Server == choice || cb.Server != choice && ca.Server < cb.Server:
			return -1
		default:
			return 1
		}
	})
	ex.Omitted = max(0, len(list)-MaxCandidates)
	ex.Candidates = list[:len(list)-ex.Omitted]
	return ex
}
