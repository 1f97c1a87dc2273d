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
	syncBuckets     = 64                    // into which a table is split for comparison
	syncTimeout     = 500 * clock.Millis(1) // for one reply
	maxSequenceSize = 10                    // bytes that the transport's Sequence may take
	maxSyncPages    = 80                    // replies in a row from one VM
	syncQuietPeriod = 2 * clock.Second      // without a change before tables are compared: gossip first
	joinPeriod      = 10 * clock.Second     // after the start, tables are compared without a wait
)

// syncer compares tables with other VMs, to learn the whole fleet at the
// start and what gossip missed later.
type syncer struct {
	stale         bool // the digests below need to be computed again
	computed      bool // they were computed once
	total         uint64
	bucketDigests [syncBuckets]uint32
	changed       clock.Millis // when the digests last changed
	awaiting      string       // VM whose reply is awaited
	deadline      clock.Millis
	notBefore     clock.Millis // no comparison begins before
	pages         int
}

func (dt *Detector) digest() uint64 {
	dt.computeDigests()
	return dt.syncer.total
}

// computeDigests folds the live VMs, this one included, into the digests.
func (dt *Detector) computeDigests() {
	sy := &dt.syncer
	if sy.computed && !sy.stale {
		return
	}
	sy.stale, sy.computed = false, true
	before := sy.total
	sy.total = 0
	sy.bucketDigests = [syncBuckets]uint32{}
	fold := func(vm board.VM, leaving bool) {
		vm.Leaving = leaving
		hash := hashVM(vm)
		sy.total ^= hash
		sy.bucketDigests[bucketOf(vm.ID)] ^= uint32(hash)
	}
	fold(dt.Self, dt.leaving)
	for _, mb := range dt.table.members {
		if mb.maybeAlive() {
			fold(mb.vm, mb.leaving)
		}
	}
	if sy.total != before {
		sy.changed = dt.now
	}
}

func bucketOf(id string) int { return int(hashOf(id) % syncBuckets) }

// hashOf is never zero, which stands for no VM.
func hashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) | 1<<31 }

// startSync begins a comparison with a VM whose digest differs.
func (dt *Detector) startSync(mb *member) {
	joining := dt.joining()
	if dt.syncer.awaiting != "" || dt.now < dt.syncer.notBefore {
		return
	}
	if !joining && dt.now-dt.syncer.changed < syncQuietPeriod {
		return
	}
	dt.syncer.pages = 0
	half := dt.Settings.SyncInterval / 2
	dt.syncer.notBefore = dt.now + half + clock.Millis(dt.Rand.Int64N(int64(half)+1))
	if joining {
		dt.syncer.notBefore = dt.now + syncTimeout
	}
	dt.requestSync(mb)
}

// joining tells whether this VM is new or listed VMs have not been met yet.
func (dt *Detector) joining() bool {
	return dt.now-dt.startedAt < joinPeriod || slices.ContainsFunc(dt.table.members, func(mb *member) bool {
		return !mb.confirmed && mb.missedProbes < maxJoinProbes
	})
}

func (dt *Detector) requestSync(mb *member) {
	dt.computeDigests()
	dt.Counters.Syncs++
	dt.syncer.pages++
	dt.syncer.awaiting = mb.vm.ID
	dt.syncer.deadline = dt.now + syncTimeout
	dt.send(mb, &peerpb.Datagram{Body: &peerpb.Datagram_SyncAsk{SyncAsk: &peerpb.SyncAsk{
		Buckets: append([]uint32(nil), dt.syncer.bucketDigests[:]...),
		Start:   uint32(dt.Rand.IntN(syncBuckets)),
	}}})
}

// expireSync gives a lost reply up; the next ack begins anew.
func (dt *Detector) expireSync() {
	if dt.syncer.awaiting != "" && dt.now >= dt.syncer.deadline {
		dt.syncer.awaiting = ""
		dt.syncer.notBefore = dt.now
	}
}

// replySync sends the VMs of the differing buckets, as many as fit.
func (dt *Detector) replySync(from *member, ask *peerpb.SyncAsk) {
	if len(ask.GetBuckets()) != syncBuckets {
		dt.Counters.Ignored++
		return
	}
	dt.computeDigests()
	start := int(ask.GetStart() % syncBuckets)
	var differing [syncBuckets][]*peerpb.Rumour
	for _, rr := range dt.allRumours() {
		bk := bucketOf(rr.GetVM())
		if ask.GetBuckets()[bk] != dt.syncer.bucketDigests[bk] && rr.GetVM() != from.vm.ID {
			differing[bk] = append(differing[bk], rr)
		}
	}
	dg := &peerpb.Datagram{Body: &peerpb.Datagram_SyncReply{SyncReply: &peerpb.SyncReply{}}}
	ends := proto.Size(&peerpb.Datagram{From: dt.Self.ID, Incarnation: dt.Self.Incarnation, To: from.vm.ID})
	room := dt.Settings.MaxDatagram - proto.Size(dg) - ends - maxSequenceSize
	for ix := range syncBuckets {
		for _, rr := range differing[(start+ix)%syncBuckets] {
			room = dt.appendRumour(dg, room, rr)
		}
	}
	dt.send(from, dg)
}

// allRumours is all that this VM can tell of the fleet.
func (dt *Detector) allRumours() []*peerpb.Rumour {
	all := []*peerpb.Rumour{dt.selfRumour()}
	for _, mb := range dt.table.members {
		if mb.confirmed && !mb.localOnly && mb.vm.Health != board.Left {
			all = append(all, dt.memberRumour(mb, 0, true))
		}
	}
	return all
}

// handleSyncReply asks the same VM for more while its replies hold news.
func (dt *Detector) handleSyncReply(from *member, news bool) {
	if dt.syncer.awaiting != from.vm.ID {
		return
	}
	dt.syncer.awaiting = ""
	if news && dt.syncer.pages < maxSyncPages {
		dt.requestSync(from)
	}
}
