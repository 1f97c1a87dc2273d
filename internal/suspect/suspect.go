// Package suspect finds requests that crash the backend servers that run them, and parts
// of requests that do.
//
// Such a request is repeated: its callers retry it, each time under a new ID and at any
// VM, and each VM starts or resumes it at servers that are still alive. The fault may
// also be in a part of a prompt that many requests share, no two of which are alike. A
// request is therefore identified by its [Marks]: a keyed hash of what all its attempts
// have in common, and one of each part that it shares with other requests. VMs share at
// which server's crash they were running.
//
// # Evidence
//
// The fault is assumed to be deterministic: what crashes servers crashes each server
// that runs it, before its answer is complete. So a [Crash] speaks against all that ran
// at the server, and an answer clears its parts, however many servers crashed while
// others ran them: a part that all requests of a route have in common takes part in
// each crash, and is answered all the time. A count of crashes alone does not tell them
// apart.
//
// A crash is strong evidence if the server ran nothing else, weaker if the server had
// begun to answer, and negligible if many servers crashed at the same time, as in a
// power failure of a failure domain. A mark is refused when the weight of its crashes
// reaches [Settings.RefuseWeight] or their number reaches [Settings.RefuseCrashes],
// until the oldest of them expires. Crashes that a refused mark explains do not count
// against others that ran at the same servers, as in group testing.
//
// Callers name the parts of their requests. A part under which only requests of one
// customer crashed servers is therefore refused to that customer only.
//
// Marks that took part in the same crashes can't be told apart, so they are refused
// together. Of the requests that have some of them only, one at a time is let through
// as a trial: its answer clears its parts, and its crash is evidence that the others do
// not share. A request that completes has its latest crash retracted.
//
// # Usage
//
//	tr := &suspect.Tracker{}
//	ms := suspect.Marks{Request: suspect.MarkOf(key, fields...), Parts: parts}
//	if dc := tr.Check(now, ms); dc.Verdict == suspect.Refused { ... }
//	change := tr.Record(now, suspect.Crash{Marks: ms, Server: instance, Concurrent: 7})
//	broadcast(crash)                    // the other VMs Record it too
//	broadcast(tr.Strongest(now, 12)...) // at intervals, for VMs that missed earlier messages
//	known := tr.Answered(now, crash.Parts)  // accused by another VM, and cleared here:
//	broadcast(suspect.Answer{Parts: known}) // the other VMs RecordAnswer it too
//
// A Tracker does no I/O and is not safe for concurrent use. The zero value is ready to
// use.
package suspect

import (
	"bytes"
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"alderdyke/pkg/clock"
)

// Defaults of the fields of [Settings].
const (
	// DefaultRefuseWeight is the weight of crashes at which a mark is refused: that of
	// three ordinary crashes.
	DefaultRefuseWeight = 3.0
	// DefaultRefuseCrashes is the number of crashes at which a mark is refused whatever
	// their weight. Without it, a request that crashes servers while failure domains are
	// being lost would be sent on as long as domains are lost. A harmless request is not
	// hit by chance that often.
	DefaultRefuseCrashes = 5
	// DefaultTTL is how long a crash counts. A request that crashes all its servers
	// then crashes three within that time, and afterwards one more each time its oldest
	// crash expires.
	DefaultTTL = 5 * clock.Minute
	// DefaultAnswerTTL is how long an answer clears its parts. It bounds how long a part
	// can crash servers that did not do so before, as under a new software version.
	DefaultAnswerTTL = 30 * clock.Second
	// DefaultMaxMarks bounds the marks with crashes; each uses about 300 bytes.
	DefaultMaxMarks = 1024
	// DefaultMaxAnswered bounds the parts that are known to be answered; each uses about
	// 60 bytes.
	DefaultMaxAnswered = 4096
)

const (
	// maxServers bounds the server crashes that are kept to detect coincidences.
	maxServers = 256
	// maxCrashes bounds the crashes that are kept of a mark.
	maxCrashes = 16
	// maxSharedCrashes bounds those that other VMs are sent again.
	maxSharedCrashes = DefaultRefuseCrashes
)

