// Package suspect finds requests that crash the backend servers that run them.
//
// Such a request is repeated: its callers retry it, each time under a new ID and at any
// VM, and each VM starts or resumes it at servers that are still alive. A request is
// therefore identified by a [Mark], a keyed hash of what all its attempts have in
// common, and VMs share at which server's crash a request was running.
//
// A [Crash] is evidence against a request. It is strong if the server ran nothing else,
// weaker if the server had begun to answer the request, and negligible if many servers
// crashed at the same time, as in a power failure of a failure domain. A request is
// refused when the weight of its crashes reaches [Settings.RefuseWeight] or their
// number reaches [Settings.RefuseCrashes], until the oldest of them expires. A request
// that completes has its latest crash retracted.
//
// # Usage
//
//	tr := &suspect.Tracker{}
//	if tr.HasSuspects() { mk := suspect.MarkOf(key, parts...); vd, span := tr.Check(now, mk) }
//	change := tr.Record(now, suspect.Crash{Mark: mk, Server: instance, Concurrent: 7})
//	broadcast(crash)                    // the other VMs Record it too
//	broadcast(tr.Strongest(now, 12)...) // at intervals, for VMs that missed earlier messages
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
	"maps"
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

// Defaults of the fields of [Settings].
const (
	// DefaultRefuseWeight is the weight of crashes at which a request is refused: that
	// of three ordinary crashes.
	DefaultRefuseWeight = 3.0
	// DefaultRefuseCrashes is the number of crashes at which a request is refused
	// whatever their weight. Without it, a request that crashes servers while failure
	// domains are being lost would be sent on as long as domains are lost. A harmless
	// request is not hit by chance that often.
	DefaultRefuseCrashes = 5
	// DefaultTTL is how long a crash counts. A request that crashes all its servers
	// then crashes three within that time, and afterwards one more each time its oldest
	// crash expires.
	DefaultTTL = 5 * clock.Minute
	// DefaultMaxRequests bounds the tracked requests; each uses about 300 bytes.
	DefaultMaxRequests = 1024
)

const (
	// Weights of a crash. If the server had begun to answer the request, the request is
	// more likely there by chance. If the request was alone, no other request can have
	// caused the crash.
	weightPlain    = 1.0
	weightAnswered = 0.65
	weightAlone    = 1.5
	// coincidenceWindow is the time within which crashes of several servers are taken
	// to have one cause. The servers of a failure domain crash within one network delay
	// between domains, while a request needs at least 50 ms to reach its next server.
	coincidenceWindow = 25 * clock.Millis(1)
	// maxServers bounds the server crashes that are kept to detect coincidences.
	maxServers = 256
)

// Verdicts on a request.
const (
	Clear     Verdict = iota // no evidence against the request
	Suspected                // some servers crashed while they ran it
	Refused                  // it must not run
)

type (
	// Mark identifies a request across its attempts.
	Mark [16]byte

	// Verdict is the assessment of a request.
	Verdict int

	// Crash is the crash of a server while it ran a request.
	Crash struct {
		Mark       Mark
		Server     string       // ID of the server's instance
		Answered   bool         // the server had begun to answer the request
		Concurrent int          // other requests at the server
		Age        clock.Millis // time since the crash
		Retracted  bool         // the request has completed since or the crash proved false; it no longer counts
	}

	// Settings of a Tracker. The zero value of a field means its default.
	Settings struct {
		RefuseWeight  float64      // weight of crashes at which a request is refused
		RefuseCrashes int          // number of crashes at which a request is refused
		TTL           clock.Millis // how long a crash counts
		MaxRequests   int          // maximum number of tracked requests
	}

	// Change is the effect of a crash or of a completed request.
	Change struct {
		Before, After Verdict
		Weight        float64 // of all crashes that count
		Crashes       int
	}

	// Tracker holds one VM's evidence against requests.
	Tracker struct {
		Settings Settings

		crashes       map[Mark][]crashRecord // oldest first
		recentServers []serverCrash          // recent crashes, in the order in which they were reported
		released      []Mark                 // no longer refused because a crash expired
		blamed        map[string]Mark        // refused requests, by the servers that crashed while they ran there
	}

	crashRecord struct {
		Crash
		at clock.Millis
	}

	serverCrash struct {
		server string
		at     clock.Millis
	}
)

// MarkOf returns the mark of a request from the parts that all its attempts have in
// common. The key is secret to the VMs, so that nobody can construct a request with the
// mark of another.
func MarkOf(key []byte, parts ...[]byte) Mark {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		// The length distinguishes parts whose concatenations are equal.
		_, _ = mac.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // never fails
		_, _ = mac.Write(part)
	}
	return Mark(mac.Sum(nil)[:len(Mark{})])
}

// String returns a prefix of the mark that is long enough to find it in the logs.
func (mk Mark) String() string { return hex.EncodeToString(mk[:6]) }

