package engine

import (
	"alderdyke/internal/board"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
)

// Paths of the calls to an engine.
const (
	PrefillPath     = "/prefill"
	ImportPath      = "/import"
	DecodePath      = "/decode"
	ResumePath      = "/resume"
	CancelPath      = "/cancel"
	LoadPath        = "/load"
	RunningPath     = "/running"
	CacheEventsPath = "/cache-events"
	OrderPath       = "/order"
	KVPath          = "/kv" // between engines
)

// Headers of the calls.
const (
	VMHeader          = "Alderdyke-VM"          // ID of the VM that sends the order
	IncarnationHeader = "Alderdyke-Incarnation" // of that VM, a decimal number
	AttemptHeader     = "Alderdyke-Attempt"     // in responses that are streams: the attempt of the tokens that follow
)

// Stages of a run that scheduling does not distinguish.
const (
	Queued   sched.Stage = "Queued"   // waits for its prefill; holds nothing but its prompt
	Imported sched.Stage = "Imported" // the KV cache is in memory and its decode has not begun
)

// Kinds of orders that change an engine.
const (
	LoadModel   OrderKind = "LoadModel"
	LoadAdapter OrderKind = "LoadAdapter"
	LoadVersion OrderKind = "LoadVersion"
	ChangeRole  OrderKind = "ChangeRole"
	RaiseFence  OrderKind = "RaiseFence" // raises the engine's fencing token and changes nothing else
)

// Kinds of cache events.
const (
	Stored  CacheKind = "Stored"
	Evicted CacheKind = "Evicted"
)

// AllAttempts in a cancel order ends a request permanently: no attempt of it is
// accepted any more.
const AllAttempts = 1<<31 - 1

type (
	// OrderKind is what an Order changes.
	OrderKind string

	// CacheKind is what happened to a cached prefix.
	CacheKind string

	// PrefillOrder orders a prefill engine to compute a prompt.
	PrefillOrder struct {
		Request      string
		Customer     string
		Attempt      int
		Quick        bool // queued before orders that are not quick
		Prompt       string
		PromptTokens int
		// Answered holds the output tokens of an earlier attempt. They are part of
		// the context, and the decode continues after them.
		Answered []string `json:",omitempty"`
		Fence    uint64   // fencing token; zero if the sender holds no lease
	}

	// PrefillResult describes a computed prompt.
	PrefillResult struct {
		KV           string // identifies the KV cache at this engine
		Tokens       int    // of the prompt
		CachedTokens int    // of these, found in the prefix cache
		KVBytes      int64
		KeptFor      clock.Millis // how long the KV cache is kept, counted from the response
	}

	// ImportOrder orders a decode engine to fetch a KV cache. From the order on the
	// request holds one memory slot, until its decode ends or it is cancelled.
	ImportOrder struct {
		Request  string
		Customer string
		Attempt  int
		Quick    bool   // transferred before KV caches of orders that are not quick
		KV       string // the KV of PrefillResult
		From     string // "IP:port" of the prefill engine
	}

	// DecodeOrder orders a decode engine to generate tokens from an imported KV
	// cache.
	DecodeOrder struct {
		Request   string
		Attempt   int
		MaxTokens int // of the whole answer
		From      int // index of the first token: the number of tokens in Answered
	}

	// CancelOrder frees whatever an engine holds of a request, in any stage, for all
	// attempts up to the given one, and makes the engine decline later orders of
	// these attempts.
	CancelOrder struct {
		Request string
		Attempt int
	}

	// CancelResult holds the number of runs that the cancel order ended.
	CancelResult struct {
		Ended int
	}

	// Token is one token of an answer. Indexes count up from 0 without gaps.
	Token struct {
		Index int
		Text  string
		Last  bool   // the answer is complete
		Ended string `json:",omitempty"` // why the engine ended the stream early; such a line is no token
	}

	// Running is one run that an engine holds.
	Running struct {
		Request  string
		Customer string
		Attempt  int
		VM       board.VMRef // the VM that the run is for
		Stage    sched.Stage
		Since    clock.Millis // how long the engine has held it
		Slot     bool         // holds a memory slot
		Tokens   int          // output tokens so far
	}

	// RunningReport lists all runs that an engine holds.
	RunningReport struct {
		Runs []Running
	}

	// LoadDoc is an engine's load report. It describes the load of some time ago; see
	// Age.
	LoadDoc struct {
		Role      board.Role // current role; empty if the engine does not report it
		Running   int
		Slots     int
		Queued    int
		LinkBytes int64
		Leaving   bool
		Age       clock.Millis // age of the report
	}

	// CacheEvent reports a change of a cached prompt prefix. Events come late and
	// some are lost: a gap in Number shows how many are missing.
	CacheEvent struct {
		Number uint64
		Kind   CacheKind
		Prefix uint64 // hash as computed by Prefixes
		Tokens int    // number that the prefix saves
	}

	// CacheEvents is a page of cache events.
	CacheEvents struct {
		Events []CacheEvent
		Next   uint64 // where the next page begins
	}

	// Order changes the engine itself. It carries a fencing token; engines that check
	// it decline one that is lower than the highest they have seen.
	Order struct {
		Kind  OrderKind
		Name  string     // of the model, adapter or version
		Role  board.Role // for ChangeRole
		Fence uint64
	}

	// OrderResult is the engine's state after an order.
	OrderResult struct {
		Role     board.Role
		Model    string
		Version  string
		Adapters []string
		Repeated bool // the order changed nothing: the engine was in this state already
	}
)
