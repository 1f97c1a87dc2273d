// Package suspect finds requests that end the backend servers that run them.
//
// Such a request comes again and again: its callers try again, each try under a
// new name and at any VM, and each begins and resumes it at servers that are
// still there. A request is therefore known by a [Mark], a keyed hash of what is
// the same at each try, and VMs tell each other at which server's end a request
// was there.
//
// An [End] is evidence. It is strong where nothing else was at the server, weaker
// where the server had begun to answer the request, and next to none where many
// servers ended at once, as when a failure domain loses its power. A request whose
// ends come to [Settings.Refuse], or are as many as [Settings.Ends], is refused until
// the oldest of them is forgotten; one that ends well loses its newest.
//
// # Usage
//
//	tr := &suspect.Tracker{}
//	if tr.Any() { mk := suspect.MarkOf(key, parts...); vd := tr.Look(now, mk) }
//	change := tr.Note(now, suspect.End{Mark: mk, Server: life, Beside: 7})
//	tell(end)                  // the other VMs, who Note it too
//	tell(tr.Retell(now, 12)...) // now and then, for those that have started since
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
	// DefaultRefuse is the ends after which a request is refused: three that are
	// like any other.
	DefaultRefuse = 3.0
	// DefaultEnds is the number after which it is refused whatever they weigh: one that
	// ends servers in the moments in which a failure domain is lost would be sent on
	// for as long as domains are lost, and chance does not find one request that often.
	DefaultEnds = 5
	// DefaultKeep is how long an end counts. A request that ends all its servers
	// then ends three in that span, and one of each ten more where the first is
	// forgotten.
	DefaultKeep = 5 * clock.Minute
	// DefaultMost bounds the requests that are kept: each takes about 300 bytes.
	DefaultMost = 1024
)

