// Package operator is the HTTP interface for operators. It has its own address
// and its own token.
//
//	POST /templates/{customer}?Base=N&PublicationID=ID&Again=B   publish a template (TOML or JSON)
//	GET  /templates                                      customers and revisions in force
//	GET  /templates/{customer}                           one template in force
//	GET  /status                                         state of this VM and its view of the fleet
//	GET  /explain/{customer}/{key}                       history of a request
//	POST /orders                                         order a model engine to load a model, an adapter or a version
//	POST /drain                                          begin a planned stop
//	GET  /metrics                                        counters, in the Prometheus text format
//
// Replies are JSON with keys in Pascal case. An unsuccessful reply is a [Fault],
// except for a template that was not accepted, whose reply is a [PublishReply]
// with status 409.
//
// # Usage
//
//	srv := &operator.Server{Listener: ln, Token: set.Operator.Token, Backend: vm, Metrics: mt.Handler()}
//	err := srv.Run(ctx)
//
//	cl := operator.Client{Address: "10.1.1.1:9090", Token: token}
//	reply, err := cl.Publish(ctx, operator.Publication{Customer: "kedelsyn", Base: 3, Template: tpl})
package operator

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/place"
	"alderdyke/pkg/template"
)

// Reasons of a Fault.
const (
	MissingToken    Reason = "MissingToken"
	WrongToken      Reason = "WrongToken"
	BadRequest      Reason = "BadRequest"
	TooLarge        Reason = "TooLarge"
	UnknownMedia    Reason = "UnknownMedia"
	InvalidTemplate Reason = "InvalidTemplate"
	UnknownCustomer Reason = "UnknownCustomer"
	UnknownPath     Reason = "UnknownPath"
	WrongMethod     Reason = "WrongMethod"
	Unavailable     Reason = "Unavailable" // nothing took effect; retry later
	UnknownServer   Reason = "UnknownServer"
	Elsewhere       Reason = "Elsewhere"   // another VM gives orders to the engine; send the order to that one
	NotOrdered      Reason = "NotOrdered"  // the engine did not execute the order
	InDoubt         Reason = "InDoubt"     // the publication or order may take effect; repeat it, a publication with the same ID
	Unreachable     Reason = "Unreachable" // set by the client: no request was sent
	BadReply        Reason = "BadReply"    // set by the client: the reply can't be read
)

// httpStatuses maps each reason to its HTTP status.
var httpStatuses = map[Reason]int{
	MissingToken:    http.StatusUnauthorized,
	WrongToken:      http.StatusUnauthorized,
	BadRequest:      http.StatusBadRequest,
	TooLarge:        http.StatusRequestEntityTooLarge,
	UnknownMedia:    http.StatusUnsupportedMediaType,
	InvalidTemplate: http.StatusUnprocessableEntity,
	UnknownCustomer: http.StatusNotFound,
	UnknownPath:     http.StatusNotFound,
	WrongMethod:     http.StatusMethodNotAllowed,
	Unavailable:     http.StatusServiceUnavailable,
	UnknownServer:   http.StatusNotFound,
	Elsewhere:       http.StatusMisdirectedRequest,
	NotOrdered:      http.StatusServiceUnavailable,
	InDoubt:         http.StatusServiceUnavailable,
}

type (
	// Backend is the interface of a VM for operators. Its methods may be called
	// concurrently.
	Backend interface {
		// Publish appends a template to the log and waits for the verdict.
		// A publication with an ID that was decided before gets the same
		// verdict again. An error that is a refusal.Refusal with NotRun
		// guarantees that nothing took effect; after any other error the
		// publication may still take effect.
		Publish(ctx context.Context, pub Publication) (Verdict, error)
		// Templates returns the templates in force; never nil.
		Templates() *board.Templates
		// Status returns the state of the VM and its view of the fleet.
		Status(ctx context.Context) Status
		// Explain collects the history of a request from all VMs. An empty
		// list means that none of them has a record of it.
		Explain(ctx context.Context, customer, key string) ([]ExplainLine, error)
		// Order orders a model engine to load a model, an adapter or a version
		// and waits for the outcome. The error should be a Fault; any other
		// error is reported to the operator as InDoubt.
		Order(ctx context.Context, od Order) (OrderReply, error)
		// Drain begins the planned stop and does not wait for its end. A
		// second call has no effect.
		Drain(ctx context.Context) error
	}

	// Publication is a template that an operator publishes.
	Publication struct {
		ID       string // chosen by the operator; publications with the same ID take effect at most once
		Customer string
		Base     uint64 // revision that the template was revised from; 0 for a new customer
		Template template.Template
		// Again states that the ID was published before, here or at another
		// VM, and its verdict is not known for certain.
		Again bool
	}

	// Verdict is the outcome of a publication.
	Verdict struct {
		Accepted bool
		Revision uint64 // of the publication, if it was accepted
		Current  uint64 // revision that is now in force; 0 if there is none
		Reason   string // why it was not accepted
	}

	// PublishReply is the reply to a publication that was decided.
	PublishReply struct {
		PublicationID string
		Verdict
	}

	// Revision is one customer's revision in force.
	Revision struct {
		Customer string
		Revision uint64
	}

	// TemplateList lists the revisions in force of all customers.
	TemplateList struct {
		Ready     bool       // false until the VM has received the configuration
		Applied   uint64     // log offset up to which the VM has applied it
		Revisions []Revision // sorted by customer
	}

	// TemplateReply is one template in force.
	TemplateReply struct {
		Revision uint64
		Template template.Template
	}

	// Order is an operator's order to a model engine to load a model, an adapter
	// or a version. Orders are idempotent.
	Order struct {
		Server string
		Kind   engine.OrderKind // LoadModel, LoadAdapter or LoadVersion
		Name   string           // of the model, adapter or version
	}

	// OrderReply reports that an order was executed.
	OrderReply struct {
		Order
		VM string // that sent the order to the engine
	}

	// DrainReply reports that a planned stop has begun.
	DrainReply struct {
		Draining bool
	}

	// ExplainReply is the history of a request, collected from the VMs.
	ExplainReply struct {
		Customer string
		Key      string
		Lines    []ExplainLine // in chronological order
	}

	// ExplainLine is one step in the history of a request.
	ExplainLine struct {
		VM    string
		Since clock.Millis // since the request arrived at that VM
		Event int          // number of the event in the catalogue
		Text  string       // never contains a prompt, an answer or a secret
	}

	// Reason of a Fault. Each has its own counter.
	Reason string

	// Fault is an unsuccessful reply. The client returns it as an error.
	Fault struct {
		Reason   Reason
		Detail   string        // a short explanation for humans
		Problems []place.Error `json:",omitempty"` // of an invalid template
	}
)

// Error returns the reason, the detail and one line for each problem.
func (fa Fault) Error() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%s: %s", fa.Reason, fa.Detail)
	for _, pe := range fa.Problems {
		sb.WriteString("\n" + pe.Error())
	}
	return sb.String()
}
