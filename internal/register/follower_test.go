package register

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

const activationBound = 4 * clock.Second

func publishRequest(id string, base uint64) PublishRequest {
	return PublishRequest{ID: id, Customer: "kedelsyn", Base: base, Template: sample("kedelsyn", id)}
}

func onlyVerdict(tt *testing.T, wi *publishAttempt) Verdict {
	tt.Helper()
	assert.Equal(tt, len(wi.verdicts), 1)
	return wi.verdicts[0]
}

// longestDelay returns the longest time from acceptance until the revision was active at
// a running VM.
func longestDelay(tt *testing.T, hn *harness, revision uint64) clock.Millis {
	tt.Helper()
	var span clock.Millis
	for _, vm := range hn.vms {
		at, ok := vm.activeSince[revision]
		assert.Assert(tt, ok, "revision %d never became active at %s", revision, vm.id)
		span = max(span, at-hn.log[revision-1].at)
	}
	return span
}

func TestPublishAndRevise(tt *testing.T) {
	hn := newHarness(tt, 1, 7, Settings{})
	hn.run(clock.Second)
	first := hn.publish(0, publishRequest("p1", 0))
	hn.run(clock.Second)
	ve := onlyVerdict(tt, first)
	assert.Equal(tt, ve.Result, Published)
	second := hn.publish(3, publishRequest("p2", ve.Revision))
	late := hn.publish(4, publishRequest("p3", ve.Revision))
	hn.run(clock.Second)
	assert.Equal(tt, onlyVerdict(tt, second).Result, Published)
	assert.Equal(tt, onlyVerdict(tt, late).Result, Conflict)
	assert.Equal(tt, onlyVerdict(tt, late).Current, onlyVerdict(tt, second).Revision)
	assert.Assert(tt, longestDelay(tt, hn, onlyVerdict(tt, second).Revision) <= 10)
	hn.checkAgree()

	withdraw := hn.publish(1, PublishRequest{ID: "w", Customer: "kedelsyn", Base: onlyVerdict(tt, second).Revision})
	hn.run(clock.Second)
	assert.Equal(tt, onlyVerdict(tt, withdraw).Result, Published)
	for _, vm := range hn.vms {
		assert.Equal(tt, len(vm.activeTemplates.ByCustomer), 0)
	}
}

func TestReplyLostAfterAppend(tt *testing.T) {
	hn := newHarness(tt, 2, 3, Settings{})
	hn.run(clock.Second)
	hn.loseReplies = 1
	wi := hn.publish(0, publishRequest("p1", 0))
	hn.run(10 * clock.Second)
	assert.Equal(tt, onlyVerdict(tt, wi).Result, Published)
	again := hn.publish(1, publishRequest("p1", 0))
	hn.run(clock.Second)
	assert.Equal(tt, len(again.verdicts), 2)
	assert.Equal(tt, again.verdicts[1].Revision, again.verdicts[0].Revision)
	assert.Equal(tt, hn.appends, 1)
	hn.checkVerdicts()
}

func TestVerdictsDuringOutageAreTruthful(tt *testing.T) {
	hn := newHarness(tt, 3, 3, Settings{})
	hn.run(clock.Second)
	hn.logDown = true
	never := hn.publish(0, publishRequest("p1", 0))
	hn.run(20 * clock.Second)
	assert.Equal(tt, onlyVerdict(tt, never).Result, NotPublished)
	assert.Equal(tt, onlyVerdict(tt, never).Reason, LogUnreachable)

	// The log accepts the record, then fails before any VM has read it.
	hn.logDown = false
	hn.run(5 * clock.Second)
	for _, vm := range hn.vms {
		vm.cut = true // no VM may read; VM 0 is reconnected below only for the append
	}
	hn.run(3 * clock.Second)
	doubt := hn.publish(0, publishRequest("p2", 0))
	hn.vms[0].cut = false
	hn.loseReplies = 1
	hn.run(oneWay + 3)
	hn.vms[0].cut, hn.logDown = true, true
	hn.run(20 * clock.Second)
	assert.Equal(tt, len(hn.log), 1)
	assert.Equal(tt, onlyVerdict(tt, doubt).Result, Unknown)

	for _, vm := range hn.vms {
		vm.cut = false
	}
	hn.logDown = false
	hn.run(5 * clock.Second)
	hn.publish(2, publishRequest("p2", 0))
	hn.run(5 * clock.Second)
	last := doubt.verdicts[len(doubt.verdicts)-1]
	assert.Equal(tt, last.Result, Published)
	hn.checkVerdicts()
	hn.checkAgree()
}

