// Package poison stops requests that crash backend servers, known as queries of death,
// from reaching further servers when a caller retries them.
//
// A [Guard] is consulted before each call that carries a request to a backend server,
// and records how the call ended. When a call breaks, it probes whether the server has
// crashed, broadcasts the crash to the other VMs, and records the crashes that they
// report. Package suspect decides what the crashes mean for the request, and for the
// parts that it shares with others. How a server is probed and how VMs reach each other
// is passed to the Guard by its user.
//
// Each VM sees a fraction of the answers. A report of a crash names only those parts of
// the request that its VM knows no answer for, and a VM that knows one objects. Nothing
// is sent while no server crashes.
//
// # Usage
//
//	gd := &poison.Guard{Log: lg, Probe: probe, Backends: backends, Broadcast: send, VMs: count}
//	ms := suspect.Marks{Request: gd.Mark(method, path, body), Customer: gd.Mark(customer), Parts: []suspect.Mark{gd.Mark(service, part)}}
//	if dc := gd.Check(ms); dc.Verdict == suspect.Refused { ... } // it may be tried again after dc.After
//	...
//	gd.RecordBrokenCall(ctx, poison.Call{Request: id, Marks: ms, Server: srv, Instance: in, SentAt: sentAt})
//	gd.RecordSuccess(id, ms)
//	go gd.Share(ctx)
package poison

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
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
	// UnknownConcurrent is the value of Call.Concurrent if this VM has no information
	// about other requests at the server. It is not zero, so that the request does not
	// count as having been alone there.
	UnknownConcurrent = 1

	// keyBytes is the length of this VM's own key.
	keyBytes = 32
	// reportedRuns is how many of the requests that a crashed server had begun to answer
	// are reported to the other VMs on average.
	reportedRuns = 8
)

// Outcomes of reports to the other VMs; values of a counter's tag.
const (
	reportSent     = "Sent"
	reportDropped  = "Dropped" // for the limit of messages
	reportSampled  = "Sampled" // one of many requests that had begun to be answered
	reportReceived = "Received"
)

// Results of probing an instance of a server.
const (
	// Alive means that the server answered, or might still be alive and answer late.
	Alive Finding = iota
	// Crashed means that the instance no longer exists: nothing listens at its address,
	// or another instance does.
	Crashed
	// Unanswered means that the server is unreachable or does not answer, and that its
	// instances can be distinguished. It counts as crashed until the same instance
	// answers.
	Unanswered
	// Unclear means that the server may have crashed during the call or before it, for
	// example because it has restarted and its instance at the time of the call is not
	// known. It is no evidence, but further servers that may run the request must report
	// their instances first.
	Unclear
)

type (
	// Finding is the result of a probe.
	Finding int

	// Guard detects crashing requests for one VM. Set the exported fields before use;
	// its methods may be called concurrently.
	Guard struct {
		Clock clock.Source
		Log   event.Logger
		Scope tally.Scope
		// Key returns the key with which all VMs of the fleet mark requests. If it is
		// nil or returns no key, the VM uses its own key, and its marks mean nothing to
		// the other VMs.
		Key func() []byte
		// Probe checks whether the instance of a call is alive; if nil, only crashes
		// that other VMs report are recorded.
		Probe func(ctx context.Context, cl Call) Finding
		// Backends returns the listed backend servers.
		Backends func() *board.Backends
		// Broadcast sends a report to the other VMs; if nil, none are sent.
		Broadcast func(re suspect.Report)
		// RepeatWait is how long RecordBrokenCall waits for a probe if another call of the
		// request, or of one that shares a part with it, broke before and its server is not
		// known to be alive; zero means as long as for the first call. On a busy machine
		// probes took up to 0.6 s, and requests crashed two more servers meanwhile.
		RepeatWait clock.Millis
		// VMs returns the number of live VMs, including this one; nil means one.
		VMs func() int

		once           sync.Once
		broadcastLimit *rate.Limiter
		ownKey         []byte
		mu             sync.Mutex // guards the fields below
		suspects       suspect.Tracker
		probes         map[string]*probe                // by instance
		unreported     map[suspect.Mark]unreportedCrash // first crashes of requests that the other VMs were not sent
		lastAccusation map[suspect.Mark]clock.Millis    // when a VM last reported a crash of requests with a part
		lastAnswer     map[suspect.Mark]clock.Millis    // when a VM last reported an answer of one
		lastObjection  map[suspect.Mark]clock.Millis    // when this VM last decided to report one
		unresolved     map[suspect.Mark]unresolved
	}

	// unreportedCrash is a crash that the other VMs were not sent.
	unreportedCrash struct {
		crash suspect.Crash
		at    clock.Millis // when it was recorded
	}

	// Call is a call to a server that broke.
	Call struct {
		Request  string   // ID of the request, for the log
		Parts    []string // names of the parts that the request shares with others, for the log
		Marks    suspect.Marks
		Server   board.BackendServer
		Instance string // the server's instance, by a name that all VMs use
		// InstanceConfirmed means that the server reported Instance during the call or
		// shortly before, so that any other instance that answers now has replaced it.
		InstanceConfirmed bool
		// InstanceChanged means that the server reported another instance than before the
		// call, and that it is not known which of them the call reached.
		InstanceChanged bool
		SentAt          clock.Millis // when the request was sent to the server; zero if unknown
		Answered        bool         // the server had begun to answer
		Concurrent      int          // other requests at the server
	}
)

