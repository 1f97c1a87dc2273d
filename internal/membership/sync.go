package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"alderdyke/internal/board"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/pkg/clock"
)

const (
	buckets      = 64                    // into which a table is split for comparison
	syncTimeout  = 500 * clock.Millis(1) // for one reply
	sequenceRoom = 10                    // bytes that the transport's Sequence may take
	maxPages     = 80                    // replies in a row from one VM
	syncSettle   = 2 * clock.Second      // without a change before tables are compared: gossip first
	joinFor      = 10 * clock.Second     // after the start, tables are compared without a wait
)

// syncer compares tables with other VMs, to learn the whole fleet at the
// start and what gossip missed later.
type syncer struct {
	stale    bool // the digests below need to be computed again
	fresh    bool // they were computed once
	total    uint64
	bucket   [buckets]uint32
	changed  clock.Millis // when the digests last changed
	asked    string       // VM whose reply is awaited
	deadline clock.Millis
	next     clock.Millis // no comparison begins before
	pages    int
}

func (dt *Detector) digest() uint64 {
	dt.computeDigests()
	return dt.sy.total
}

// computeDigests folds the live VMs, this one included, into the digests.
func (dt *Detector) computeDigests() {
	sy := &dt.sy
	if sy.fresh && !sy.stale {
		return
	}
	sy.stale, sy.fresh = false, true
	before := sy.total
	sy.total = 0
	sy.bucket = [buckets]uint32{}
	fold := func(vm board.VM, leaving bool) {
		vm.Leaving = leaving
		hash := sum(vm)
		sy.total ^= hash
		sy.bucket[bucketOf(vm.ID)] ^= uint32(hash)
	}
	fold(dt.Self, dt.leaving)
	for _, mb := range dt.tb.members {
		if mb.serving() {
			fold(mb.vm, mb.leaving)
		}
	}
	if sy.total != before {
		sy.changed = dt.now
	}
}

func bucketOf(id string) int { return int(hashOf(id) % buckets) }

// hashOf is never zero, which stands for no VM.
func hashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) | 1<<31 }

// trySync begins a comparison with a VM whose digest differs.
func (dt *Detector) trySync(mb *member) {
	joining := dt.joining()
	if dt.sy.asked != "" || dt.now < dt.sy.next {
		return
	}
	if !joining && dt.now-dt.sy.changed < syncSettle {
		return
	}
	dt.sy.pages = 0
	half := dt.Settings.SyncEvery / 2
	dt.sy.next = dt.now + half + clock.Millis(dt.Rand.Int64N(int64(half)+1))
	if joining {
		dt.sy.next = dt.now + syncTimeout
	}
	dt.askSync(mb)
}

// joining tells whether this VM is new or listed VMs have not been met yet.
func (dt *Detector) joining() bool {
	return dt.now-dt.startedAt < joinFor || slices.ContainsFunc(dt.tb.members, func(mb *member) bool {
		return !mb.heard && mb.tries < joinTries
	})
}

func (dt *Detector) askSync(mb *member) {
	dt.computeDigests()
	dt.Counters.Syncs++
	dt.sy.pages++
	dt.sy.asked = mb.vm.ID
	dt.sy.deadline = dt.now + syncTimeout
	dt.send(mb, &peerpb.Datagram{Body: &peerpb.Datagram_SyncAsk{SyncAsk: &peerpb.SyncAsk{
		Buckets: append([]uint32(nil), dt.sy.bucket[:]...),
		Start:   uint32(dt.Rand.IntN(buckets)),
	}}})
}

// expireSync gives a lost reply up; the next ack begins anew.
func (dt *Detector) expireSync() {
	if dt.sy.asked != "" && dt.now >= dt.sy.deadline {
		dt.sy.asked = ""
		dt.sy.next = dt.now
	}
}

// answerSync sends the VMs of the differing buckets, as many as fit.
func (dt *Detector) answerSync(from *member, ask *peerpb.SyncAsk) {
	if len(ask.GetBuckets()) != buckets {
		dt.Counters.Ignored++
		return
	}
	dt.computeDigests()
	start := int(ask.GetStart() % buckets)
	var differing [buckets][]*peerpb.Rumour
	for _, rr := range dt.known() {
		bk := bucketOf(rr.GetVM())
		if ask.GetBuckets()[bk] != dt.sy.bucket[bk] && rr.GetVM() != from.vm.ID {
			differing[bk] = append(differing[bk], rr)
		}
	}
	dg := &peerpb.Datagram{Body: &peerpb.Datagram_SyncReply{SyncReply: &peerpb.SyncReply{}}}
	ends := proto.Size(&peerpb.Datagram{From: dt.Self.ID, Incarnation: dt.Self.Incarnation, To: from.vm.ID})
	room := dt.Settings.MaxDatagram - proto.Size(dg) - ends - sequenceRoom
	for ix := range buckets {
		for _, rr := range differing[(start+ix)%buckets] {
			room = dt.put(dg, room, rr)
		}
	}
	dt.send(from, dg)
}

// known is all that this VM can tell of the fleet.
func (dt *Detector) known() []*peerpb.Rumour {
	all := []*peerpb.Rumour{dt.aboutSelf()}
	for _, mb := range dt.tb.members {
		if mb.heard && !mb.private && mb.vm.Health != board.Left {
			all = append(all, dt.about(mb, 0, true))
		}
	}
	return all
}

// takeSync asks the same VM for more while its replies hold news.
func (dt *Detector) takeSync(from *member, news bool) {
	if dt.sy.asked != from.vm.ID {
		return
	}
	dt.sy.asked = ""
	if news && dt.sy.pages < maxPages {
		dt.askSync(from)
	}
}
