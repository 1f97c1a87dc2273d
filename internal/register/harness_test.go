package register

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/logsvc"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// The harness runs Followers in virtual time against a log and peers that answer after a
// delay, with faults that a test sets.

const oneWay = clock.Millis(2)

var errCut = errors.New("no connection")

type (
	harness struct {
		tt       rapid.TB
		rng      *rand.Rand
		now      clock.Millis
		queue    timers
		seq      int
		settings Settings

		log         []record
		keep        clock.Millis // retention; zero keeps everything
		first       int
		logDown     bool
		loseReplies int // number of replies to appends that are still to be lost
		readers     []func()
		appends     int
		bytesRead   int

		vms      []*follower
		attempts map[string]*publishAttempt
	}

	record struct {
		at   clock.Millis
		data []byte
	}

	follower struct {
		hn              *harness
		id              string
		run             uint64 // incremented by every restart; answers to an earlier run are dropped
		up              bool
		cut             bool // disconnected from the log
		isolated        bool // disconnected from peers
		fo              *Follower
		wake            clock.Millis
		activeTemplates *board.Templates
		activeSince     map[uint64]clock.Millis // when a revision became active here
		intents         map[string]int
		events          map[string]int
	}

	// publishAttempt records an operator's requests with one ID and their verdicts.
	publishAttempt struct {
		request     PublishRequest
		requests    int
		repeatedAt  map[string]bool // VMs that received it marked as a repeat
		requestedAt clock.Millis
		answeredAt  clock.Millis
		verdicts    []Verdict
	}

	timer struct {
		at  clock.Millis
		seq int
		fn  func()
	}

	timers []timer
)

func (ti timers) Len() int { return len(ti) }
func (ti timers) Less(ix, jx int) bool {
	return ti[ix].at < ti[jx].at || ti[ix].at == ti[jx].at && ti[ix].seq < ti[jx].seq
}
func (ti timers) Swap(ix, jx int) { ti[ix], ti[jx] = ti[jx], ti[ix] }
func (ti *timers) Push(what any)  { *ti = append(*ti, what.(timer)) }
func (ti *timers) Pop() any {
	last := (*ti)[len(*ti)-1]
	*ti = (*ti)[:len(*ti)-1]
	return last
}

func newHarness(tt rapid.TB, seed uint64, vms int, se Settings) *harness {
	se.Content = Templates
	hn := &harness{tt: tt, rng: rand.New(rand.NewPCG(seed, 1)), settings: se, attempts: map[string]*publishAttempt{}}
	for ix := range vms {
		hn.vms = append(hn.vms, &follower{hn: hn, id: fmt.Sprint("vm", ix)})
	}
	for _, vm := range hn.vms {
		vm.start()
	}
	return hn
}

func (hn *harness) after(span clock.Millis, fn func()) {
	hn.seq++
	heap.Push(&hn.queue, timer{at: hn.now + span, seq: hn.seq, fn: fn})
}

func (hn *harness) run(span clock.Millis) {
	until := hn.now + span
	for len(hn.queue) > 0 && hn.queue[0].at <= until {
		ti := heap.Pop(&hn.queue).(timer)
		hn.now = ti.at
		hn.trim()
		ti.fn()
	}
	hn.now = until
}

func (hn *harness) trim() {
	for hn.keep > 0 && hn.first < len(hn.log) && hn.now-hn.log[hn.first].at >= hn.keep {
		hn.first++
	}
}

// fleet returns the fleet snapshot of one VM.
func (hn *harness) fleet(self *follower) *board.Fleet {
	fl := &board.Fleet{}
	reached := 0
	for _, vm := range hn.vms {
		if !vm.up {
			continue
		}
		fl.VMs = append(fl.VMs, board.VM{VMRef: board.VMRef{ID: vm.id}, FailureDomain: vm.id})
		if vm == self || !vm.isolated && !self.isolated {
			reached++
		}
	}
	fl.Quorate = 2*reached > len(hn.vms)
	return fl
}

func (hn *harness) updateFleets() {
	for _, vm := range hn.vms {
		vm.step(vm.run, FleetChanged{Fleet: hn.fleet(vm)})
	}
}

// publish sends a publish request to a VM; the same ID may be sent again.
func (hn *harness) publish(vm int, ch PublishRequest) *publishAttempt {
	wi := hn.attempts[ch.ID]
	if wi == nil {
		wi = &publishAttempt{request: ch, requestedAt: hn.now, repeatedAt: map[string]bool{}}
		hn.attempts[ch.ID] = wi
	}
	wi.requests++
	ch.Repeated = wi.requests > 1
	wi.repeatedAt[hn.vms[vm].id] = ch.Repeated
	hn.vms[vm].step(hn.vms[vm].run, ch)
	return wi
}

