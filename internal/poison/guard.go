// Package poison keeps requests that end their backend servers away from
// further ones: queries of death, which a caller sends again and again.
//
// A [Guard] is asked before each call that carries a request to a backend server,
// and told how the call ended. Where a call broke off it finds out whether the
// server has ended, tells the other VMs, and hears them. What that says of the
// request is decided by package suspect; what a server is asked, and how VMs reach
// each other, is given to the Guard by whoever uses it.
//
// # Usage
//
//	gd := &poison.Guard{Log: lg, Probe: probe, Backends: backends, Broadcast: send, VMs: count}
//	mk := gd.Mark(method, path, body)
//	if after := gd.Check(mk); after > 0 { ... } // refuse; it may be tried again then
//	...
//	gd.RecordBrokenCall(ctx, poison.Call{Request: id, Mark: mk, Server: srv, Instance: in, SentAt: sentAt})
//	gd.RecordSuccess(id, mk)
//	go gd.Share(ctx)
package poison

import (
	"context"
	"crypto/rand"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/suspect"
	"alderdyke/pkg/clock"
)

const (
	// UnknownConcurrent is said of servers whose other requests this VM does not
	// know: they were not alone.
	UnknownConcurrent = 1

	// keyBytes is the length of a key of this VM's own.
	keyBytes = 32
)

// What a probe finds of one instance of a server.
const (
	// Alive is said of a server that answered, and of one that can't be told from it:
	// one that answers late may be alive.
	Alive Finding = iota
	// Crashed is said of a server that is not there any more: nobody listens at its
	// address, or another instance does.
	Crashed
	// Unanswered is said of a server that can't be reached or answers nothing, and whose
	// instances can be told apart. It counts as ended until the same instance answers.
	Unanswered
)

type (
	// Finding is what a probe found.
	Finding int

	// Guard is one VM's search. Set the exported fields before use; its methods may be
	// called at the same time.
	Guard struct {
		Clock clock.Source
		Log   event.Logger
		Scope tally.Scope
		// Key is what all VMs of the fleet know requests by again; nil, or empty: a key
		// of this VM's own, so that it knows them for itself alone.
		Key func() []byte
		// Probe asks a server whether the instance of a call is there; nil: ends are
		// only heard of.
		Probe func(ctx context.Context, cl Call) Finding
		// Backends is the backend servers that are listed.
		Backends func() *board.Backends
		// Broadcast tells the other VMs at which server's end a request was there; nil:
		// they are not told.
		Broadcast func(en suspect.Crash)
		// VMs is how many VMs live, this one among them; nil: one.
		VMs func() int

		once           sync.Once
		broadcastLimit *rate.Limiter
		ownKey         []byte
		mu             sync.Mutex // guards all below
		suspects       suspect.Tracker
		probes         map[string]*probe // by instance
	}

	// Call is a call at a server that broke off.
	Call struct {
		Request  string // for the log
		Mark     suspect.Mark
		Server   board.BackendServer
		Instance string // of the server, as all VMs name it
		// InstanceConfirmed tells that the server named Instance while the call ran, or just
		// before: another one that answers has taken its place since.
		InstanceConfirmed bool
		SentAt            clock.Millis // point at which the server was sent the request; zero: not known
		Answered          bool         // the server had begun to answer
		Concurrent        int          // other requests there
	}
)

func (gd *Guard) init() {
	gd.once.Do(func() {
		gd.broadcastLimit = rate.NewLimiter(broadcastRate, broadcastBurst)
		gd.ownKey = make([]byte, keyBytes)
		_, _ = rand.Read(gd.ownKey) // never fails, as its documentation says
		gd.probes = make(map[string]*probe)
	})
}

func (gd *Guard) now() clock.Millis { return clock.Or(gd.Clock).Now() }

// HasSuspects tells whether any request is under suspicion. While none is, no request needs
// a mark.
func (gd *Guard) HasSuspects() bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.suspects.HasSuspects()
}