// HasSuspects reports whether there is evidence against any request. While there is
// none, requests need no mark.
func (tr *Tracker) HasSuspects() bool { return len(tr.crashes) > 0 }

// Check returns the verdict on a request. For a refused request, the span is the time
// until it may be tried again.
func (tr *Tracker) Check(now clock.Millis, mk Mark) (Verdict, clock.Millis) {
	tr.expire(now, mk)
	vd := tr.verdict(mk)
	if vd != Refused {
		return vd, 0
	}
	return vd, max(1, tr.crashes[mk][0].at+tr.ttl()-now)
}

// Record adds a crash. Each server's crash counts once for a request, however many VMs
// report it.
func (tr *Tracker) Record(now clock.Millis, en Crash) Change {
	tr.expire(now, en.Mark)
	tr.recordServer(now-en.Age, en.Server)
	ch := Change{Before: tr.verdict(en.Mark)}
	list := tr.crashes[en.Mark]
	if at := slices.IndexFunc(list, func(cr crashRecord) bool { return cr.Server == en.Server }); at >= 0 {
		list[at].Retracted = list[at].Retracted || en.Retracted
	} else if en.Age < tr.ttl() {
		tr.insert(now, en)
	}
	tr.assignBlame(en.Mark)
	return tr.complete(ch, en.Mark)
}

// assignBlame attributes the server crashes of a refused request to it. They no longer
// count against other requests, which ran at those servers by chance.
func (tr *Tracker) assignBlame(mk Mark) {
	if tr.verdict(mk) != Refused {
		return
	}
	if tr.blamed == nil {
		tr.blamed = make(map[string]Mark)
	}
	for _, cr := range tr.crashes[mk] {
		if _, found := tr.blamed[cr.Server]; !found {
			tr.blamed[cr.Server] = mk
		}
	}
}

// counted reports whether a crash counts against its request.
func (tr *Tracker) counted(cr crashRecord) bool {
	mk, found := tr.blamed[cr.Server]
	return !cr.Retracted && (!found || mk == cr.Mark)
}

// insert adds a crash to those of its request, oldest first.
func (tr *Tracker) insert(now clock.Millis, en Crash) {
	tr.evict(now)
	cr := crashRecord{en, now - en.Age}
	list := tr.crashes[en.Mark]
	at := slices.IndexFunc(list, func(one crashRecord) bool { return one.at > cr.at })
	if at < 0 {
		at = len(list)
	}
	tr.crashes[en.Mark] = slices.Insert(list, at, cr)
}

// RecordSuccess records that a request completed without a crash. It retracts the
// latest crash that counts and returns it for the other VMs; if there is none, the
// returned crash has no server.
func (tr *Tracker) RecordSuccess(now clock.Millis, mk Mark) (Change, Crash) {
	tr.expire(now, mk)
	ch := Change{Before: tr.verdict(mk)}
	list := tr.crashes[mk]
	for ix := len(list) - 1; ix >= 0; ix-- {
		if !list[ix].Retracted {
			list[ix].Retracted = true
			return tr.complete(ch, mk), list[ix].aged(now)
		}
	}
	return tr.complete(ch, mk), Crash{}
}

// Strongest returns at most the given number of crashes, for VMs that missed earlier
// messages. It lists requests with more evidence than a single crash, strongest first.
func (tr *Tracker) Strongest(now clock.Millis, most int) []Crash {
	return tr.list(now, most, func(mk Mark) bool {
		return tr.weight(mk) > weightAlone || tr.verdict(mk) == Refused // more than any single crash weighs
	})
}

// Snapshot is like [Tracker.Strongest] for a VM that has just started and has no
// evidence: it includes requests with little evidence.
func (tr *Tracker) Snapshot(now clock.Millis, most int) []Crash {
	return tr.list(now, most, func(Mark) bool { return true })
}

// list returns at most the given number of crashes of the wanted requests, those of the
// request with the most evidence first.
func (tr *Tracker) list(now clock.Millis, most int, wanted func(mk Mark) bool) []Crash {
	var marks []Mark
	for mk := range tr.crashes {
		tr.expire(now, mk)
		if wanted(mk) {
			marks = append(marks, mk)
		}
	}
	slices.SortFunc(marks, func(ma, mb Mark) int {
		return cmp.Or(cmp.Compare(tr.weight(mb), tr.weight(ma)), bytes.Compare(ma[:], mb[:]))
	})
	var out []Crash
	for _, mk := range marks {
		for _, cr := range tr.crashes[mk] {
			out = append(out, cr.aged(now))
		}
	}
	return out[:min(len(out), most)]
}

// aged returns the crash with its current age.
func (cr crashRecord) aged(now clock.Millis) Crash {
	en := cr.Crash
	en.Age = now - cr.at
	return en
}