func (vm *follower) start() {
	vm.run++
	vm.up = true
	vm.fo = &Follower{
		Self:     board.VMRef{ID: vm.id, Incarnation: vm.run},
		Rand:     rand.New(rand.NewPCG(vm.hn.rng.Uint64(), vm.run)),
		Settings: vm.hn.settings,
	}
	vm.activeTemplates = &board.Templates{}
	vm.activeSince = map[uint64]clock.Millis{}
	vm.intents, vm.events = map[string]int{}, map[string]int{}
	vm.wake = never
	run := vm.run
	vm.hn.after(0, func() { vm.step(run, Tick{}) })
	vm.hn.after(1, vm.hn.updateFleets)
}

func (vm *follower) stop() {
	vm.up = false
	vm.run++
	vm.hn.after(1, vm.hn.updateFleets)
}

func (vm *follower) step(run uint64, ev Event) {
	if !vm.up || run != vm.run {
		return
	}
	for _, in := range vm.fo.Step(vm.hn.now, ev) {
		vm.execute(in)
	}
}

func (vm *follower) execute(in Intent) {
	hn := vm.hn
	switch in := in.(type) {
	case ReadLog:
		vm.intents["ReadLog"]++
		vm.readLog(in)
	case Append:
		vm.intents["Append"]++
		vm.append(in)
	case RequestRecords:
		vm.intents["RequestRecords"]++
		vm.callPeer(in.VM, func(peer *follower) Event {
			return PeerRecords{VM: in.VM.VMRef, Batch: peer.fo.Records(in.From, in.Max)}
		}, PeerRecords{Err: errCut})
	case RequestSnapshot:
		vm.intents["RequestSnapshot"]++
		vm.callPeer(in.VM, func(peer *follower) Event {
			data, _, err := peer.fo.Snapshot()
			return PeerSnapshot{VM: in.VM.VMRef, Data: data, Err: err}
		}, PeerSnapshot{Err: errCut})
	case TemplatesChanged:
		vm.setTemplates(in.Templates)
	case Verdict:
		wi := hn.attempts[in.ID]
		if in.Result == NotPublished && wi.repeatedAt[vm.id] {
			hn.tt.Errorf("%s answers %+v although %s was requested before", vm.id, in, in.ID)
		}
		wi.verdicts, wi.answeredAt = append(wi.verdicts, in), hn.now
	case LogEvent:
		vm.events[in.Event.Name]++
		if in.Event.Level == event.Error {
			hn.tt.Errorf("%s logs %s %v", vm.id, in.Event.Name, in.Fields)
		}
	case Wake:
		vm.wake = in.At
		run := vm.run
		hn.after(in.At-hn.now, func() {
			if vm.wake == in.At {
				vm.step(run, Tick{})
			}
		})
	}
}

// setTemplates stores the active templates and checks that no customer's revision decreases.
func (vm *follower) setTemplates(tp *board.Templates) {
	for name, old := range vm.activeTemplates.ByCustomer {
		now, ok := tp.ByCustomer[name]
		en, _ := vm.fo.Entry(name)
		if !ok && !en.Withdrawn() || ok && now.Revision < old.Revision {
			vm.hn.tt.Errorf("%s: %s reverted from revision %d to %d", vm.id, name, old.Revision, now.Revision)
		}
	}
	vm.activeTemplates = tp
	for _, inf := range tp.ByCustomer {
		if _, ok := vm.activeSince[inf.Revision]; !ok {
			vm.activeSince[inf.Revision] = vm.hn.now
		}
	}
}

func (vm *follower) readLog(in ReadLog) {
	hn, run := vm.hn, vm.run
	answer := func(ev Read) { hn.after(oneWay, func() { vm.step(run, ev) }) }
	until := hn.now + in.Wait
	var serve func()
	serve = func() {
		switch {
		case vm.cut || hn.logDown:
			// The connection does not respond; the client times out.
			hn.after(max(0, until-hn.now)+hn.overdue(), func() { vm.step(run, Read{Err: errCut}) })
		case len(hn.log) > int(in.From) || hn.first > int(in.From) || hn.now >= until:
			answer(Read{Batch: hn.batch(in)})
		default:
			hn.readers = append(hn.readers, serve)
		}
	}
	hn.after(oneWay, func() {
		hn.after(until-hn.now, hn.wakeReaders)
		serve()
	})
}