const (
	// Weights of an end. A request that its server had begun to answer was there
	// by chance more likely; one that was alone there has nobody beside it to be
	// blamed.
	weightPlain    = 1.0
	weightAnswered = 0.65
	weightAlone    = 1.5
	// together is the span in which ends of several servers have one cause. A
	// domain's servers end within the time of one crossing; a request needs 50 ms
	// and more to come to its next server.
	together = 25 * clock.Millis(1)
	// mostServers bounds the ends of servers that are kept for that.
	mostServers = 256
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

	// End is the end of a server while a request was there.
	End struct {
		Mark     Mark
		Server   string       // one life of it
		Answered bool         // the server had begun to answer the request
		Beside   int          // other requests there
		Age      clock.Millis // how long ago it was
		Forgiven bool         // the request ended well since, and the end does not count
	}

	// Settings of a Tracker. A zero field stands for its default.
	Settings struct {
		Refuse float64      // weight of ends from which a request is refused
		Ends   int          // number of ends from which it is
		Keep   clock.Millis // for which an end counts
		Most   int          // requests that are kept
	}

	// Change is what came of an end or of an answer.
	Change struct {
		Before, Now Verdict
		Weight      float64 // of all ends that count
		Ends        int
	}

	// Tracker knows the requests under suspicion as one VM does.
	Tracker struct {
		Settings Settings

		known    map[Mark][]noted // the oldest first
		servers  []serverEnd      // lately, in the order in which they were heard of
		released []Mark           // were refused until an end was forgotten
		blamed   map[string]Mark  // requests that are refused, by the servers at whose ends they were
	}

	noted struct {
		End
		at clock.Millis
	}

	serverEnd struct {
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

// Any tells whether there is any request under suspicion. While there is none, no
// request needs a mark.
func (tr *Tracker) Any() bool { return len(tr.known) > 0 }

// Look is the verdict on a request. If it is refused, the span tells when it may
// be tried once more.
func (tr *Tracker) Look(now clock.Millis, mk Mark) (Verdict, clock.Millis) {
	tr.forget(now, mk)
	vd := tr.verdict(mk)
	if vd != Refused {
		return vd, 0
	}
	return vd, max(1, tr.known[mk][0].at+tr.keep()-now)
}

// Note takes an end into account. Each server's end counts once for a request,
// however many VMs tell of it.
func (tr *Tracker) Note(now clock.Millis, en End) Change {
	tr.forget(now, en.Mark)
	tr.noteServer(now-en.Age, en.Server)
	ch := Change{Before: tr.verdict(en.Mark)}
	list := tr.known[en.Mark]
	if at := slices.IndexFunc(list, func(no noted) bool { return no.Server == en.Server }); at >= 0 {
		list[at].Forgiven = list[at].Forgiven || en.Forgiven
	} else if en.Age < tr.keep() {
		tr.add(now, en)
	}
	tr.blame(en.Mark)
	return tr.changed(ch, en.Mark)
}

// blame has the ends of the servers of a request that is refused speak against no
// other: who was there too was there by chance.
func (tr *Tracker) blame(mk Mark) {
	if tr.verdict(mk) != Refused {
		return
	}
	if tr.blamed == nil {
		tr.blamed = make(map[string]Mark)
	}
	for _, no := range tr.known[mk] {
		if _, found := tr.blamed[no.Server]; !found {
			tr.blamed[no.Server] = mk
		}
	}
}

// counts tells whether an end speaks against its request.
func (tr *Tracker) counts(no noted) bool {
	mk, found := tr.blamed[no.Server]
	return !no.Forgiven && (!found || mk == no.Mark)
}

// add enters an end among those of its request, the oldest first.
func (tr *Tracker) add(now clock.Millis, en End) {
	tr.makeRoom(now)
	no := noted{en, now - en.Age}
	list := tr.known[en.Mark]
	at := slices.IndexFunc(list, func(one noted) bool { return one.at > no.at })
	if at < 0 {
		at = len(list)
	}
	tr.known[en.Mark] = slices.Insert(list, at, no)
}

// Worked notes that a request came to its end without its server's. Its newest end
// that counts is forgiven, and returned for the other VMs; without one the end has
// no server.
func (tr *Tracker) Worked(now clock.Millis, mk Mark) (Change, End) {
	tr.forget(now, mk)
	ch := Change{Before: tr.verdict(mk)}
	list := tr.known[mk]
	for ix := len(list) - 1; ix >= 0; ix-- {
		if !list[ix].Forgiven {
			list[ix].Forgiven = true
			return tr.changed(ch, mk), list[ix].told(now)
		}
	}
	return tr.changed(ch, mk), End{}
}

// Retell lists the ends of the requests of which most is known, at most so many:
// VMs that were cut off do not know them.
func (tr *Tracker) Retell(now clock.Millis, most int) []End {
	return tr.list(now, most, func(mk Mark) bool {
		return tr.weight(mk) > weightAlone || tr.verdict(mk) == Refused // more than any one end weighs
	})
}

// Known is [Tracker.Retell] for a VM that has just started and knows nothing: it lists
// requests of which little is known too.
func (tr *Tracker) Known(now clock.Millis, most int) []End {
	return tr.list(now, most, func(Mark) bool { return true })
}

func (tr *Tracker) list(now clock.Millis, most int, wanted func(mk Mark) bool) []End {
	var marks []Mark
	for mk := range tr.known {
		tr.forget(now, mk)
		if wanted(mk) {
			marks = append(marks, mk)
		}
	}
	slices.SortFunc(marks, func(ma, mb Mark) int {
		return cmp.Or(cmp.Compare(tr.weight(mb), tr.weight(ma)), bytes.Compare(ma[:], mb[:]))
	})
	var out []End
	for _, mk := range marks {
		for _, no := range tr.known[mk] {
			out = append(out, no.told(now))
		}
	}
	return out[:min(len(out), most)]
}

// told is the end as it is told to others now.
func (no noted) told(now clock.Millis) End {
	en := no.End
	en.Age = now - no.at
	return en
}

func (tr *Tracker) changed(ch Change, mk Mark) Change {
	ch.Now, ch.Weight, ch.Ends = tr.verdict(mk), tr.weight(mk), len(tr.known[mk])
	return ch
}

func (tr *Tracker) verdict(mk Mark) Verdict {
	switch weight := tr.weight(mk); {
	case weight >= tr.refuse() || tr.standing(mk) >= tr.ends():
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
	list := tr.known[mk]
	for _, no := range list {
		if !tr.counts(no) {
			continue
		}
		sum += no.weight() / float64(1+tr.others(no, list))
	}
	return sum
}

// standing is the number of a request's ends that were not forgiven, also of those for
// which another request is to blame: two that end their servers may meet there. Ends
// in one moment are one: what many callers ask at once is at many servers.
func (tr *Tracker) standing(mk Mark) int {
	count := 0
	last := clock.Millis(math.MinInt64 / 2)
	for _, no := range tr.known[mk] {
		if !no.Forgiven && no.at > last+together {
			count++
			last = no.at
		}
	}
	return count
}

func (en End) weight() float64 {
	weight := weightPlain
	if en.Answered {
		weight = weightAnswered
	}
	if en.Beside == 0 {
		weight *= weightAlone
	}
	return weight
}

// others counts the servers that ended together with one and at which the request
// was not.
func (tr *Tracker) others(no noted, list []noted) int {
	count := 0
	for _, se := range tr.servers {
		near := se.at >= no.at-together && se.at <= no.at+together
		if near && !slices.ContainsFunc(list, func(one noted) bool { return one.Server == se.server }) {
			count++
		}
	}
	return count
}

// noteServer remembers when a server ended, once.
func (tr *Tracker) noteServer(now clock.Millis, server string) {
	if slices.ContainsFunc(tr.servers, func(se serverEnd) bool { return se.server == server }) {
		return
	}
	if len(tr.servers) >= mostServers {
		tr.servers = tr.servers[1:]
	}
	tr.servers = append(tr.servers, serverEnd{server, now})
}

// forget drops the ends of a request that count no more.
func (tr *Tracker) forget(now clock.Millis, mk Mark) {
	list := tr.known[mk]
	if len(list) == 0 || now < list[0].at+tr.keep() {
		return
	}
	before := tr.verdict(mk)
	first := slices.IndexFunc(list, func(no noted) bool { return now < no.at+tr.keep() })
	if first < 0 {
		delete(tr.known, mk)
	} else {
		tr.known[mk] = list[first:]
	}
	if before == Refused && tr.verdict(mk) != Refused {
		tr.released = append(tr.released, mk)
	}
	maps.DeleteFunc(tr.blamed, func(_ string, one Mark) bool { return one == mk && len(tr.known[mk]) == 0 })
}

// Forget drops what counts no more, and lists the requests that are not refused any
// more since.
func (tr *Tracker) Forget(now clock.Millis) []Mark {
	for mk := range tr.known {
		tr.forget(now, mk)
	}
	out := tr.released
	tr.released = nil
	return out
}

// makeRoom drops what counts no more, or else the request of which least is known,
// if as many are kept as may be.
func (tr *Tracker) makeRoom(now clock.Millis) {
	if tr.known == nil {
		tr.known = make(map[Mark][]noted)
	}
	if len(tr.known) < tr.most() {
		return
	}
	for mk := range tr.known {
		tr.forget(now, mk)
	}
	for len(tr.known) >= tr.most() {
		delete(tr.known, tr.least())
	}
}

// least is the request with the fewest ends, and the oldest of those alike.
func (tr *Tracker) least() Mark {
	var least Mark
	first := true
	for mk, list := range tr.known {
		old := tr.known[least]
		if first || len(list) < len(old) || len(list) == len(old) && list[0].at < old[0].at {
			least, first = mk, false
		}
	}
	return least
}

func (tr *Tracker) refuse() float64 { return orDefault(tr.Settings.Refuse, DefaultRefuse) }

func (tr *Tracker) ends() int { return orDefault(tr.Settings.Ends, DefaultEnds) }

func (tr *Tracker) keep() clock.Millis { return orDefault(tr.Settings.Keep, DefaultKeep) }

func (tr *Tracker) most() int { return orDefault(tr.Settings.Most, DefaultMost) }

func orDefault[T int | float64 | clock.Millis](val, def T) T {
	if val <= 0 {
		return def
	}
	return val
}