// Mark names a request by what is the same at each of its tries.
func (gd *Guard) Mark(parts ...[]byte) suspect.Mark {
	gd.init()
	key := gd.ownKey
	if gd.Key != nil {
		if fleet := gd.Key(); len(fleet) > 0 {
			key = fleet
		}
	}
	return suspect.MarkOf(key, parts...)
}

// Check tells whether a request may be sent to a server: zero, or the span after which
// it may be tried once more.
func (gd *Guard) Check(mk suspect.Mark) clock.Millis {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	_, span := gd.suspects.Check(gd.now(), mk)
	return span
}

// Suspected reports whether servers ended while a request was there.
func (gd *Guard) Suspected(mk suspect.Mark) bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	vd, _ := gd.suspects.Check(gd.now(), mk)
	return vd != suspect.Clear
}

// RecordSuccess notes that a request had its whole answer.
func (gd *Guard) RecordSuccess(request string, mk suspect.Mark) {
	gd.init()
	gd.mu.Lock()
	if vd, _ := gd.suspects.Check(gd.now(), mk); vd == suspect.Clear {
		gd.mu.Unlock()
		return
	}
	ch, en := gd.suspects.RecordSuccess(gd.now(), mk)
	gd.mu.Unlock()
	gd.log(suspect.Crash{Mark: mk}, request, ch)
	gd.broadcast(en)
}

// RecordBrokenCall notes that a call at a server broke off, and returns when it is
// known whether the server has ended, or soon after.
func (gd *Guard) RecordBrokenCall(ctx context.Context, cl Call) {
	if gd.Probe == nil {
		return
	}
	gd.init()
	at := gd.now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if pr := gd.probeInstance(cl); pr.implicates(cl) {
			gd.record(pr, cl, at)
		}
	}()
	timer := time.NewTimer(probeWait.Std())
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// MayHaveCrashed tells whether a call may have ended with its server.
func MayHaveCrashed(ctx context.Context, err error) bool {
	oc, _ := backend.OutcomeOf(err)
	return err != nil && ctx.Err() == nil && oc == backend.InDoubt && !errors.Is(err, context.DeadlineExceeded)
}

// record takes an end that this VM saw at a point in time, and tells the others.
func (gd *Guard) record(pr *probe, cl Call, at clock.Millis) {
	en := suspect.Crash{Mark: cl.Mark, Server: cl.Instance, Answered: cl.Answered, Concurrent: cl.Concurrent, Age: gd.now() - at}
	gd.mu.Lock()
	if pr.finding == Unanswered && gd.probes[cl.Instance] != pr {
		gd.mu.Unlock()
		return // it answered meanwhile
	}
	ch := gd.suspects.Record(gd.now(), en)
	pr.marks = append(pr.marks, cl.Mark)
	gd.mu.Unlock()
	gd.log(en, cl.Request, ch)
	gd.broadcast(en)
}

// RecordRemote takes an end that another VM saw.
func (gd *Guard) RecordRemote(en suspect.Crash) {
	gd.mu.Lock()
	ch := gd.suspects.Record(gd.now(), en)
	gd.mu.Unlock()
	if ch.Before != ch.After && ch.After == suspect.Refused {
		gd.log(en, "", ch)
	}
}

// log writes to the log, and counts, what came of an end, or of a whole answer if it
// names no server. The request is one of this VM, or empty.
func (gd *Guard) log(en suspect.Crash, request string, ch suspect.Change) {
	ev := event.RelaySuspect
	switch {
	case ch.After == suspect.Refused && ch.Before != suspect.Refused:
		ev = event.RelayEndsServers
	case en.Server == "" || en.Retracted:
		ev = event.RelaySuspectWorked
	}
	if gd.Scope != nil {
		gd.Scope.Tagged(map[string]string{"Outcome": ev.Name}).Counter("Suspects").Inc(1)
	}
	gd.Log.Log(ev, event.F("Request", request), event.F("Mark", en.Mark.String()), event.F("Server", en.Server), event.F("Ends", ch.Crashes),
		event.F("Weight", strconv.FormatFloat(ch.Weight, 'f', 2, 64)), event.F("Refused", ch.After == suspect.Refused))
}