// String returns the name of a finding in the log.
func (fi Finding) String() string {
	switch fi {
	case Crashed:
		return "Crashed"
	case Unanswered:
		return "Unanswered"
	case Unclear:
		return "Unclear"
	default:
		return "Alive"
	}
}

func (gd *Guard) init() {
	gd.once.Do(func() {
		gd.mu.Lock() // methods that need no initialization read these fields meanwhile
		defer gd.mu.Unlock()
		gd.broadcastLimit = rate.NewLimiter(broadcastRate, broadcastBurst)
		gd.ownKey = make([]byte, keyBytes)
		_, _ = cryptorand.Read(gd.ownKey) // never fails, as its documentation says
		gd.probes = make(map[string]*probe)
		gd.unreported = make(map[suspect.Mark]unreportedCrash)
		gd.lastAccusation = make(map[suspect.Mark]clock.Millis)
		gd.lastAnswer = make(map[suspect.Mark]clock.Millis)
		gd.lastObjection = make(map[suspect.Mark]clock.Millis)
		gd.unresolved = make(map[suspect.Mark]unresolved)
	})
}

func (gd *Guard) now() clock.Millis { return clock.OrBoottime(gd.Clock).Now() }

// HasSuspects reports whether there is evidence against anything. While there is none,
// requests need no marks.
func (gd *Guard) HasSuspects() bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.suspects.HasSuspects()
}

// HasCrashed reports whether this VM or another one has reported the crash of a server's
// instance.
func (gd *Guard) HasCrashed(instance string) bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.suspects.HasCrashed(instance)
}

// Mark returns the mark of a request from the fields that all its attempts have in
// common, or that of a part from the fields that identify it.
func (gd *Guard) Mark(fields ...[]byte) suspect.Mark {
	gd.init()
	key := gd.ownKey
	if gd.Key != nil {
		if fleet := gd.Key(); len(fleet) > 0 {
			key = fleet
		}
	}
	return suspect.MarkOf(key, fields...)
}

// Check decides whether a request may be sent to a server.
func (gd *Guard) Check(ms suspect.Marks) suspect.Decision {
	gd.init()
	gd.mu.Lock()
	defer gd.mu.Unlock()
	dc := gd.suspects.Check(gd.now(), ms)
	if dc.Verdict == suspect.Refused {
		gd.accuseAgain(dc.Mark)
	}
	return dc
}

// Suspected reports whether servers crashed, or may have crashed, while they ran the
// request, or requests that share a part with it.
func (gd *Guard) Suspected(ms suspect.Marks) bool {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	now := gd.now()
	return gd.suspects.Suspected(now, ms) || gd.hasUnresolved(now, ms)
}

