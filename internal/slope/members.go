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

	membersSeed   = 20261202
	membersSettle = 220 * clock.Second // more than a round of probes at 380 VMs
	membersSpan   = 60 * clock.Second
	membersWait   = 10 * clock.Minute
)

var (
	memberCounts = []int{3, 6, 12, 24, 48, 96, 190, 380}

	errUnsettled = errors.New("the fleet did not come to agree in time")
)

// memberSeries are what one VM spends on membership at rest.
type memberSeries struct {
	messages, bytes, steps, allocs, time, memory *Series
}

// measureMembers runs the real failure detector at rest under virtual time,
// and then loses a failure domain of the largest fleet.
func measureMembers(ctx context.Context, rp *Report) error {
	along := func(name, unit string, kind Kind, shape Shape) *Series {
		return rp.series(Series{Name: name, Along: "VMs", Unit: unit, Kind: kind, Shape: shape, Target: fleetTarget})
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
	empty := held()
	vf := newVirtualFleet(size, membersSeed)
	if !vf.run(membersWait, vf.agree) {
		return errUnsettled
	}
	vf.run(membersSettle, nil)
	vf.begin()
	objects, before := allocations(), vf.now
	began, err := processor()
	if err != nil {
		return err
	}
	vf.run(membersSpan, nil)
	ended, err := processor()
	if err != nil {
		return err
	}
	per := float64(vf.now-before) / float64(clock.Second)
	all := per * float64(size)
	messages, bytes := vf.mean()
	ms.messages.add(size, messages/per)
	ms.bytes.add(size, bytes/per)
	ms.steps.add(size, float64(vf.steps)/all)
	ms.allocs.add(size, (allocations()-objects)/all)
	ms.time.add(size, float64((ended-began).Microseconds())/all)
	vf.queue = nil
	ms.memory.add(size, (held()-empty)/float64(size))
	runtime.KeepAlive(vf)
	return nil
}

// measureLoss starts the whole fleet at once and then loses a domain of it.
func measureLoss(rp *Report) error {
	vf := newVirtualFleet(fleetTarget, membersSeed)
	vf.begin()
	if !vf.run(membersWait, vf.quorate) {
		return errUnsettled
	}
	rp.fact("ColdStartQuorate", Count, seconds(vf.now), "s until all 380 VMs reach a majority")
	if !vf.run(membersWait, vf.agree) {
		return errUnsettled
	}
	rp.fact("ColdStartAgreed", Count, seconds(vf.now), "s until all 380 VMs see each other alive")
	rp.fact("ColdStartPeakBytes", Count, float64(vf.window), "B in the busiest second of the busiest VM")
	rp.fact("ColdStartPeakDatagrams", Count, float64(vf.windowCount), "datagrams in the busiest second of the busiest VM")
	vf.run(membersSettle, nil)

	vf.begin()
	lostAt := vf.now
	rp.fact("DomainLost", Count, float64(vf.loseDomain("domain-0")), "VMs lost at once")
	vf.run(clock.Second, nil)
	messages, bytes := vf.mean()
	rp.fact("DomainFirstDatagrams", Count, messages, "datagrams of the mean VM in the first second")
	rp.fact("DomainFirstBytes", Count, bytes, "B of the mean VM in the first second")
	if !vf.run(membersWait, vf.agree) {
		return errUnsettled
	}
	rp.fact("DomainSteady", Count, seconds(vf.now-lostAt), "s until all others hold all of them dead")
	rp.fact("DomainPeakBytes", Count, float64(vf.window), "B in the busiest second of the busiest VM")
	messages, bytes = vf.mean()
	rp.fact("DomainMeanBytes", Count, bytes/seconds(vf.now-lostAt), "B/s of the mean VM until then")
	rp.fact("DomainMeanDatagrams", Count, messages/seconds(vf.now-lostAt), "datagrams/s of the mean VM until then")
	return nil
}

func seconds(span clock.Millis) float64 { return float64(span) / float64(clock.Second) }