// Verdicts.
const (
	Clear     Verdict = iota // no evidence
	Suspected                // some servers crashed
	Refused                  // it must not run
)

type (
	// Mark identifies a request across its attempts, or a part that requests share.
	Mark [16]byte

	// Marks identify a request.
	Marks struct {
		Request  Mark   // of the whole request; zero: only its parts are meant
		Customer Mark   // of the customer whose request it is; zero: any
		Parts    []Mark // of the parts that it shares with other requests
	}

	// Verdict is the assessment of a request or a part.
	Verdict int

	// Decision is whether a request may run.
	Decision struct {
		Verdict Verdict
		After   clock.Millis // if refused, until it may be tried again
		Mark    Mark         // if refused, the mark for which
		Since   clock.Millis // if refused, how long that mark has been refused
		// Trial reports whether the request is let through as a trial or, if it is refused,
		// whether the reason is that the trial of another request is running.
		Trial bool
	}

	// Report is what VMs tell each other: a Crash or an Answer.
	Report interface{ isReport() }

	// Crash is the crash of a server while it ran a request.
	Crash struct {
		Marks
		Server     string       // ID of the server's instance
		Answered   bool         // the server had begun to answer the request
		Concurrent int          // other requests at the server
		Age        clock.Millis // time since the crash
		Retracted  bool         // the request has completed since or the crash proved false; it no longer counts
	}

	// Answer clears the parts of a request that got its complete answer.
	Answer struct {
		Parts []Mark
		Age   clock.Millis // time since the answer
	}

	// Settings of a Tracker. The zero value of a field means its default.
	Settings struct {
		RefuseWeight  float64      // weight of crashes at which a mark is refused
		RefuseCrashes int          // number of crashes at which a mark is refused
		TTL           clock.Millis // how long a crash counts
		AnswerTTL     clock.Millis // how long an answer clears its parts
		MaxMarks      int          // maximum number of marks with crashes
		MaxAnswered   int          // maximum number of parts that are known to be answered
	}

	// Change is the effect of a crash or of a completed request on the request's mark.
	Change struct {
		Before, After Verdict
		Weight        float64 // of all crashes that count
		Crashes       int
	}

	// Tracker holds one VM's evidence.
	Tracker struct {
		Settings Settings

		evidence      map[Mark]*evidence
		candidates    map[Mark]struct{} // marks with enough crashes to be refused if nothing else explains them
		recorded      int               // marks that ever had evidence
		recentServers []serverCrash     // recent crashes, in the order in which they were reported
		answered      recentMarks
		changed       bool // the evidence, since the convictions were derived from it
		convictions   []conviction
		explained     map[string]Mark // by server: the refused mark that explains its crash
		trials        map[Mark]trial  // by the first mark of a conviction
		convicted     []Mark          // refused since NewConvictions
		released      []Mark          // no longer refused because a crash expired, since Expire
	}

	// evidence is what speaks against a mark.
	evidence struct {
		part    bool
		number  int           // order in which marks got evidence
		crashes []crashRecord // oldest first
	}

	crashRecord struct {
		server     string
		answered   bool
		concurrent int
		retracted  bool
		customer   Mark // zero: several
		at         clock.Millis
	}

	serverCrash struct {
		server string
		at     clock.Millis
	}
)

// String returns the name of a verdict.
func (ve Verdict) String() string {
	switch ve {
	case Suspected:
		return "Suspected"
	case Refused:
		return "Refused"
	default:
		return "Clear"
	}
}

func (Crash) isReport()  {}
func (Answer) isReport() {}

// MarkOf returns the mark of a request from the fields that all its attempts have in
// common, or that of a part from the fields that identify it. The key is secret to the
// VMs, so that nobody can construct a request with the mark of another.
func MarkOf(key []byte, fields ...[]byte) Mark {
	mac := hmac.New(sha256.New, key)
	for _, field := range fields {
		// The length distinguishes fields whose concatenations are equal.
		_, _ = mac.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // never fails
		_, _ = mac.Write(field)
	}
	return Mark(mac.Sum(nil)[:len(Mark{})])
}