// TestCutOffFromTheLog publishes immediately after some VMs lost the log.
func TestCutOffFromTheLog(tt *testing.T) {
	tt.Parallel()
	var spans []clock.Millis
	for seed := range uint64(100) {
		hn := newHarness(tt, seed, 7, Settings{})
		hn.run(2*clock.Second + clock.Millis(seed*17))
		for _, vm := range hn.vms[4:] {
			vm.cut = true
		}
		wi := hn.publish(0, publishRequest("p1", 0))
		hn.run(10 * clock.Second)
		spans = append(spans, longestDelay(tt, hn, onlyVerdict(tt, wi).Revision))
	}
	slices.Sort(spans)
	tt.Logf("active at 3 of 7 VMs disconnected from the log: median %v, longest %v of 100", spans[50], spans[99])
	assert.Assert(tt, spans[98] <= activationBound, "%v", spans)
}

func TestStartDuringAnOutage(tt *testing.T) {
	hn := newHarness(tt, 5, 4, Settings{})
	hn.run(clock.Second)
	wi := hn.publish(0, publishRequest("p1", 0))
	hn.run(clock.Second)
	hn.logDown = true
	hn.run(clock.Minute)
	hn.vms[2].stop()
	hn.run(clock.Second)
	hn.vms[2].start()
	hn.run(5 * clock.Second)
	assert.Assert(tt, hn.vms[2].activeTemplates.Ready)
	assert.Equal(tt, hn.vms[2].activeTemplates.ByCustomer["kedelsyn"].Revision, onlyVerdict(tt, wi).Revision)
	asks := hn.vms[1].intents["RequestRecords"]
	hn.run(clock.Minute)
	tt.Logf("requests to peers by one VM in a minute of an outage: %d", hn.vms[1].intents["RequestRecords"]-asks)
	assert.Assert(tt, hn.vms[1].intents["RequestRecords"]-asks <= 241)
}

// TestRetentionUnderRollingReplacement replaces a VM every ten minutes while the log keeps
// records for one hour, so no VM lives until its own restatement timer expires.
func TestRetentionUnderRollingReplacement(tt *testing.T) {
	tt.Parallel()
	hn := newHarness(tt, 6, 6, Settings{Retention: clock.Hour})
	hn.keep = clock.Hour
	hn.run(clock.Second)
	wi := hn.publish(0, publishRequest("p1", 0))
	hn.run(clock.Second)
	revision := onlyVerdict(tt, wi).Revision
	for round := range 60 {
		vm := hn.vms[round%len(hn.vms)]
		vm.stop()
		hn.run(clock.Minute)
		vm.start()
		hn.run(9 * clock.Minute)
		assert.Assert(tt, vm.activeTemplates.Ready, "round %d", round)
		assert.Equal(tt, vm.activeTemplates.ByCustomer["kedelsyn"].Revision, revision)
	}
	tt.Logf("%d appends in 10 h for %d buckets, %d records dropped", hn.appends, DefaultBuckets, hn.first)
	assert.Assert(tt, hn.first > DefaultBuckets)
	hn.checkAgree()

	// A VM that reaches no peer must reconstruct the state from the middle of the log.
	vm := hn.vms[0]
	vm.stop()
	vm.isolated = true
	hn.run(clock.Second)
	vm.start()
	hn.run(5 * clock.Second)
	assert.Assert(tt, vm.activeTemplates.Ready)
	assert.Equal(tt, vm.activeTemplates.ByCustomer["kedelsyn"].Revision, revision)
}