func (hn *harness) overdue() clock.Millis { return hn.settings.withDefaults().Overdue }

func (hn *harness) batch(in ReadLog) logsvc.Batch {
	ba := logsvc.Batch{First: uint64(hn.first), End: uint64(len(hn.log))}
	from := max(int(in.From), hn.first)
	for from < len(hn.log) && len(ba.Records) < in.Max {
		ba.Records = append(ba.Records, logsvc.Record{Offset: uint64(from), Data: hn.log[from].data})
		hn.bytesRead += len(hn.log[from].data)
		from++
	}
	ba.Next = uint64(min(from, len(hn.log)))
	return ba
}

func (hn *harness) wakeReaders() {
	waiting := hn.readers
	hn.readers = nil
	for _, serve := range waiting {
		serve()
	}
}

func (vm *follower) append(in Append) {
	hn, run := vm.hn, vm.run
	fail := func(span clock.Millis, effect logsvc.Effect) {
		err := &logsvc.AppendError{Effect: effect, Err: errCut}
		hn.after(span, func() { vm.step(run, Appended{ID: in.ID, Err: err}) })
	}
	hn.after(oneWay, func() {
		if vm.cut || hn.logDown {
			fail(oneWay, logsvc.NotAppended)
			return
		}
		hn.appends++
		hn.log = append(hn.log, record{at: hn.now, data: in.Data})
		offset := uint64(len(hn.log)) - 1
		hn.wakeReaders()
		if hn.loseReplies > 0 {
			hn.loseReplies--
			fail(clock.Second, logsvc.MayBeAppended)
			return
		}
		hn.after(oneWay, func() { vm.step(run, Appended{ID: in.ID, Offset: offset}) })
	})
}

func (vm *follower) callPeer(to board.VM, answer func(*follower) Event, failed Event) {
	hn, run := vm.hn, vm.run
	ix := slices.IndexFunc(hn.vms, func(other *follower) bool { return other.id == to.ID })
	peer := hn.vms[ix]
	hn.after(oneWay, func() {
		if !peer.up || peer.isolated || vm.isolated {
			hn.after(300, func() { vm.step(run, failed) })
			return
		}
		ev := answer(peer)
		hn.after(oneWay, func() { vm.step(run, ev) })
	})
}

// oracle folds the whole log, including dropped records, and returns the state and the
// accepted publications.
func (hn *harness) oracle() (*State, map[string]uint64) {
	st := &State{Content: Templates, Buckets: hn.settings.Buckets}
	accepted := map[string]uint64{}
	for offset, rec := range hn.log {
		outs, bad := st.Advance(logsvc.Batch{
			Records: []logsvc.Record{{Offset: uint64(offset), Data: rec.data}},
			Next:    uint64(offset) + 1, End: uint64(offset) + 1,
		})
		assert.Equal(hn.tt, len(bad), 0, "%v", bad)
		for _, out := range outs {
			if out.Ruling == Accepted {
				accepted[out.ID] = out.Revision
			}
		}
	}
	return st, accepted
}

// checkAgree compares every VM with the oracle at the end of the log.
func (hn *harness) checkAgree() {
	st, _ := hn.oracle()
	want := st.Entries()
	for _, vm := range hn.vms {
		assert.Assert(hn.tt, vm.fo.Ready(), vm.id)
		assert.DeepEqual(hn.tt, vm.fo.Entries(), want)
	}
}

// checkVerdicts compares the verdicts with the oracle.
func (hn *harness) checkVerdicts() {
	_, revisions := hn.oracle()
	for id, wi := range hn.attempts {
		rev, accepted := revisions[id]
		for _, ve := range wi.verdicts {
			switch ve.Result {
			case Published:
				assert.Assert(hn.tt, accepted && rev == ve.Revision, "%s got the verdict %+v", id, ve)
			case Conflict:
				assert.Assert(hn.tt, !accepted, "%s got the verdict %+v", id, ve)
			case NotPublished:
				// A repeated request may have been published later.
				assert.Assert(hn.tt, !accepted || wi.requests > 1, "%s got the verdict %+v", id, ve)
			case Unknown:
			}
		}
	}
}

func sample(customer string, text string) *template.Template {
	return &template.Template{Customer: customer, KeyHashes: []string{customer + text}, Classes: []template.Class{{
		Name: "findings", Service: "rapportmodel", Urgency: template.Patient, TTFT: 30 * clock.Second,
		TPOT: 50, Deadline: 10 * clock.Minute, StreamWait: clock.Minute, Share: 0.5, MaxTokens: 900,
	}}}
}
