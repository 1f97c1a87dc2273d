package caller

import (
	"context"
	"net/http"

	"alderdyke/internal/answer"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

type (
	// Request is one checked request of a caller. Exactly one of Chat and
	// Plain is set.
	Request struct {
		Customer string
		Template template.Template
		Class    template.Class

		// Key names the request. The same key asked again by the same
		// customer gets the same answer.
		Key      string
		KeyGiven bool // the caller chose Key; false: it was made here and never used before

		// Resumed says that the caller has a part of the answer. It must get
		// the rest of that one and never of another run: without it the
		// Runner refuses with AnswerExpired.
		Resumed bool

		Chat  *Chat
		Plain *Plain

		Deadline clock.Millis // span from arrival; never above the class's

		// Fingerprint is a hash over everything that makes the request, but
		// not over how its answer is delivered. The same key with another
		// fingerprint is another request.
		Fingerprint []byte
	}

	// Chat is a request to a model service.
	Chat struct {
		Model string

		// Prompt is the messages in one canonical form: a JSON array of
		// objects with role and content, in that order and without spaces.
		// A message's content can't be mistaken for another message.
		Prompt       string
		PromptTokens int // estimate; the engine's tokenizer may count otherwise
		MaxTokens    int // above 0 and never above the class's

		// PrefixHash is of the leading system messages or, if there are
		// none, of the first 1 KiB of a longer prompt; otherwise zero.
		PrefixHash uint64
	}

	// Plain is a request to a plain service.
	Plain struct {
		Service string
		Method  string
		Path    string      // as sent, still escaped, with its leading slash
		Query   string      // as sent, without the question mark
		Header  http.Header // without hop-by-hop headers and those meant for this VM
		Body    []byte
	}

	// Address is one entry VM that callers may connect to.
	Address struct {
		Address       string // "IP:port"
		FailureDomain string
		Rank          int `json:"-"` // one of a higher rank is used only if those of lower ranks are too few
	}

	// Runner runs requests.
	//
	// An error of Start, Find or Accepting that wraps a refusal.Refusal is
	// told to the caller as it stands. Any other error becomes a refusal that
	// says MayHaveRun.
	Runner interface {
		// Start returns the answer of the request at once: of a new run, or
		// of the one that its key has already. The context ends with the
		// caller's connection and bounds only the call of Start; the run
		// goes on without it. How many callers follow the answer is told by
		// answer.Stream.OnWatchers. While the VM drains, Start still returns
		// the answer of a key that is known and refuses all others.
		Start(ctx context.Context, req Request) (*answer.Stream, error)

		// Find returns the answer of a key, wherever it runs, without running
		// anything; nil if none is kept. It is also asked before Start for a
		// caller that has a part of the answer already, so that no new run
		// is taken for the rest of it.
		Find(ctx context.Context, customer, key string) (*answer.Stream, error)

		// Addresses lists the VMs that callers should use, in any order, and
		// for how long they may keep the list. See [Candidates].
		Addresses() (list []Address, keepFor clock.Millis)

		// Accepting is nil, or the refusal for every new request.
		Accepting() error
	}
)
