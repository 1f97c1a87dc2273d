// Package operator speaks to operators: over HTTP, on an address of its own
// and with a token of its own.
//
//	POST /templates/{customer}?Base=N&PublicationID=ID&Again=B   publish a template (TOML or JSON)
//	GET  /templates                                      customers and revisions in force
//	GET  /templates/{customer}                           one template in force
//	GET  /status                                         this VM and what it sees
//	GET  /explain/{customer}/{key}                       what became of a request
//	POST /orders                                         have a model engine load something
//	POST /drain                                          begin a planned stop
//	GET  /metrics                                        counters, in the Prometheus text format
//
// Replies are JSON with keys in Pascal case. A reply that is no success is a
// [Fault], but for a template that was not accepted, which is a
// [PublishReply] with status 409.
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
	Unavailable     Reason = "Unavailable" // nothing took effect; try again later
	UnknownServer   Reason = "UnknownServer"
	Elsewhere       Reason = "Elsewhere"   // another VM gives orders to the engine; ask that one
	NotOrdered      Reason = "NotOrdered"  // the engine did not carry the order out
	InDoubt         Reason = "InDoubt"     // the publication may take effect; repeat it with the same ID
	Unreachable     Reason = "Unreachable" // made by the client: no request was sent
	BadReply        Reason = "BadReply"    // made by the client: the reply can't be read
)

// httpStatuses are the HTTP httpStatuses of the reasons.
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
	// Backend is the VM as operators see it. Its methods may be called by
	// several goroutines.
	Backend interface {
		// Publish appends a template to the log and waits for the verdict.
		// A publication with an ID that was decided before gets the same
		// verdict again. An error that is a refusal.Refusal which says
		// NotRun promises that nothing took effect; after any other error
		// the publication may still take effect.
		Publish(ctx context.Context, pub Publication) (Verdict, error)
		// Templates returns the configuration in force; never nil.
		Templates() *board.Templates
		// Status tells how the VM is.
		Status(ctx context.Context) Status
		// Explain asks all VMs what became of a request. An empty list
		// means that none of them knows it.
		Explain(ctx context.Context, customer, key string) ([]ExplainLine, error)
		// Order has a model engine load something and waits for the outcome.
		// The error is a Fault.
		Order(ctx context.Context, od Order) (OrderReply, error)
		// Drain begins the planned stop and does not wait for its end. A
		// second call changes nothing.
		Drain(ctx context.Context) error
	}

	// Publication is a template that an operator wants in force.
	Publication struct {
		ID       string // of the operator's choice; the same ID takes effect at most once
		Customer string
		Base     uint64 // revision that the template was revised from; 0 for a new customer
		Template template.Template
		// Again says that the ID was published before without a certain
		// verdict, here or at another VM.
		Again bool
	}

	// Verdict is what became of a publication.
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

	// TemplateList is all customers' revisions in force.
	TemplateList struct {
		Ready     bool       // false until the VM has learned the configuration
		Applied   uint64     // log offset up to which the VM learned it
		Revisions []Revision // sorted by customer
	}

	// TemplateReply is one template in force.
	TemplateReply struct {
		Revision uint64
		Template template.Template
	}

	// Order is what an operator wants a model engine to load. Given again
	// it changes nothing.
	Order struct {
		Server string
		Kind   engine.OrderKind // LoadModel, LoadAdapter or LoadVersion
		Name   string
	}

	// OrderReply says that an order was carried out.
	OrderReply struct {
		Order
		VM string // that gave it
	}

	// DrainReply says that a planned stop has begun.
	DrainReply struct {
		Draining bool
	}

	// ExplainReply is what the VMs know about a request.
	ExplainReply struct {
		Customer string
		Key      string
		Lines    []ExplainLine // in the order of time
	}

	// ExplainLine is one step in a request's life.
	ExplainLine struct {
		VM    string
		Since clock.Millis // since the request arrived at that VM
		Event int          // number of the event in the catalogue
		Text  string       // never holds a prompt, an answer or a secret
	}

	// Reason of a Fault. Each has a counter.
	Reason string

	// Fault is a reply that is no success. The client returns it as an error.
	Fault struct {
		Reason   Reason
		Detail   string        // a few words for a person
		Problems []place.Error `json:",omitempty"` // of an invalid template
	}
)

// Error writes the reason, the detail and one line for each problem.
func (fa Fault) Error() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%s: %s", fa.Reason, fa.Detail)
	for _, pe := range fa.Problems {
		sb.WriteString("\n" + pe.Error())
	}
	return sb.String()
}