// complete adds to a change the state of its request afterwards.
func (tr *Tracker) complete(ch Change, mk Mark) Change {
	ch.After, ch.Weight, ch.Crashes = tr.verdict(mk), tr.weight(mk), len(tr.crashes[mk])
	return ch
}

func (tr *Tracker) verdict(mk Mark) Verdict {
	switch weight := tr.weight(mk); {
	case weight >= tr.refuseWeight() || tr.distinctCrashes(mk) >= tr.refuseCrashes():
		return Refused
	case weight == 0:
		return Clear
	default:
		return Suspected
	}
}

// weight returns the total weight of a request's crashes.
func (tr *Tracker) weight(mk Mark) float64 {
	sum := 0.0
	list := tr.crashes[mk]
	for _, cr := range list {
		if !tr.counted(cr) {
			continue
		}
		sum += cr.weight() / float64(1+tr.coincidingServers(cr, list))
	}
	return sum
}

// distinctCrashes returns the number of a request's crashes that were not retracted. It
// includes those blamed on another request, because two crashing requests may meet at a
// server. Crashes at the same moment count once, because a request that many callers
// send at once runs at many servers.
func (tr *Tracker) distinctCrashes(mk Mark) int {
	count := 0
	last := clock.Millis(math.MinInt64 / 2)
	for _, cr := range tr.crashes[mk] {
		if !cr.Retracted && cr.at > last+coincidenceWindow {
			count++
			last = cr.at
		}
	}
	return count
}

func (en Crash) weight() float64 {
	weight := weightPlain
	if en.Answered {
		weight = weightAnswered
	}
	if en.Concurrent == 0 {
		weight *= weightAlone
	}
	return weight
}

// coincidingServers counts the servers that crashed at the same time as the given one
// and did not run the request.
func (tr *Tracker) coincidingServers(cr crashRecord, list []crashRecord) int {
	count := 0
	for _, se := range tr.recentServers {
		near := se.at >= cr.at-coincidenceWindow && se.at <= cr.at+coincidenceWindow
		if near && !slices.ContainsFunc(list, func(one crashRecord) bool { return one.Server == se.server }) {
			count++
		}
	}
	return count
}

// recordServer stores the time of a server's crash, once per server.
func (tr *Tracker) recordServer(now clock.Millis, server string) {
	if slices.ContainsFunc(tr.recentServers, func(se serverCrash) bool { return se.server == server }) {
		return
	}
	if len(tr.recentServers) >= maxServers {
		tr.recentServers = tr.recentServers[1:]
	}
	tr.recentServers = append(tr.recentServers, serverCrash{server, now})
}

// expire drops a request's expired crashes.
func (tr *Tracker) expire(now clock.Millis, mk Mark) {
	list := tr.crashes[mk]
	if len(list) == 0 || now < list[0].at+tr.ttl() {
		return
	}
	before := tr.verdict(mk)
	first := slices.IndexFunc(list, func(cr crashRecord) bool { return now < cr.at+tr.ttl() })
	if first < 0 {
		delete(tr.crashes, mk)
	} else {
		tr.crashes[mk] = list[first:]
	}
	if before == Refused && tr.verdict(mk) != Refused {
		tr.released = append(tr.released, mk)
	}
	maps.DeleteFunc(tr.blamed, func(_ string, one Mark) bool { return one == mk && len(tr.crashes[mk]) == 0 })
}

// Expire drops all expired crashes and returns the requests that are no longer refused
// since the last call.
func (tr *Tracker) Expire(now clock.Millis) []Mark {
	for mk := range tr.crashes {
		tr.expire(now, mk)
	}
	out := tr.released
	tr.released = nil
	return out
}

// evict makes room for a request: it drops expired crashes and then, if the limit is
// still reached, the requests with the least evidence.
func (tr *Tracker) evict(now clock.Millis) {
	if tr.crashes == nil {
		tr.crashes = make(map[Mark][]crashRecord)
	}
	if len(tr.crashes) < tr.maxRequests() {
		return
	}
	for mk := range tr.crashes {
		tr.expire(now, mk)
	}
	for len(tr.crashes) >= tr.maxRequests() {
		delete(tr.crashes, tr.weakest())
	}
}

// weakest returns the request with the fewest crashes, the oldest if several have as
// few.
func (tr *Tracker) weakest() Mark {
	var least Mark
	first := true
	for mk, list := range tr.crashes {
		old := tr.crashes[least]
		if first || len(list) < len(old) || len(list) == len(old) && list[0].at < old[0].at {
			least, first = mk, false
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

func (tr *Tracker) maxRequests() int { return orDefault(tr.Settings.MaxRequests, DefaultMaxRequests) }

func orDefault[T int | float64 | clock.Millis](val, def T) T {
	if val <= 0 {
		return def
	}
	return val
}