// RecordSuccess records that a request received its complete answer.
func (gd *Guard) RecordSuccess(request string, ms suspect.Marks) {
	gd.init()
	gd.recordAnswer(suspect.Answer{Parts: ms.Parts}, request)
	gd.mu.Lock()
	gd.settle([]suspect.Mark{ms.Request})
	if !gd.suspects.Suspected(gd.now(), suspect.Marks{Request: ms.Request}) {
		gd.mu.Unlock()
		return
	}
	ch, en := gd.suspects.RecordSuccess(gd.now(), ms.Request)
	gd.mu.Unlock()
	gd.log(suspect.Crash{Marks: suspect.Marks{Request: ms.Request}}, request, ch)
	if en.Server != "" {
		gd.broadcast(en)
	}
}

// recordAnswer records the answer of a request that runs at this VM, or, without its ID,
// one that another VM reported.
func (gd *Guard) recordAnswer(an suspect.Answer, request string) {
	if len(an.Parts) == 0 {
		return
	}
	gd.mu.Lock()
	cleared := gd.suspects.RecordAnswer(gd.now(), an)
	gd.settle(an.Parts)
	gd.mu.Unlock()
	if len(cleared) == 0 {
		return
	}
	for _, mk := range cleared {
		gd.Log.Log(event.RelayPartCleared, event.F("Mark", mk.String()), event.F("Request", request), event.F("Age", an.Age.String()))
	}
	gd.logConvictions()
	if request != "" {
		gd.broadcast(suspect.Answer{Parts: cleared})
	}
}