// String returns a prefix of the mark that is long enough to find it in the logs.
func (mk Mark) String() string { return hex.EncodeToString(mk[:6]) }

// all returns the marks of a request, its own first.
func (ms Marks) all() []Mark {
	if ms.Request == (Mark{}) {
		return ms.Parts
	}
	return append([]Mark{ms.Request}, ms.Parts...)
}

// HasSuspects reports whether there is evidence against anything. While there is none,
// requests need no marks.
func (tr *Tracker) HasSuspects() bool { return len(tr.evidence) > 0 }

// Check decides whether a request may run. If it is let through as a trial, other
// requests wait until its result is known.
func (tr *Tracker) Check(now clock.Millis, ms Marks) Decision {
	marks := ms.all()
	tr.refresh(now, marks...)
	onTrial := false
	for _, cv := range tr.convictions {
		if !cv.appliesTo(ms.Customer) {
			continue
		}
		count := cv.countOf(marks)
		first := tr.evidence[cv.marks[0]]
		switch {
		case count == 0:
		case count == len(cv.marks):
			return Decision{Verdict: Refused, After: max(1, first.crashes[0].at+tr.ttl()-now), Mark: cv.marks[0], Since: now - cv.since}
		case !tr.beginTrial(now, cv, ms.Request):
			return Decision{Verdict: Refused, After: trialInterval, Mark: cv.marks[0], Since: now - cv.since, Trial: true}
		default:
			onTrial = true
		}
	}
	if onTrial || slices.ContainsFunc(marks, func(mk Mark) bool { return tr.weight(mk) > 0 }) {
		return Decision{Verdict: Suspected, Trial: onTrial}
	}
	return Decision{}
}

// Suspected reports whether there is evidence against a request or its parts.
func (tr *Tracker) Suspected(now clock.Millis, ms Marks) bool {
	tr.refresh(now, ms.all()...)
	return slices.ContainsFunc(ms.all(), func(mk Mark) bool { return tr.verdict(mk) != Clear })
}

// Record adds a crash. Each server's crash counts once for a mark, however many VMs
// report it.
func (tr *Tracker) Record(now clock.Millis, en Crash) Change {
	tr.refresh(now, en.all()...)
	tr.recordServer(now-en.Age, en.Server)
	ch := Change{Before: tr.verdict(en.Request)}
	if en.Request != (Mark{}) {
		tr.add(now, en.Request, en, false)
	}
	for _, mk := range en.Parts {
		if !tr.isAnswered(now, mk) {
			tr.add(now, mk, en, true)
		}
	}
	tr.endTrial(en.Request)
	tr.convict(now)
	return tr.complete(ch, en.Request)
}

// add adds a crash to those of a mark. The convictions change only with the evidence
// against a mark that may be refused.
func (tr *Tracker) add(now clock.Millis, mk Mark, en Crash, part bool) {
	if _, found := tr.candidates[mk]; found {
		tr.changed = true
	}
	if ev := tr.evidence[mk]; ev != nil {
		if at := slices.IndexFunc(ev.crashes, func(cr crashRecord) bool { return cr.server == en.Server }); at >= 0 {
			cr := &ev.crashes[at]
			cr.retracted = cr.retracted || en.Retracted
			cr.answered = cr.answered || en.Answered // of several requests that share a part
			if cr.customer != en.Customer {
				cr.customer = Mark{}
			}
			return
		}
	}
	if en.Age >= tr.ttl() {
		return
	}
	tr.insert(now, mk, en, part)
	if tr.reachesBound(tr.evidence[mk], nothing) {
		if tr.candidates == nil {
			tr.candidates = make(map[Mark]struct{})
		}
		tr.candidates[mk] = struct{}{}
		tr.changed = true
	}
}

