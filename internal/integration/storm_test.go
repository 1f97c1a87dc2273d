package integration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"alderdyke/internal/standin"
	"alderdyke/internal/standin/deployment"
	logsim "alderdyke/internal/standin/logsvc"
	listsim "alderdyke/internal/standin/vmlist"
)

const (
	stormRounds = 5
	stormCalls  = 40 // calls that have to end while faults are active
)

type (
	// storm injects pairs of concurrent faults into a fleet, chosen by a seeded
	// generator.
	storm struct {
		fl  *fleet
		rnd *rand.Rand
	}

	// faultStarter starts one fault and returns the function that ends it.
	faultStarter func(t *testing.T) (heal func())
)

// Faults of VMs and of the services around them are injected together, repeatedly,
// under load from callers of all kinds. All invariants must hold.
func TestStorm(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			pl := defaultPlan()
			pl.vms, pl.prefill, pl.decode, pl.plain = 5, 3, 4, 3
			fl := startFleet(t, pl)
			fl.watchRevisions()
			began := time.Now()
			st := &storm{fl: fl, rnd: rand.New(rand.NewPCG(seed, 1))}
			ld := fl.startLoad("storm", 2)
			fl.awaitCalls(stormCalls)
			base := fl.revision(fl.vms[0])
			for round := range stormRounds {
				st.runRound(t)
				base = fl.publishRevision(fl.vms[st.rnd.IntN(len(fl.vms))], fmt.Sprintf("storm-%d", round), base, round)
			}
			t.Logf("after %v: the last fault has ended", time.Since(began))
			ld.stop() // refusals are allowed; the invariants check whether they are true
			t.Logf("after %v: the last call has ended", time.Since(began))
			fl.checkInvariants()
		})
	}
}

// runRound starts two faults, waits for calls to end under them, ends the faults,
// and waits until all VMs are ready to serve.
func (st *storm) runRound(t *testing.T) {
	victim := st.fl.vms[st.rnd.IntN(len(st.fl.vms))]
	vmFaults := []faultStarter{st.kill(victim), st.pause(victim), st.cutOff(victim), st.cutCallers(victim)}
	serviceFaults := []faultStarter{st.engineDies(), st.enginesLoseReplies(), st.cutBackend(), st.serviceLosesReplies(), st.platformOutage()}
	one, other := st.rnd.IntN(len(vmFaults)), st.rnd.IntN(len(serviceFaults))
	began := time.Now()
	healVMFault, healServiceFault := vmFaults[one](t), serviceFaults[other](t)
	st.fl.awaitCalls(stormCalls)
	defer func() { t.Logf("faults %d and %d at %s took %v", one, other, victim.set.ID, time.Since(began)) }()
	healVMFault()
	healServiceFault()
	for _, vm := range st.fl.vms {
		st.fl.awaitServing(vm)
	}
}

// awaitDeadIf waits, if long is set, until another VM considers the victim dead.
func (st *storm) awaitDeadIf(victim *vm, long bool, since time.Time) {
	if long {
		st.fl.awaitDead(st.fl.otherVMs(victim)[0], victim, since)
	}
}

// kill kills a VM. For a random half of the faults, the VM starts again only after
// another VM considers it dead.
func (st *storm) kill(victim *vm) faultStarter {
	long := st.rnd.IntN(2) == 0
	return func(t *testing.T) func() {
		began := time.Now()
		victim.kill(t)
		return func() {
			st.awaitDeadIf(victim, long, began)
			victim.start(t)
		}
	}
}

// pause pauses a VM. For a random half of the faults, the VM resumes only after
// another VM considers it dead.
func (st *storm) pause(victim *vm) faultStarter {
	long := st.rnd.IntN(2) == 0
	return func(t *testing.T) func() {
		began := time.Now()
		victim.pause(t)
		return func() {
			st.awaitDeadIf(victim, long, began)
			victim.resume(t)
		}
	}
}

// cutOff cuts a VM off from the other VMs and from the log service. For a random
// half of the faults, the cut ends only after another VM considers the VM dead.
func (st *storm) cutOff(victim *vm) faultStarter {
	long := st.rnd.IntN(2) == 0
	return func(t *testing.T) func() {
		began := time.Now()
		px := st.fl.proxy(deployment.LogLink, victim.set.ID)
		px.stall(t)
		st.fl.net.partition([]*vm{victim}, st.fl.otherVMs(victim), true)
		return func() {
			st.awaitDeadIf(victim, long, began)
			st.fl.net.partition([]*vm{victim}, st.fl.otherVMs(victim), false)
			px.heal(t)
		}
	}
}

// cutCallers resets the connections of callers to a VM.
func (st *storm) cutCallers(victim *vm) faultStarter {
	return func(t *testing.T) func() {
		px := st.fl.proxy(deployment.CallerLink, victim.set.ID)
		px.reset(t)
		return func() { px.heal(t) }
	}
}

// engineDies makes an engine die and start again without its state.
func (st *storm) engineDies() faultStarter {
	en := st.fl.dp.Engines[st.rnd.IntN(len(st.fl.dp.Engines))]
	return func(*testing.T) func() {
		results.countFault("engine died")
		en.Control.Set(standin.Faults{Dead: true})
		return func() { en.Control.Set(standin.Faults{}) }
	}
}

// enginesLoseReplies makes all engines lose replies to orders that took effect.
func (st *storm) enginesLoseReplies() faultStarter {
	return func(*testing.T) func() {
		results.countFault("reply lost after the effect")
		for _, en := range st.fl.dp.Engines {
			en.Control.Set(standin.Faults{LoseReply: true, Count: 6})
		}
		return func() {
			for _, en := range st.fl.dp.Engines {
				en.Control.Set(standin.Faults{})
			}
		}
	}
}

// cutBackend resets the connections to one backend server.
func (st *storm) cutBackend() faultStarter {
	id := st.fl.dp.Engines[st.rnd.IntN(len(st.fl.dp.Engines))].ID
	if st.rnd.IntN(2) == 0 {
		id = st.fl.dp.Services[st.rnd.IntN(len(st.fl.dp.Services))].ID
	}
	return func(t *testing.T) func() {
		px := st.fl.proxy(deployment.BackendLink, id)
		px.reset(t)
		return func() { px.heal(t) }
	}
}

// serviceLosesReplies makes the plain service lose replies to calls that ran.
func (st *storm) serviceLosesReplies() faultStarter {
	return func(*testing.T) func() {
		results.countFault("reply lost after the effect")
		for _, sv := range st.fl.dp.Services {
			sv.Control.Set(standin.Faults{LoseReply: true, Count: 6})
		}
		return func() {
			for _, sv := range st.fl.dp.Services {
				sv.Control.Set(standin.Faults{})
			}
		}
	}
}

// platformOutage takes the log service and the VM list down.
func (st *storm) platformOutage() faultStarter {
	return func(*testing.T) func() {
		results.countFault("log outage")
		results.countFault("VM list outage")
		st.fl.dp.Logs.Set(logsim.Faults{Outage: true})
		st.fl.dp.List.Set(listsim.Faults{Outage: true})
		return func() {
			st.fl.dp.Logs.Set(logsim.Faults{})
			st.fl.dp.List.Set(listsim.Faults{})
		}
	}
}