// TestMissedRecords makes the log drop records that a VM, partitioned from the log and its
// peers, has not read.
func TestMissedRecords(tt *testing.T) {
	tt.Parallel()
	hn := newHarness(tt, 7, 3, Settings{Retention: clock.Hour})
	hn.keep = clock.Hour
	hn.run(clock.Second)
	base := uint64(0)
	for ix := range 40 {
		if ix == 5 {
			hn.vms[2].cut, hn.vms[2].isolated = true, true
		}
		wi := hn.publish(0, publishRequest(fmt.Sprint("p", ix), base))
		hn.run(5 * clock.Minute)
		base = onlyVerdict(tt, wi).Revision
	}
	old := hn.vms[2].activeTemplates.ByCustomer["kedelsyn"].Revision
	assert.Assert(tt, old < uint64(hn.first))
	hn.vms[2].cut = false
	hn.run(30 * clock.Second)
	assert.Equal(tt, hn.vms[2].events["LogRecordsMissed"], 1)
	assert.Equal(tt, hn.vms[2].activeTemplates.ByCustomer["kedelsyn"].Revision, base)
	hn.checkAgree()
}

// TestADayOfChanges publishes 1,800 changes, then a burst, while VMs lose and regain the log.
func TestADayOfChanges(tt *testing.T) {
	tt.Parallel()
	const customers, changes, burst = 50, 1800, 100
	hn := newHarness(tt, 8, 6, Settings{})
	hn.run(clock.Second)
	bases := make([]uint64, customers)
	var spans []clock.Millis
	publish := func(ix, vm int) *publishAttempt {
		name := fmt.Sprint("customer", ix%customers)
		return hn.publish(vm, PublishRequest{ID: fmt.Sprint("p", ix), Customer: name, Base: bases[ix%customers],
			Template: sample(name, "")})
	}
	for ix := range changes {
		cut := hn.vms[hn.rng.IntN(len(hn.vms))]
		cut.cut = true
		hn.run(clock.Millis(hn.rng.IntN(3000)))
		vm := slices.IndexFunc(hn.vms, func(vm *follower) bool { return !vm.cut })
		wi := publish(ix, vm)
		hn.run(10 * clock.Second)
		ve := onlyVerdict(tt, wi)
		assert.Equal(tt, ve.Result, Published)
		bases[ix%customers] = ve.Revision
		spans = append(spans, longestDelay(tt, hn, ve.Revision))
		cut.cut = false
		hn.run(36 * clock.Second)
	}
	slices.Sort(spans)
	tt.Logf("%d changes, one VM of 6 disconnected each time: 50%% active everywhere in %v, 99%% in %v, all in %v",
		changes, spans[changes/2], spans[changes*99/100], spans[changes-1])
	assert.Assert(tt, spans[changes*99/100] <= activationBound)

	// Two operators race for each customer, all at the same time.
	var attempts []*publishAttempt
	for ix := range burst {
		attempts = append(attempts, publish(changes+ix, ix%len(hn.vms)))
	}
	hn.run(10 * clock.Second)
	var longest clock.Millis
	published := 0
	for _, wi := range attempts {
		if ve := onlyVerdict(tt, wi); ve.Result == Published {
			published++
			longest = max(longest, longestDelay(tt, hn, ve.Revision))
		} else {
			assert.Equal(tt, ve.Result, Conflict)
		}
	}
	tt.Logf("burst of %d, two for each customer: %d published, active everywhere in %v", burst, published, longest)
	assert.Equal(tt, published, customers)
	assert.Assert(tt, longest <= activationBound)
	hn.checkAgree()
	hn.checkVerdicts()
}

// beyondRetention makes the log drop a record during an outage. Only the VMs listed in
// reads have read it.
func beyondRetention(tt *testing.T, reads ...int) (hn *harness, revision uint64) {
	tt.Helper()
	hn = newHarness(tt, 9, 3, Settings{Retention: clock.Hour})
	hn.keep = clock.Hour
	hn.run(clock.Second)
	first := hn.publish(0, publishRequest("p1", 0))
	hn.run(clock.Minute)
	revision = onlyVerdict(tt, first).Revision
	for _, vm := range hn.vms {
		vm.cut, vm.isolated = true, true
	}
	hn.run(3 * clock.Second)
	for _, ix := range reads {
		hn.vms[ix].cut = false
	}
	rec, ok := newPublish(publishRequest("late", revision))
	assert.Assert(tt, ok)
	data, err := Marshal(rec)
	assert.NilError(tt, err)
	hn.log = append(hn.log, record{at: hn.now, data: data})
	hn.run(3 * clock.Second)
	hn.logDown = true
	hn.run(2 * clock.Hour)
	hn.logDown = false
	for ix, vm := range hn.vms {
		vm.cut, vm.isolated = false, slices.Contains(reads, ix)
	}
	hn.updateFleets()
	return hn, revision
}

