// Package template holds an operator's settings for one customer: which requests
// may wait, which must be answered quickly, which are not idempotent, and which
// share of the capacity each class may claim.
//
// A [Template] is an immutable value: the With methods return changed copies,
// and its slices must not be modified once the value is shared.
//
// # Usage
//
//	tpl, err := template.Parse("kedelsyn.toml", text)
//	cls, ok := tpl.Class("findings")
package template

import (
	"slices"

	"alderdyke/pkg/clock"
)

// Urgencies of a class.
const (
	// Patient requests may wait in a queue up to their latency target.
	Patient Urgency = "Patient"
	// Quick requests are never queued: they are served immediately or refused.
	Quick Urgency = "Quick"
)

type (
	// Urgency states whether requests of a class may wait.
	Urgency string

	// Template holds an operator's settings for one customer.
	Template struct {
		Customer  string
		KeyHashes []string // hex SHA-256 of each API key that authenticates the customer

		// PrefillWeight weighs wasted prefill against goodput, from 0 (only
		// goodput counts) to 1 (only wasted prefill counts).
		PrefillWeight float64

		Classes []Class
	}

	// Class sets how one class of the customer's requests is handled.
	Class struct {
		Name    string
		Service string  // the model service or plain service that serves it
		Urgency Urgency // Patient or Quick

		// Paths are the path prefixes of a plain service that belong to the
		// class. They are empty for a model service: its requests name their
		// class, or get the first class of their service.
		Paths []string `toml:",omitempty" json:",omitempty"`

		Idempotent bool // false: runs at most once, never repeated

		TTFT     clock.Millis // target: time to first token, or to the complete answer of a plain service
		TPOT     clock.Millis `toml:",omitempty" json:",omitempty"` // target: time per output token; zero for a plain service
		Deadline clock.Millis // measured from the arrival of a request, which is refused afterwards

		// StreamWait is how long a running request waits for a disconnected
		// caller to reconnect before it is cancelled.
		StreamWait clock.Millis

		// Share is the fraction of the service's capacity that the class may
		// claim under contention, above 0 and up to 1. Unused shares are lent
		// to other classes.
		Share float64

		MaxTokens int `toml:",omitempty" json:",omitempty"` // maximum output tokens of one request; zero for a plain service
	}
)

// Class returns the class with the given name.
func (tp Template) Class(name string) (Class, bool) {
	ix := slices.IndexFunc(tp.Classes, func(cl Class) bool { return cl.Name == name })
	if ix < 0 {
		return Class{}, false
	}
	return tp.Classes[ix], true
}

// WithCustomer returns the template for another customer.
func (tp Template) WithCustomer(name string) Template {
	tp.Customer = name
	return tp
}

// WithKeyHash returns the template with an additional API key, given by its hash;
// see [HashKey].
func (tp Template) WithKeyHash(hash string) Template {
	if !slices.Contains(tp.KeyHashes, hash) {
		tp.KeyHashes = append(slices.Clone(tp.KeyHashes), hash)
	}
	return tp
}

// WithoutKeyHash returns the template without the API key with the given hash.
func (tp Template) WithoutKeyHash(hash string) Template {
	tp.KeyHashes = slices.DeleteFunc(slices.Clone(tp.KeyHashes), func(old string) bool { return old == hash })
	return tp
}

// WithPrefillWeight returns the template with another weight of wasted
// prefill, from 0 to 1.
func (tp Template) WithPrefillWeight(weight float64) Template {
	tp.PrefillWeight = weight
	return tp
}

// WithClass returns the template with the class added. A class with the same name
// is replaced.
func (tp Template) WithClass(cl Class) Template {
	classes := slices.Clone(tp.Classes)
	ix := slices.IndexFunc(classes, func(old Class) bool { return old.Name == cl.Name })
	if ix < 0 {
		tp.Classes = append(classes, cl)
		return tp
	}
	classes[ix] = cl
	tp.Classes = classes
	return tp
}

// WithoutClass returns the template without the class of the given name.
func (tp Template) WithoutClass(name string) Template {
	tp.Classes = slices.DeleteFunc(slices.Clone(tp.Classes), func(old Class) bool { return old.Name == name })
	return tp
}

// WithTargets returns the class with other latency targets.
func (cl Class) WithTargets(ttft, tpot clock.Millis) Class {
	cl.TTFT = ttft
	cl.TPOT = tpot
	return cl
}

// WithDeadline returns the class with another deadline.
func (cl Class) WithDeadline(deadline clock.Millis) Class {
	cl.Deadline = deadline
	return cl
}

// WithShare returns the class with another share of its service's capacity.
func (cl Class) WithShare(share float64) Class {
	cl.Share = share
	return cl
}
