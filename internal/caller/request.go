package caller

import (
	"context"
	"net/http"

	"alderdyke/internal/answer"
	"alderdyke/internal/memory"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

type (
	// Request is one validated request of a caller. Exactly one of Chat and Plain is
	// set.
	Request struct {
		Customer string
		Template template.Template
		Class    template.Class

		// Key identifies the request. Repeating a key for the same customer returns
		// the same answer.
		Key      string
		KeyGiven bool // the caller chose Key; false: it was generated here and never used before

		// Resumed reports that the caller has a part of the answer. It must get the
		// rest of that answer and never the answer of another run: if the answer is
		// not kept, the Runner refuses with AnswerExpired.
		Resumed bool

		Chat  *Chat
		Plain *Plain

		Deadline clock.Millis // duration from arrival; never longer than the class's

		// Fingerprint is a hash over everything that defines the request, but not
		// over how its answer is delivered. The same key with another fingerprint is
		// another request.
		Fingerprint []byte

		// Memory is what the request holds of Server.Memory. A Runner that keeps the
		// request beyond Start takes it over (memory.Holding.Transfer).
		Memory *memory.Holding
	}

	// Chat is a request to a model service.
	Chat struct {
		Model string

		// Prompt holds the messages in one canonical form: a JSON array of objects
		// with role and content, in that order and without spaces. A message's
		// content can't be mistaken for another message.
		Prompt       string
		PromptTokens int // estimate; the engine's tokenizer may count otherwise
		MaxTokens    int // positive and never above the class's limit

		// PrefixHash covers the leading system messages or, if there are none, the
		// first 1 KiB of a longer prompt; otherwise it is zero.
		PrefixHash uint64
	}

	// Plain is a request to a plain service.
	Plain struct {
		Service string
		Method  string
		Path    string      // as sent: escaped and with its leading slash
		Query   string      // as sent, without the question mark
		Header  http.Header // without hop-by-hop headers and those meant for this VM
		Body    []byte
	}

	// Address is an entry VM that callers may connect to.
	Address struct {
		Address       string // "IP:port"
		FailureDomain string
		Rank          int `json:"-"` // one of a higher rank is used only if there are too few of lower ranks
	}

	// Runner runs requests.
	//
	// If an error of Start, Find or Accepting wraps a refusal.Refusal, that refusal
	// is sent to the caller unchanged. Any other error becomes a refusal with
	// MayHaveRun.
	Runner interface {
		// Start returns the answer of the request immediately: that of a new run, or
		// the one that its key already has. The context ends with the caller's
		// connection and bounds only the call of Start; the run continues without it.
		// answer.Stream.OnWatchers reports how many callers follow the answer. While
		// the VM drains, Start still returns the answer of a known key and refuses
		// all others.
		Start(ctx context.Context, req Request) (*answer.Stream, error)

		// Find returns the answer of a key, wherever it runs, without running
		// anything; nil if none is kept. It is also called before Start for a caller
		// that already has a part of the answer, so that a new run is not taken for
		// the rest of it.
		Find(ctx context.Context, customer, key string) (*answer.Stream, error)

		// Addresses lists the VMs that callers should use, in any order, and how long
		// callers may keep the list. See [Candidates].
		Addresses() (list []Address, keepFor clock.Millis)

		// Accepting returns nil, or the refusal of every new request.
		Accepting() error
	}
)
