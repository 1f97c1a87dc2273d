package engine

import (
	"alderdyke/internal/board"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
)

// Paths of an engine's calls.
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

// Headers of every call.
const (
	VMHeader          = "Alderdyke-VM"          // ID of the VM that gives the order
	IncarnationHeader = "Alderdyke-Incarnation" // of that VM, a decimal number
	AttemptHeader     = "Alderdyke-Attempt"     // in answers that are streams: whose tokens follow
)

// Stages of a run that scheduling does not tell apart.
const (
	Queued   sched.Stage = "Queued"   // waits for its prefill; holds nothing but its prompt
	Imported sched.Stage = "Imported" // the KV cache is in memory and its decode has not begun
)

// Kinds of orders to an engine itself.
const (
	LoadModel   OrderKind = "LoadModel"
	LoadAdapter OrderKind = "LoadAdapter"
	LoadVersion OrderKind = "LoadVersion"
	ChangeRole  OrderKind = "ChangeRole"
)

// Kinds of cache events.
const (
	Stored  CacheKind = "Stored"
	Evicted CacheKind = "Evicted"
)

// AllAttempts in a cancel order ends a request for good: no attempt of it is
// taken any more.
const AllAttempts = 1<<31 - 1

type (
	// OrderKind tells what an Order changes.
	OrderKind string

	// CacheKind tells what became of a cached prefix.
	CacheKind string

	// PrefillOrder asks a prefill engine to compute a prompt.
	PrefillOrder struct {
		Request      string
		Customer     string
		Attempt      int
		Quick        bool // passes patient work in the queue
		Prompt       string
		PromptTokens int
		// Answered is the output tokens that an attempt before made. They
		// are part of the context, and the decode goes on after them.
		Answered []string `json:",omitempty"`
		Fence    uint64   // fencing number; zero if the sender holds no lease
	}

	// PrefillResult tells what was computed.
	PrefillResult struct {
		KV           string // names the KV cache at this engine
		Tokens       int    // of the prompt
		CachedTokens int    // of these, found in the prefix cache
		KVBytes      int64
		KeptFor      clock.Millis // from the answer on, how long the KV cache is kept
	}

	// ImportOrder asks a decode engine to fetch a KV cache. From the order
	// on the request holds one memory slot, until its decode ends or it is
	// cancelled.
	ImportOrder struct {
		Request  string
		Customer string
		Attempt  int
		Quick    bool   // passes patient transfers on the links
		KV       string // as PrefillResult names it
		From     string // "IP:port" of the prefill engine
	}

	// DecodeOrder asks a decode engine to generate tokens from an imported
	// KV cache.
	DecodeOrder struct {
		Request   string
		Attempt   int
		MaxTokens int // of the whole answer
		From      int // index of the first token: how many were Answered
	}

	// CancelOrder frees whatever an engine holds of a request, in any stage,
	// for all attempts up to the given one, and has later orders of these
	// attempts declined.
	CancelOrder struct {
		Request string
		Attempt int
	}

	// CancelResult tells how many runs the cancel order ended.
	CancelResult struct {
		Ended int
	}

	// Token is one piece of an answer. Indexes count from 0 without gaps.
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
		VM       board.VMRef // for whom
		Stage    sched.Stage
		Since    clock.Millis // for how long the engine has held it
		Slot     bool         // holds a memory slot
		Tokens   int          // output tokens so far
	}

	// RunningReport lists all runs that an engine holds.
	RunningReport struct {
		Runs []Running
	}

	// LoadDoc is what an engine reports of itself. It lags.
	LoadDoc struct {
		Role      board.Role // at present; empty if the engine does not say
		Running   int
		Slots     int
		Queued    int
		LinkBytes int64
		Leaving   bool
		Age       clock.Millis // how long ago this was true
	}

	// CacheEvent tells of a cached prompt prefix. Events come late and some
	// never come: a jump in Number shows how many are missing.
	CacheEvent struct {
		Number uint64
		Kind   CacheKind
		Prefix uint64 // hash as Prefixes makes it
		Tokens int    // that the prefix saves
	}

	// CacheEvents is a page of cache events.
	CacheEvents struct {
		Events []CacheEvent
		Next   uint64 // where the next page starts
	}

	// Order changes the engine itself. It carries a fencing number; engines
	// that check it decline one lower than the highest they have seen.
	Order struct {
		Kind  OrderKind
		Name  string     // of the model, adapter or version
		Role  board.Role // for ChangeRole
		Fence uint64
	}

	// OrderResult tells the engine's state after an order.
	OrderResult struct {
		Role     board.Role
		Model    string
		Version  string
		Adapters []string
		Repeated bool // the order changed nothing: this was the state before
	}
)