// RecordBrokenCall records that a call to a server broke. It returns when the probe has
// shown whether the server crashed, or after a short wait; see RepeatWait.
func (gd *Guard) RecordBrokenCall(ctx context.Context, cl Call) {
	if gd.Probe == nil {
		return
	}
	gd.init()
	at := gd.now()
	marks, wait := gd.beginProbe(cl.Marks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		pr := gd.probeInstance(cl)
		defer func() { gd.endProbe(marks, pr.finding == Unclear) }()
		if !pr.implicates(cl) {
			gd.Log.Log(event.RelayNoCrash, event.F("Request", cl.Request), event.F("Server", cl.Instance),
				event.F("Finding", pr.finding.String()), event.F("Answered", cl.Answered))
			return
		}
		gd.record(pr, cl, at)
	}()
	timer := time.NewTimer(wait.Std())
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// MayHaveCrashed reports whether a call may have failed because its server crashed.
func MayHaveCrashed(ctx context.Context, err error) bool {
	oc, _ := backend.OutcomeOf(err)
	return err != nil && ctx.Err() == nil && oc == backend.InDoubt && !errors.Is(err, context.DeadlineExceeded)
}

// record records a crash that this VM observed at the given time, and broadcasts it.
func (gd *Guard) record(pr *probe, cl Call, at clock.Millis) {
	now := gd.now()
	en := suspect.Crash{Marks: cl.Marks, Server: cl.Instance, Answered: cl.Answered, Concurrent: cl.Concurrent, Age: now - at}
	gd.mu.Lock()
	if pr.finding == Unanswered && gd.probes[cl.Instance] != pr {
		gd.mu.Unlock()
		return // the server answered meanwhile
	}
	en.Parts = gd.suspects.Unanswered(now, cl.Marks.Parts)
	for _, mk := range en.Parts {
		gd.lastAccusation[mk] = now
	}
	ch := gd.suspects.Record(now, en)
	pr.marks = append(pr.marks, en.Marks)
	first, withheld := gd.unreported[cl.Marks.Request]
	delete(gd.unreported, cl.Marks.Request)
	report := ch.Crashes > 1 || isReported(en)
	if !report {
		gd.unreported[cl.Marks.Request] = unreportedCrash{en, now}
	}
	gd.mu.Unlock()
	gd.log(en, cl.Request, ch, event.F("Parts", cl.Parts), event.F("Marks", markNames(en.Parts)), event.F("Answered", cl.Answered), event.F("Concurrent", cl.Concurrent))
	gd.logConvictions()
	if !report {
		gd.countReport(reportSampled)
		return
	}
	if withheld {
		gd.broadcast(delayed(first.crash, now-first.at))
	}
	gd.broadcast(en)
}

// isReported draws whether the other VMs are sent the first crash of a request. Most
// requests at a crashed server had begun to be answered and are there by chance, so a
// sample of them is enough, and the number of messages does not grow with what a server
// runs at a time.
func isReported(en suspect.Crash) bool {
	return !en.Answered || len(en.Parts) > 0 || rand.IntN(max(1, en.Concurrent)) < reportedRuns
}

// RecordRemote records what another VM reports.
func (gd *Guard) RecordRemote(re suspect.Report) {
	gd.init()
	gd.countReport(reportReceived)
	switch re := re.(type) {
	case suspect.Crash:
		gd.recordRemoteCrash(re)
	case suspect.Answer:
		gd.mu.Lock()
		for _, mk := range re.Parts {
			gd.lastAnswer[mk] = gd.now()
		}
		gd.mu.Unlock()
		gd.recordAnswer(re, "")
	}
}

func (gd *Guard) recordRemoteCrash(en suspect.Crash) {
	gd.mu.Lock()
	now := gd.now()
	for _, mk := range en.Parts {
		gd.lastAccusation[mk] = now
	}
	known := gd.suspects.Answered(now, en.Parts)
	ch := gd.suspects.Record(now, en)
	gd.mu.Unlock()
	if ch.Before != ch.After && ch.After == suspect.Refused {
		gd.log(en, "", ch)
	}
	gd.logConvictions()
	if !en.Retracted {
		gd.object(known.Parts)
	}
}

// logConvictions logs the parts that are refused since the last call.
func (gd *Guard) logConvictions() {
	gd.mu.Lock()
	now := gd.now()
	crashes := make(map[suspect.Mark][]suspect.Crash)
	for _, mk := range gd.suspects.NewConvictions(now) {
		if list := gd.suspects.CrashesOf(now, mk); len(list) > 0 && len(list[0].Parts) > 0 {
			crashes[mk] = list
		}
	}
	gd.mu.Unlock()
	for mk, list := range crashes {
		var servers []string
		for _, en := range list {
			servers = append(servers, fmt.Sprintf("%s %v ago", en.Server, en.Age))
		}
		gd.countSuspect(event.RelayPartRefused.Name)
		gd.Log.Log(event.RelayPartRefused, event.F("Mark", mk.String()), event.F("Servers", servers))
	}
}

// markNames returns the marks as they are logged.
func markNames(marks []suspect.Mark) []string {
	out := make([]string, 0, len(marks))
	for _, mk := range marks {
		out = append(out, mk.String())
	}
	return out
}

// log logs and counts the effect of a crash, or that of a completed request if no
// server is named. The request is empty if it does not run at this VM.
func (gd *Guard) log(en suspect.Crash, request string, ch suspect.Change, more ...event.Field) {
	ev := event.RelaySuspect
	switch {
	case ch.After == suspect.Refused && ch.Before != suspect.Refused:
		ev = event.RelayEndsServers
	case en.Server == "" || en.Retracted:
		ev = event.RelaySuspectWorked
	}
	gd.countSuspect(ev.Name)
	gd.Log.Log(ev, append(more, event.F("Request", request), event.F("Mark", en.Marks.Request.String()), event.F("Server", en.Server), event.F("Ends", ch.Crashes),
		event.F("Weight", strconv.FormatFloat(ch.Weight, 'f', 2, 64)), event.F("Refused", ch.After == suspect.Refused))...)
}

func (gd *Guard) countSuspect(outcome string) {
	if gd.Scope != nil {
		gd.Scope.Tagged(map[string]string{"Outcome": outcome}).Counter("Suspects").Inc(1)
	}
}

// countReport counts a report of a crash to or from the other VMs.
func (gd *Guard) countReport(outcome string) {
	if gd.Scope != nil {
		gd.Scope.Tagged(map[string]string{"Outcome": outcome}).Counter("CrashReports").Inc(1)
	}
}