// insert adds a crash to those of a mark, oldest first.
func (tr *Tracker) insert(now clock.Millis, mk Mark, en Crash, part bool) {
	ev := tr.evidence[mk]
	if ev == nil {
		tr.evict(now)
		tr.recorded++
		ev = &evidence{part: part, number: tr.recorded}
		tr.evidence[mk] = ev
	}
	cr := crashRecord{server: en.Server, answered: en.Answered, concurrent: en.Concurrent, retracted: en.Retracted, customer: en.Customer, at: now - en.Age}
	at := slices.IndexFunc(ev.crashes, func(one crashRecord) bool { return one.at > cr.at })
	if at < 0 {
		at = len(ev.crashes)
	}
	ev.crashes = slices.Insert(ev.crashes, at, cr)
	if len(ev.crashes) > maxCrashes {
		ev.crashes = ev.crashes[1:]
	}
}

// RecordSuccess records that a request completed without a crash. It retracts the
// latest crash that counts and returns it for the other VMs; if there is none, the
// returned crash has no server.
func (tr *Tracker) RecordSuccess(now clock.Millis, mk Mark) (Change, Crash) {
	tr.refresh(now, mk)
	ch := Change{Before: tr.verdict(mk)}
	tr.endTrial(mk)
	if ev := tr.evidence[mk]; ev != nil {
		for ix := len(ev.crashes) - 1; ix >= 0; ix-- {
			if !ev.crashes[ix].retracted {
				ev.crashes[ix].retracted = true
				tr.changed = true
				tr.convict(now)
				return tr.complete(ch, mk), ev.crash(now, mk, ix)
			}
		}
	}
	return tr.complete(ch, mk), Crash{}
}

// CrashesOf returns the crashes of a mark.
func (tr *Tracker) CrashesOf(now clock.Millis, mk Mark) []Crash {
	ev := tr.evidence[mk]
	if ev == nil {
		return nil
	}
	var out []Crash
	for ix := range ev.crashes {
		out = append(out, ev.crash(now, mk, ix))
	}
	return out
}

// Strongest returns at most the given number of crashes, for VMs that missed earlier
// messages. It lists marks with more evidence than a single crash, strongest first.
func (tr *Tracker) Strongest(now clock.Millis, most int) []Crash {
	return tr.list(now, most, func(mk Mark) bool {
		return tr.weight(mk) > weightAlone || tr.verdict(mk) == Refused // more than any single crash weighs
	})
}

// Snapshot is like [Tracker.Strongest] for a VM that has just started and has no
// evidence: it includes marks with little evidence.
func (tr *Tracker) Snapshot(now clock.Millis, most int) []Crash {
	return tr.list(now, most, func(Mark) bool { return true })
}

// list returns at most the given number of crashes of the wanted marks, those of the
// mark with the most evidence first.
func (tr *Tracker) list(now clock.Millis, most int, wanted func(mk Mark) bool) []Crash {
	for mk := range tr.evidence {
		tr.expire(now, mk)
	}
	tr.convict(now)
	var marks []Mark
	weights := make(map[Mark]float64)
	for mk := range tr.evidence {
		if wanted(mk) {
			marks = append(marks, mk)
			weights[mk] = tr.weight(mk)
		}
	}
	slices.SortFunc(marks, func(ma, mb Mark) int {
		return cmp.Or(-cmp.Compare(tr.verdict(ma), tr.verdict(mb)), -cmp.Compare(weights[ma], weights[mb]), bytes.Compare(ma[:], mb[:]))
	})
	var out []Crash
	for _, mk := range marks {
		list := tr.CrashesOf(now, mk)
		out = append(out, list[max(0, len(list)-maxSharedCrashes):]...)
	}
	return out[:min(len(out), most)]
}

// crash returns a crash of a mark with its current age.
func (ev *evidence) crash(now clock.Millis, mk Mark, ix int) Crash {
	cr := ev.crashes[ix]
	en := Crash{Server: cr.server, Answered: cr.answered, Concurrent: cr.concurrent, Age: now - cr.at, Retracted: cr.retracted}
	if ev.part {
		en.Parts, en.Customer = []Mark{mk}, cr.customer
	} else {
		en.Request = mk
	}
	return en
}

// complete adds to a change the state of its request afterwards.
func (tr *Tracker) complete(ch Change, mk Mark) Change {
	ch.After, ch.Weight = tr.verdict(mk), tr.weight(mk)
	if ev := tr.evidence[mk]; ev != nil {
		ch.Crashes = len(ev.crashes)
	}
	return ch
}

