// Package origin keeps the software versions at which streams of events began, so that
// a caller who resumes a stream at another VM gets the rest from a server of the same
// version.
//
// The VM that begins a stream sends a [Record] to a few other VMs, which depend on the
// ID of the caller's attempt only. A VM that is to resume the stream asks these VMs. The
// number of messages does not depend on the size of the fleet.
//
// A record is sent before the stream's first event, and an attempt is bound to one
// version from its record on. Records therefore never change: they may arrive late,
// twice or at some of the VMs only. A VM that receives two different records for an ID
// answers that it is ambiguous.
//
// Records are lost with the VMs that keep them. What a [History] tells may replace them:
// where only one version was listed for as long as a stream can have run, the stream
// began at that version.
//
// # Usage
//
//	rg := &origin.Registry{Peers: peers, Log: lg}
//	rg.Keep(origin.IDOf(customer, attempt), origin.Record{Service: "m", Version: "v1"}, life)
//	an := rg.Lookup(ctx, origin.IDOf(customer, attempt), "m", span)
//	if an.State == origin.Known { ... an.Record.Version ... }
//
// A Registry is safe for concurrent use.
package origin

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

const (
	// copies is the number of other VMs that keep a record.
	copies = 3
	// maxCandidates is the number of VMs among which the copies are: those that do not
	// respond are replaced, and VMs with different views of the fleet may skip others.
	maxCandidates = 5
	// replyTimeout bounds one message and its reply.
	replyTimeout = 40 * time.Millisecond
	// keepTries and askTries are how often a record and a question are sent to one VM.
	keepTries = 3
	askTries  = 2
	// keepRounds is how often the VMs are selected again, keepPause apart, until enough
	// of them keep a record, and keepAttempts in how many of these rounds some are sent it.
	keepRounds   = 40
	keepAttempts = 3
	keepPause    = 50 * time.Millisecond
	// joinWait bounds the wait of a question until this VM knows any other: a VM that has
	// just started joins the fleet within a few calls to the store.
	joinWait = 200 * time.Millisecond
	joinPoll = 10 * time.Millisecond
)

// States of an ID.
const (
	Unknown State = iota
	Known
	Ambiguous // there are different records for the ID
)

type (
	// State tells what is known of an ID.
	State int

	// ID identifies a stream by the customer and the attempt that brought its first event.
	ID [16]byte

	// Record tells where a stream began.
	Record struct {
		Service string
		Version string // of the server's software
	}

	// Request asks a VM for the record of an ID, or to keep one.
	Request struct {
		ID     ID
		Record Record       // to be kept; without a version nothing is
		Life   clock.Millis // how long it is needed
		// Service and Span ask for the only version of a service in the last span.
		Service string
		Span    clock.Millis
	}

	// Reply answers a Request.
	Reply struct {
		State  State
		Record Record
		Age    clock.Millis // of the record at the VM that replies
		// Sole is the only version of the service in the span; empty if there were
		// several, or the VM did not follow the list of servers for that long.
		Sole string
		// Several reports whether the VM knows that the service had several versions in the
		// span.
		Several bool
	}

	// Answer is what the VMs know of an ID.
	Answer struct {
		Reply
		By     string // VM that sent the record; empty: this one, or none
		Silent int    // VMs that did not reply, or 1 if this VM knows no other
	}

	// Peers sends requests to other VMs.
	Peers interface {
		// OriginVMs lists up to count other VMs for an ID, in an order on which VMs
		// with the same view of the fleet agree, and in different failure domains as far
		// as possible. With alive, it omits those that are not alive or leave.
		OriginVMs(id ID, count int, alive bool) []string
		// AskOrigin sends a request to a VM and waits for the reply.
		AskOrigin(ctx context.Context, vm string, rq Request) (Reply, error)
	}

	// Registry keeps the records of one VM. Set the exported fields before use.
	Registry struct {
		Peers Peers
		// Sole returns the only version of a service in the last span, as History.Sole
		// does.
		Sole func(service string, span clock.Millis) (version string, ok bool)
		// Several reports whether a service is known to have had several versions in the
		// last span; nil: it never is.
		Several func(service string, span clock.Millis) bool
		Clock   clock.Source
		Log     event.Logger

		mu      sync.Mutex
		records table
	}
)

// String returns the state's name.
func (st State) String() string {
	switch st {
	case Known:
		return "Known"
	case Ambiguous:
		return "Ambiguous"
	default:
		return "Unknown"
	}
}

// IDOf returns the ID of a customer's attempt.
func IDOf(customer, attempt string) ID {
	sum := sha256.Sum256([]byte(customer + "\x00" + attempt))
	return ID(sum[:len(ID{})])
}

// String returns the ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

func (rg *Registry) now() clock.Millis { return clock.OrBoottime(rg.Clock).Now() }

