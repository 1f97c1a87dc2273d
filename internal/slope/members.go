package slope

import (
	"context"
	"errors"
	"fmt"
	"runtime"

	"alderdyke/pkg/clock"
)

const (
	fleetTarget = 380

	membersSeed    = 20261202
	membersSettle  = 220 * clock.Second // longer than a full round of probes at 380 VMs
	membersSpan    = 60 * clock.Second
	membersTimeout = 10 * clock.Minute
)

var (
	memberCounts = []int{3, 6, 12, 24, 48, 96, 190, 380}

	errNoAgreement = errors.New("timeout: the VMs did not agree on each other's health")
)

// memberSeries is what one VM spends on membership without requests.
type memberSeries struct {
	messages, bytes, steps, allocs, time, memory *Series
}

// measureMembers runs the real failure detector under virtual time, in a stable fleet and
// then through the loss of a failure domain of the largest fleet.
func measureMembers(ctx context.Context, rp *Report) error {
	along := func(name, unit string, kind Kind, shape Shape) *Series {
		return rp.addSeries(Series{Name: name, Along: "VMs", Unit: unit, Kind: kind, Shape: shape, Target: fleetTarget})
	}
	ms := memberSeries{
		messages: along("MemberDatagrams", "datagrams/s, sent and received", Count, Constant),
		bytes:    along("MemberBytes", "B/s, sent and received", Count, Logarithmic),
		steps:    along("MemberSteps", "steps/s", Count, Constant),
		allocs:   along("MemberAllocations", "objects/s", Count, Linear),
		time:     along("MemberTime", "us/s", Time, Linear),
		memory:   along("MemberMemory", "B", Memory, Linear),
	}
	for _, size := range memberCounts {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("at %d members: %w", size, err)
		}
		if err := ms.measure(size); err != nil {
			return fmt.Errorf("at %d members: %w", size, err)
		}
	}
	return measureLoss(rp)
}

func (ms memberSeries) measure(size int) error {
	empty := memoryInUse()
	vf := newVirtualFleet(size, membersSeed)
	if !vf.run(membersTimeout, vf.healthAgreed) {
		return errNoAgreement
	}
	vf.run(membersSettle, nil)
	vf.resetCounts()
	objects, before := allocations(), vf.now
	began, err := processorTime()
	if err != nil {
		return err
	}
	vf.run(membersSpan, nil)
	ended, err := processorTime()
	if err != nil {
		return err
	}
	per := float64(vf.now-before) / float64(clock.Second)
	all := per * float64(size)
	messages, bytes := vf.meanTraffic()
	ms.messages.addPoint(size, messages/per)
	ms.bytes.addPoint(size, bytes/per)
	ms.steps.addPoint(size, float64(vf.steps)/all)
	ms.allocs.addPoint(size, (allocations()-objects)/all)
	ms.time.addPoint(size, float64((ended-began).Microseconds())/all)
	vf.events = nil
	ms.memory.addPoint(size, (memoryInUse()-empty)/float64(size))
	runtime.KeepAlive(vf)
	return nil
}

// measureLoss starts the whole fleet at once and then fails one failure domain.
func measureLoss(rp *Report) error {
	vf := newVirtualFleet(fleetTarget, membersSeed)
	vf.resetCounts()
	if !vf.run(membersTimeout, vf.allQuorate) {
		return errNoAgreement
	}
	rp.addFact("ColdStartQuorate", Count, seconds(vf.now), "s until all 380 VMs reach a majority")
	if !vf.run(membersTimeout, vf.healthAgreed) {
		return errNoAgreement
	}
	rp.addFact("ColdStartAgreed", Count, seconds(vf.now), "s until all 380 VMs see each other alive")
	rp.addFact("ColdStartPeakBytes", Count, float64(vf.peakBytes), "B in the busiest second of the busiest VM")
	rp.addFact("ColdStartPeakDatagrams", Count, float64(vf.peakDatagrams), "datagrams in the busiest second of the busiest VM")
	vf.run(membersSettle, nil)

	vf.resetCounts()
	lostAt := vf.now
	rp.addFact("DomainLost", Count, float64(vf.loseDomain("domain-0")), "VMs lost at once")
	vf.run(clock.Second, nil)
	messages, bytes := vf.meanTraffic()
	rp.addFact("DomainFirstDatagrams", Count, messages, "datagrams of the mean VM in the first second")
	rp.addFact("DomainFirstBytes", Count, bytes, "B of the mean VM in the first second")
	if !vf.run(membersTimeout, vf.healthAgreed) {
		return errNoAgreement
	}
	rp.addFact("DomainSteady", Count, seconds(vf.now-lostAt), "s until all others hold all of them dead")
	rp.addFact("DomainPeakBytes", Count, float64(vf.peakBytes), "B in the busiest second of the busiest VM")
	messages, bytes = vf.meanTraffic()
	rp.addFact("DomainMeanBytes", Count, bytes/seconds(vf.now-lostAt), "B/s of the mean VM until then")
	rp.addFact("DomainMeanDatagrams", Count, messages/seconds(vf.now-lostAt), "datagrams/s of the mean VM until then")
	return nil
}

func seconds(span clock.Millis) float64 { return float64(span) / float64(clock.Second) }
