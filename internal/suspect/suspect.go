// Package suspect finds requests that end the backend servers that run them.
//
// Such a request comes again and again: its callers try again, each try under a
// new name and at any VM, and each begins and resumes it at servers that are
// still there. A request is therefore known by a [Mark], a keyed hash of what is
// the same at each try, and VMs tell each other at which server's end a request
// was there.
//
// A [Crash] is evidence. It is strong where nothing else was at the server, weaker
// where the server had begun to answer the request, and next to none where many
// servers ended at once, as when a failure domain loses its power. A request whose
// ends come to [Settings.RefuseWeight], or are as many as [Settings.RefuseCrashes], is refused until
// the oldest of them is forgotten; one that ends well loses its newest.
//
// # Usage
//
//	tr := &suspect.Tracker{}
//	if tr.HasSuspects() { mk := suspect.MarkOf(key, parts...); vd := tr.Check(now, mk) }
//	change := tr.Record(now, suspect.Crash{Mark: mk, Server: life, Concurrent: 7})
//	send(crash)                // the other VMs, who Record it too
//	send(tr.Strongest(now, 12)...) // now and then, for those that have started since
//
// A Tracker does no I/O and is not safe for concurrent use. The zero value is
// ready.
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

// What the zero value of a field of [Settings] stands for.
const (
	// DefaultRefuseWeight is the ends after which a request is refused: three that are
	// like any other.
	DefaultRefuseWeight = 3.0
	// DefaultRefuseCrashes is the number after which it is refused whatever they weigh: one that
	// ends servers in the moments in which a failure domain is lost would be sent on
	// for as long as domains are lost, and chance does not find one request that often.
	DefaultRefuseCrashes = 5
	// DefaultTTL is how long an end counts. A request that ends all its servers
	// then ends three in that span, and one of each ten more where the first is
	// forgotten.
	DefaultTTL = 5 * clock.Minute
	// DefaultMaxRequests bounds the requests that are kept: each takes about 300 bytes.
	DefaultMaxRequests = 1024
)

const (
	// Weights of an end. A request that its server had begun to answer was there
	// by chance more likely; one that was alone there has nobody beside it to be
	// blamed.
	weightPlain    = 1.0
	weightAnswered = 0.65
	weightAlone    = 1.5
	// coincidenceWindow is the span in which ends of several servers have one cause. A
	// domain's servers end within the time of one crossing; a request needs 50 ms
	// and more to come to its next server.
	coincidenceWindow = 25 * clock.Millis(1)
	// maxServers bounds the ends of servers that are kept for that.
	maxServers = 256
)

// Verdicts on a request.
const (
	Clear     Verdict = iota // nothing speaks against it
	Suspected                // some servers ended while it was there
	Refused                  // it is not run
)