// Handle answers a request of another VM.
func (rg *Registry) Handle(rq Request) Reply {
	re := rg.local(rq)
	if rq.Service != "" && rg.Sole != nil {
		re.Sole, _ = rg.Sole(rq.Service, rq.Span)
	}
	re.Several = rq.Service != "" && rg.Several != nil && rg.Several(rq.Service, rq.Span)
	return re
}

// local keeps the record of a request, if it has one, and returns what this VM knows.
func (rg *Registry) local(rq Request) Reply {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	now := rg.now()
	if rq.Record.Version != "" {
		rg.records.put(now, rq.ID, rq.Record, rq.Life)
	}
	return rg.records.get(now, rq.ID)
}

// Keep keeps a record for a time at this VM, and copies it to others in the background.
func (rg *Registry) Keep(id ID, rc Record, life clock.Millis) {
	rq := Request{ID: id, Record: rc, Life: life}
	rg.local(rq)
	go rg.copyToOthers(rq)
}

// copyToOthers copies a record to other VMs. A VM that has just started knows the others
// only after a while.
func (rg *Registry) copyToOthers(rq Request) {
	var done []string
	attempts := 0
	for range keepRounds {
		vms := rg.Peers.OriginVMs(rq.ID, maxCandidates, true)
		vms = slices.DeleteFunc(vms, func(vm string) bool { return slices.Contains(done, vm) })
		if len(vms) > 0 {
			done = append(done, rg.copyToSome(vms, copies-len(done), rq)...)
			attempts++
		}
		if len(done) == copies || attempts == keepAttempts {
			break
		}
		time.Sleep(keepPause)
	}
	if len(done) == 0 {
		rg.Log.Log(event.OriginNotCopied, event.F("ID", rq.ID.String()), event.F("Version", rq.Record.Version))
	}
}

// copyToSome copies a record to a number of the VMs, the first ones that reply, and
// returns those that did.
func (rg *Registry) copyToSome(vms []string, count int, rq Request) []string {
	next, done := make(chan string, len(vms)), make(chan string, len(vms))
	for _, vm := range vms {
		next <- vm
	}
	close(next)
	var all sync.WaitGroup
	for range min(count, len(vms)) {
		all.Go(func() {
			for vm := range next {
				if rg.copyTo(vm, rq) {
					done <- vm
					return
				}
			}
		})
	}
	all.Wait()
	close(done)
	var out []string
	for vm := range done {
		out = append(out, vm)
	}
	return out
}

// copyTo sends a record to a VM until the VM replies, and reports whether it did.
func (rg *Registry) copyTo(vm string, rq Request) bool {
	for range keepTries {
		if _, err := rg.ask(context.Background(), vm, rq); err == nil {
			return true
		}
	}
	return false
}

func (rg *Registry) ask(ctx context.Context, vm string, rq Request) (Reply, error) {
	ctx, stop := context.WithTimeout(ctx, replyTimeout)
	defer stop()
	return rg.Peers.AskOrigin(ctx, vm, rq)
}

// Lookup asks this VM and the others for the record of an ID. If there is none, the
// answer may have the only version that a service had in the last span. A VM that was cut
// off may have missed a version, so there is none if any other VM knows of several, or if
// they disagree.
func (rg *Registry) Lookup(ctx context.Context, id ID, service string, span clock.Millis) Answer {
	rq := Request{ID: id, Service: service, Span: span}
	best := Answer{Reply: rg.Handle(rq)}
	if best.State != Unknown {
		return best
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	vms := rg.awaitVMs(ctx, id)
	if len(vms) == 0 {
		best.Silent = 1 // whoever knows the stream
		return best
	}
	replies := make(chan Answer, len(vms))
	for _, vm := range vms {
		go func() { replies <- rg.askRepeatedly(ctx, vm, rq) }()
	}
	for range vms {
		an := <-replies
		if an.State != Unknown {
			return an
		}
		best.Silent += an.Silent
		best.Several = best.Several || an.Several || best.Sole != "" && an.Sole != "" && best.Sole != an.Sole
		best.Sole = cmp.Or(best.Sole, an.Sole)
	}
	if best.Several {
		best.Sole = ""
	}
	return best
}

// awaitVMs returns the VMs to ask, as soon as this VM knows any.
func (rg *Registry) awaitVMs(ctx context.Context, id ID) []string {
	for end := time.Now().Add(joinWait); ; {
		vms := rg.Peers.OriginVMs(id, maxCandidates, false)
		if len(vms) > 0 || time.Now().After(end) || !clock.Sleep(ctx, clock.Of(joinPoll)) {
			return vms
		}
	}
}

// askRepeatedly asks a VM until it replies.
func (rg *Registry) askRepeatedly(ctx context.Context, vm string, rq Request) Answer {
	for range askTries {
		if re, err := rg.ask(ctx, vm, rq); err == nil {
			return Answer{Reply: re, By: vm}
		}
	}
	return Answer{Silent: 1}
}