// TestOutageBeyondRetention drops a record that no VM has read. The VMs keep the last known
// templates and refuse publications as not published. After their request is not answered,
// they make the last known templates active again.
func TestOutageBeyondRetention(tt *testing.T) {
	tt.Parallel()
	hn, revision := beyondRetention(tt)
	hn.run(30 * clock.Second)
	for _, vm := range hn.vms {
		assert.Equal(tt, vm.events["LogRecordsMissed"], 1)
		assert.Assert(tt, vm.activeTemplates.Ready && !vm.fo.Ready())
		assert.Equal(tt, vm.activeTemplates.ByCustomer["kedelsyn"].Revision, revision)
	}
	early := hn.publish(1, publishRequest("p2", revision))
	hn.run(10 * clock.Second)
	assert.Equal(tt, onlyVerdict(tt, early).Result, NotPublished)
	assert.Equal(tt, onlyVerdict(tt, early).Reason, NotReady)

	hn.run(2 * clock.Minute)
	for _, vm := range hn.vms {
		assert.Assert(tt, vm.fo.Ready())
		assert.Assert(tt, vm.activeTemplates.ByCustomer["kedelsyn"].Revision > revision)
		assert.DeepEqual(tt, vm.activeTemplates.ByCustomer["kedelsyn"].Template, *sample("kedelsyn", "p1"))
	}
	base := hn.vms[0].activeTemplates.ByCustomer["kedelsyn"].Revision
	next := hn.publish(1, publishRequest("p3", base))
	hn.run(clock.Second)
	assert.Equal(tt, onlyVerdict(tt, next).Result, Published)
	assert.DeepEqual(tt, hn.vms[0].fo.Entries(), hn.vms[2].fo.Entries())
}

// TestOneVMKnowsWhatTheLogDropped isolates that VM from its peers. It must restate, and the
// others, a majority, must not recover anything older.
func TestOneVMKnowsWhatTheLogDropped(tt *testing.T) {
	hn, revision := beyondRetention(tt, 1)
	hn.run(2 * clock.Minute)
	for _, vm := range hn.vms {
		assert.Equal(tt, vm.events["BucketRecovered"], 0)
		assert.Assert(tt, vm.activeTemplates.ByCustomer["kedelsyn"].Revision > revision)
		assert.DeepEqual(tt, vm.activeTemplates.ByCustomer["kedelsyn"].Template, *sample("kedelsyn", "late"))
	}
	hn.checkAgree()
}

// TestEverythingReplacedAndDropped leaves no VM with any content. The VMs must become ready
// after a long wait, so that operators can publish again.
func TestEverythingReplacedAndDropped(tt *testing.T) {
	hn := newHarness(tt, 10, 3, Settings{Retention: clock.Hour})
	hn.keep = clock.Hour
	hn.run(clock.Second)
	hn.publish(0, publishRequest("p1", 0))
	hn.run(clock.Minute)
	for _, vm := range hn.vms {
		vm.stop()
	}
	hn.run(2 * clock.Hour)
	for _, vm := range hn.vms {
		vm.start()
	}
	hn.run(10 * clock.Minute)
	assert.Assert(tt, !hn.vms[0].activeTemplates.Ready)
	hn.run(5 * clock.Minute)
	for _, vm := range hn.vms {
		assert.Assert(tt, vm.activeTemplates.Ready)
	}
	wi := hn.publish(1, publishRequest("p2", 0))
	hn.run(clock.Second)
	assert.Equal(tt, onlyVerdict(tt, wi).Result, Published)
	hn.checkAgree()
}