type (
	// Mark names a request at each of its tries.
	Mark [16]byte

	// Verdict on a request.
	Verdict int

	// Crash is the end of a server while a request was there.
	Crash struct {
		Mark       Mark
		Server     string       // one life of it
		Answered   bool         // the server had begun to answer the request
		Concurrent int          // other requests there
		Age        clock.Millis // how long ago it was
		Retracted  bool         // the request ended well since, and the end does not count
	}

	// Settings of a Tracker. A zero field stands for its default.
	Settings struct {
		RefuseWeight  float64      // weight of ends from which a request is refused
		RefuseCrashes int          // number of ends from which it is
		TTL           clock.Millis // for which an end counts
		MaxRequests   int          // requests that are kept
	}

	// Change is what came of an end or of an answer.
	Change struct {
		Before, After Verdict
		Weight        float64 // of all ends that count
		Crashes       int
	}

	// Tracker knows the requests under suspicion as one VM does.
	Tracker struct {
		Settings Settings

		crashes       map[Mark][]crashRecord // the oldest first
		recentServers []serverCrash          // lately, in the order in which they were heard of
		released      []Mark                 // were refused until an end was forgotten
		blamed        map[string]Mark        // requests that are refused, by the servers at whose ends they were
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

// MarkOf is the mark of a request by what is the same at each of its tries. The
// key is the VMs' own, so that nobody can make up a request that has the mark of
// another's.
func MarkOf(key []byte, parts ...[]byte) Mark {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		// The length keeps parts apart that join to the same bytes.
		_, _ = mac.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // never fails
		_, _ = mac.Write(part)
	}
	return Mark(mac.Sum(nil)[:len(Mark{})])
}

// String is enough of a mark to find it in the logs.
func (mk Mark) String() string { return hex.EncodeToString(mk[:6]) }

// HasSuspects tells whether there is any request under suspicion. While there is none, no
// request needs a mark.
func (tr *Tracker) HasSuspects() bool { return len(tr.crashes) > 0 }

// Check is the verdict on a request. If it is refused, the span tells when it may
// be tried once more.
func (tr *Tracker) Check(now clock.Millis, mk Mark) (Verdict, clock.Millis) {
	tr.expire(now, mk)
	vd := tr.verdict(mk)
	if vd != Refused {
		return vd, 0
	}
	return vd, max(1, tr.crashes[mk][0].at+tr.ttl()-now)
}

// Record takes an end into account. Each server's end counts once for a request,
// however many VMs tell of it.
func (tr *Tracker) Record(now clock.Millis, en Crash) Change {
	tr.expire(now, en.Mark)
	tr.recordServer(now-en.Age, en.Server)
	ch := Change{Before: tr.verdict(en.Mark)}
	list := tr.crashes[en.Mark]
	if at := slices.IndexFunc(list, func(no crashRecord) bool { return no.Server == en.Server }); at >= 0 {
		list[at].Retracted = list[at].Retracted || en.Retracted
	} else if en.Age < tr.ttl() {
		tr.insert(now, en)
	}
	tr.assignBlame(en.Mark)
	return tr.complete(ch, en.Mark)
}

// assignBlame has the ends of the servers of a request that is refused speak against no
// other: who was there too was there by chance.
func (tr *Tracker) assignBlame(mk Mark) {
	if tr.verdict(mk) != Refused {
		return
	}
	if tr.blamed == nil {
		tr.blamed = make(map[string]Mark)
	}
	for _, no := range tr.crashes[mk] {
		if _, found := tr.blamed[no.Server]; !found {
			tr.blamed[no.Server] = mk
		}
	}
}

// counted tells whether an end speaks against its request.
func (tr *Tracker) counted(no crashRecord) bool {
	mk, found := tr.blamed[no.Server]
	return !no.Retracted && (!found || mk == no.Mark)
}

// insert enters an end among those of its request, the oldest first.
func (tr *Tracker) insert(now clock.Millis, en Crash) {
	tr.evict(now)
	no := crashRecord{en, now - en.Age}
	list := tr.crashes[en.Mark]
	at := slices.IndexFunc(list, func(one crashRecord) bool { return one.at > no.at })
	if at < 0 {
		at = len(list)
	}
	tr.crashes[en.Mark] = slices.Insert(list, at, no)
}

// RecordSuccess notes that a request came to its end without its server's. Its newest end
// that counts is forgiven, and returned for the other VMs; without one the end has
// no server.
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

// Strongest lists the ends of the requests of which most is known, at most so many:
// VMs that were cut off do not know them.
func (tr *Tracker) Strongest(now clock.Millis, most int) []Crash {
	return tr.list(now, most, func(mk Mark) bool {
		return tr.weight(mk) > weightAlone || tr.verdict(mk) == Refused // more than any one end weighs
	})
}

// Snapshot is [Tracker.Strongest] for a VM that has just started and knows nothing: it lists
// requests of which little is known too.
func (tr *Tracker) Snapshot(now clock.Millis, most int) []Crash {
	return tr.list(now, most, func(Mark) bool { return true })
}

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
		for _, no := range tr.crashes[mk] {
			out = append(out, no.aged(now))
		}
	}
	return out[:min(len(out), most)]
}

// aged is the end as it is aged to others now.
func (no crashRecord) aged(now clock.Millis) Crash {
	en := no.Crash
	en.Age = now - no.at
	return en
}

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

// weight is the sum of what a request's ends weigh.
func (tr *Tracker) weight(mk Mark) float64 {
	sum := 0.0
	list := tr.crashes[mk]
	for _, no := range list {
		if !tr.counted(no) {
			continue
		}
		sum += no.weight() / float64(1+tr.coincidingServers(no, list))
	}
	return sum
}

// distinctCrashes is the number of a request's ends that were not forgiven, also of those for
// which another request is to blame: two that end their servers may meet there. Ends
// in one moment are one: what many callers ask at once is at many servers.
func (tr *Tracker) distinctCrashes(mk Mark) int {
	count := 0
	last := clock.Millis(math.MinInt64 / 2)
	for _, no := range tr.crashes[mk] {
		if !no.Retracted && no.at > last+coincidenceWindow {
			count++
			last = no.at
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

// coincidingServers counts the servers that ended together with one and at which the request
// was not.
func (tr *Tracker) coincidingServers(no crashRecord, list []crashRecord) int {
	count := 0
	for _, se := range tr.recentServers {
		near := se.at >= no.at-coincidenceWindow && se.at <= no.at+coincidenceWindow
		if near && !slices.ContainsFunc(list, func(one crashRecord) bool { return one.Server == se.server }) {
			count++
		}
	}
	return count
}

// recordServer remembers when a server ended, once.
func (tr *Tracker) recordServer(now clock.Millis, server string) {
	if slices.ContainsFunc(tr.recentServers, func(se serverCrash) bool { return se.server == server }) {
		return
	}
	if len(tr.recentServers) >= maxServers {
		tr.recentServers = tr.recentServers[1:]
	}
	tr.recentServers = append(tr.recentServers, serverCrash{server, now})
}

// expire drops the ends of a request that count no more.
func (tr *Tracker) expire(now clock.Millis, mk Mark) {
	list := tr.crashes[mk]
	if len(list) == 0 || now < list[0].at+tr.ttl() {
		return
	}
	before := tr.verdict(mk)
	first := slices.IndexFunc(list, func(no crashRecord) bool { return now < no.at+tr.ttl() })
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

// Expire drops what counts no more, and lists the requests that are not refused any
// more since.
func (tr *Tracker) Expire(now clock.Millis) []Mark {
	for mk := range tr.crashes {
		tr.expire(now, mk)
	}
	out := tr.released
	tr.released = nil
	return out
}

// evict drops what counts no more, or else the request of which least is known,
// if as many are kept as may be.
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

// weakest is the request with the fewest ends, and the oldest of those alike.
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