// recordServer stores the time of a server's crash, once per server.
func (tr *Tracker) recordServer(now clock.Millis, server string) {
	if tr.HasCrashed(server) {
		return
	}
	if len(tr.recentServers) >= maxServers {
		tr.recentServers = tr.recentServers[1:]
	}
	tr.recentServers = append(tr.recentServers, serverCrash{server, now})
	tr.changed = tr.changed || len(tr.candidates) > 0
}

// HasCrashed reports whether the crash of a server's instance was recorded.
func (tr *Tracker) HasCrashed(server string) bool {
	return slices.ContainsFunc(tr.recentServers, func(se serverCrash) bool { return se.server == server })
}

// refresh drops the expired crashes of marks and derives the convictions.
func (tr *Tracker) refresh(now clock.Millis, marks ...Mark) {
	for _, mk := range marks {
		tr.expire(now, mk)
	}
	tr.convict(now)
}

// expire drops a mark's expired crashes.
func (tr *Tracker) expire(now clock.Millis, mk Mark) {
	ev := tr.evidence[mk]
	if ev == nil || now < ev.crashes[0].at+tr.ttl() {
		return
	}
	before := tr.verdict(mk)
	first := slices.IndexFunc(ev.crashes, func(cr crashRecord) bool { return now < cr.at+tr.ttl() })
	if first < 0 {
		tr.drop(mk)
	} else {
		ev.crashes = ev.crashes[first:]
	}
	tr.changed = true
	tr.convict(now)
	if before == Refused && tr.verdict(mk) != Refused {
		tr.released = append(tr.released, mk)
	}
}

// drop removes all evidence against a mark.
func (tr *Tracker) drop(mk Mark) {
	delete(tr.evidence, mk)
	if _, found := tr.candidates[mk]; found {
		delete(tr.candidates, mk)
		tr.changed = true
	}
}

// Expire drops all expired crashes and returns the marks that are no longer refused
// since the last call.
func (tr *Tracker) Expire(now clock.Millis) []Mark {
	for mk := range tr.evidence {
		tr.expire(now, mk)
	}
	out := tr.released
	tr.released = nil
	return out
}

// evict makes room for a mark: it drops expired crashes and then, if the limit is still
// reached, the marks with the least evidence.
func (tr *Tracker) evict(now clock.Millis) {
	if tr.evidence == nil {
		tr.evidence = make(map[Mark]*evidence)
	}
	if len(tr.evidence) < tr.maxMarks() {
		return
	}
	for mk := range tr.evidence {
		tr.expire(now, mk)
	}
	for len(tr.evidence) >= tr.maxMarks() {
		tr.drop(tr.weakest())
	}
}

// weakest returns the mark with the fewest crashes, the oldest if several have as few.
func (tr *Tracker) weakest() Mark {
	var least Mark
	var old *evidence
	for mk, ev := range tr.evidence {
		if old == nil || len(ev.crashes) < len(old.crashes) || len(ev.crashes) == len(old.crashes) && ev.crashes[0].at < old.crashes[0].at {
			least, old = mk, ev
		}
	}
	return least
}

func (tr *Tracker) refuseWeight() float64 {
	return orDefault(tr.Settings.RefuseWeight, DefaultRefuseWeight)
}

func (tr *Tracker) refuseCrashes() int {
	return orDefault(tr.Settings.RefuseCrashes, DefaultRefuseCrashes)
}

func (tr *Tracker) ttl() clock.Millis { return orDefault(tr.Settings.TTL, DefaultTTL) }

func (tr *Tracker) answerTTL() clock.Millis {
	return orDefault(tr.Settings.AnswerTTL, DefaultAnswerTTL)
}

func (tr *Tracker) maxMarks() int { return orDefault(tr.Settings.MaxMarks, DefaultMaxMarks) }

func (tr *Tracker) maxAnswered() int { return orDefault(tr.Settings.MaxAnswered, DefaultMaxAnswered) }

func orDefault[T int | float64 | clock.Millis](val, def T) T {
	if val <= 0 {
		return def
	}
	return val
}
