package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/sched"
	"alderdyke/internal/standin"
	"alderdyke/internal/standin/deployment"
	enginesim "alderdyke/internal/standin/engine"
	"alderdyke/pkg/client"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	maxServerCrashes = 5 // maximum number of servers that one request may crash
	deadlyTries      = 8 // number of calls with which a test sends the same deadly request
	// deadlyNote is the content of a deadly request: one that crashes each engine
	// that runs it. The tests crash the engines when such a request reaches them.
	deadlyNote  = "the field notes that break engines"
	restartTime = 300 * time.Millisecond // time until a crashed server is up again
	shortWait   = 500 * clock.Millis(1)  // after which callers retry, even if they are told to wait longer
	longWait    = 30 * clock.Second      // callers give up if they are told to wait longer than this
)

// deadlyPlan returns a plan with more decode engines than one request may crash.
func deadlyPlan() plan {
	pl := defaultPlan()
	pl.vms, pl.prefill, pl.decode, pl.plain = 5, 3, 6, 3
	return pl
}

// clientAt returns a client that reaches only one VM and retries after a short
// wait.
func (fl *fleet) clientAt(vm *vm) *client.Client {
	cl := fl.client()
	cl.Wait = waitBriefly
	cl.HTTP = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, network, vm.set.Caller.Advertise.String())
		},
	}}
	return cl
}

// waitBriefly is the Wait of a client that retries early, and that ends its call
// instead of a long wait.
func waitBriefly(ctx context.Context, span clock.Millis) error {
	if span > longWait {
		return context.DeadlineExceeded
	}
	if !clock.Sleep(ctx, min(span, shortWait)) {
		return context.Cause(ctx)
	}
	return nil
}

// sendDeadly starts a deadly request that is sent only to one VM.
func (fl *fleet) sendDeadly(vm *vm, key string) *ongoing {
	return fl.chatWithNote(fl.clientAt(vm), "findings", key, deadlyNote, 50)
}

// tryAllVMs sends a deadly request repeatedly, each time to another VM with a new
// key, and returns the last call after its end.
func (fl *fleet) tryAllVMs(send func(vm *vm, key string) *ongoing) *ongoing {
	var og *ongoing
	for ix := range deadlyTries {
		og = send(fl.vms[ix%len(fl.vms)], fmt.Sprintf("deadly-%d", ix))
		og.wait()
	}
	return og
}

// checkContained checks that a request crashed at most maxServerCrashes servers,
// that its last call was refused for that reason, and that other requests are
// served.
func (fl *fleet) checkContained(crashes int, last *ongoing) {
	fl.t.Helper()
	assert.Check(fl.t, crashes <= maxServerCrashes, "%d servers crashed", crashes)
	assert.Check(fl.t, last.waitRefusal().Reason == refusal.EndsServers, "refusal of the last call: %v", last.waitRefusal())
	assert.Check(fl.t, fl.chat(fl.client(), "findings", "ordinary", 20).wait())
	fl.checkInvariants()
}

// crash simulates the crash of a server's process: its work is lost, and
// connections to it are refused until it has started again.
func (fl *fleet) crash(id string, ct *standin.Control) {
	px := fl.proxy(deployment.BackendLink, id)
	ct.Set(standin.Faults{Dead: true})
	px.Stop()
	time.Sleep(restartTime)
	ct.Set(standin.Faults{})
	assert.Check(fl.t, px.Start())
}

// crashWhenever crashes a server whenever a condition holds, until the test ends.
func (fl *fleet) crashWhenever(id string, ct *standin.Control, crashes *atomic.Int64, holds func() bool) {
	var watch sync.WaitGroup
	watch.Go(func() {
		for clock.Sleep(fl.t.Context(), 2) {
			if holds() {
				crashes.Add(1)
				fl.crash(id, ct)
			}
		}
	})
	fl.t.Cleanup(watch.Wait)
}

// crashEngines crashes the engines of a role whenever a run of a deadly request is
// in the given state. It returns a function that returns the number of crashes so
// far.
func (fl *fleet) crashEngines(role board.Role, state func(rec *enginesim.Run) bool) (crashes func() int) {
	var count atomic.Int64
	for _, en := range fl.dp.Engines {
		if en.Role != role {
			continue
		}
		fl.crashWhenever(en.ID, &en.Control, &count, func() bool {
			return slices.ContainsFunc(en.History().Runs, func(rec *enginesim.Run) bool {
				return rec.Outcome == "" && len(rec.Stages) > 0 && strings.HasPrefix(rec.Request, customer+"/deadly-") && state(rec)
			})
		})
	}
	return func() int { return int(count.Load()) }
}

func prefilling(rec *enginesim.Run) bool {
	return rec.Stages[len(rec.Stages)-1].Stage == sched.Prefilling
}

func importing(rec *enginesim.Run) bool { return rec.Decodes == 0 }

func pastThirdToken(rec *enginesim.Run) bool { return rec.Tokens >= 3 }

// A request crashes engines at some stage, and its callers retry at other VMs, which
// have not observed the crashes themselves. Engines that start again under the same
// ID count as crashed too.
func TestDeadlyRequestAtAnyVM(t *testing.T) {
	skipKnownRed(t)
	for _, tc := range []struct {
		name   string
		decode int  // engines
		slow   bool // slow prefills and transfers, so that engines can crash in the middle of one
		crash  func(fl *fleet) (crashes func() int)
	}{
		{"Decode", 6, false, func(fl *fleet) func() int { return fl.crashOnDecode(fl.t, "deadly-", restartTime) }},
		{"ThirdToken", 6, false, func(fl *fleet) func() int { return fl.crashEngines(board.Decode, pastThirdToken) }},
		{"TwoEngines", 2, false, func(fl *fleet) func() int { return fl.crashEngines(board.Decode, pastThirdToken) }},
		{"Prefill", 6, true, func(fl *fleet) func() int { return fl.crashEngines(board.Prefill, prefilling) }},
		{"Import", 6, true, func(fl *fleet) func() int { return fl.crashEngines(board.Decode, importing) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			pl := deadlyPlan()
			pl.decode = tc.decode
			if tc.slow {
				pl.engine.PrefillTokensPerSecond, pl.engine.LinkBytesPerSecond = 100, 16<<20
			}
			fl := startFleet(t, pl)
			crashes := tc.crash(fl)
			last := fl.tryAllVMs(fl.sendDeadly)
			fl.checkContained(crashes(), last)
		})
	}
}

// The VM that observed a request crash engines is killed after each call and starts
// again without that knowledge.
func TestDeadlyRequestWhileVMsRestart(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, deadlyPlan())
	crashes := fl.crashOnDecode(t, "deadly-", restartTime)
	last := fl.tryAllVMs(func(vm *vm, key string) *ongoing {
		og := fl.sendDeadly(vm, key)
		og.wait()
		vm.kill(t)
		vm.start(t)
		fl.awaitServing(vm)
		return og
	})
	fl.checkContained(crashes(), last)
}

// A call of a plain service crashes each server that runs it.
func TestDeadlyPlainCall(t *testing.T) {
	skipKnownRed(t)
	for method, path := range map[string]string{http.MethodGet: "/records/deadly", http.MethodPost: "/payments/deadly"} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			fl := startFleet(t, deadlyPlan())
			var crashes atomic.Int64
			for _, sv := range fl.dp.Services {
				fl.crashWhenever(sv.ID, &sv.Control, &crashes, func() bool { return sv.History().Running > 0 })
			}
			last := fl.tryAllVMs(func(vm *vm, key string) *ongoing {
				return fl.callPlain(fl.clientAt(vm), method, path, key, method == http.MethodGet)
			})
			fl.checkContained(int(crashes.Load()), last)
		})
	}
}

// The connection of the caller breaks each time that its request has crashed an
// engine. The caller retries with the same key, and after a refusal once more at
// another VM.
func TestDeadlyRequestRetriedUnderItsKey(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, deadlyPlan())
	crashes := fl.crashEngines(board.Decode, pastThirdToken)
	var last *ongoing
	for ix, at := range fl.vms {
		og := fl.sendDeadly(at, fmt.Sprintf("deadly-%d", ix))
		for before := crashes(); ; before = crashes() {
			eventually(t, "an engine crashes or the call ends", func() bool { return crashes() > before || og.ended() })
			if og.ended() {
				break
			}
			px := fl.proxy(deployment.CallerLink, at.set.ID)
			px.reset(t)
			px.heal(t)
		}
		last = fl.sendDeadly(fl.vms[(ix+1)%len(fl.vms)], fmt.Sprintf("deadly-%d", ix))
		last.wait()
	}
	fl.checkContained(crashes(), last)
}

// The VM that runs a request is killed when the request crashes an engine, three
// times. Another VM takes the request over when its caller retries with its key.
func TestDeadlyRequestIsTakenOver(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, deadlyPlan())
	crashes := fl.crashOnDecode(t, "deadly-", restartTime)
	cl := fl.client()
	cl.Wait = waitBriefly
	og := fl.chatWithNote(cl, "findings", "deadly-own", deadlyNote, 50)
	for before := range 3 {
		eventually(t, "an engine crashes or the call ends", func() bool { return crashes() > before || og.ended() })
		if lost := fl.newestRunner("deadly-own"); !og.ended() && lost != nil {
			lost.kill(t)
			lost.start(t)
		}
	}
	og.wait()
	last := fl.tryAllVMs(fl.sendDeadly)
	fl.checkContained(crashes(), last)
}

// newestRunner returns the VM that ordered the newest decode of a key.
func (fl *fleet) newestRunner(key string) *vm {
	var id string
	newest := clock.Millis(-1)
	for _, rec := range fl.engineRuns(board.Decode, key) {
		if len(rec.Stages) > 0 && rec.Stages[0].At > newest {
			id, newest = rec.VM.ID, rec.Stages[0].At
		}
	}
	return fl.vm(id)
}

func (og *ongoing) ended() bool {
	select {
	case <-og.done:
		return true
	default:
		return false
	}
}

// Engines crash at random, twenty times, during 120 requests, one in six of which
// has the same content as others. No request may be refused for causing crashes, and
// none may be interrupted.
func TestRandomEngineCrashes(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			fl, rnd := startFleet(t, deadlyPlan()), rand.New(rand.NewPCG(seed, 1))
			for round := range 20 {
				fl.randomCrashRound(rnd, round)
			}
			fl.checkInvariants()
		})
	}
}

// randomCrashRound sends six requests and crashes one of the engines that decode
// them. Each must get a complete answer, or be refused before its first byte because
// its retries are exhausted.
func (fl *fleet) randomCrashRound(rnd *rand.Rand, round int) {
	prefix := fmt.Sprintf("chance-%d-", round)
	var calls []*ongoing
	for ix := range 6 {
		note := "what many ask"
		if ix > 0 {
			note = fmt.Sprint(prefix, ix)
		}
		calls = append(calls, fl.chatWithNote(fl.clientAt(fl.vms[(round+ix)%len(fl.vms)]), "findings", fmt.Sprint(prefix, ix), note, 10))
	}
	var busy []*enginesim.Engine
	eventually(fl.t, "an engine decodes", func() bool {
		busy = slices.DeleteFunc(slices.Clone(fl.dp.Engines), func(en *enginesim.Engine) bool { return !isDecoding(en, prefix) })
		return len(busy) > 0
	})
	en := busy[rnd.IntN(len(busy))]
	fl.crash(en.ID, &en.Control)
	for _, og := range calls {
		if og.wait() == nil {
			continue
		}
		rf := og.waitRefusal()
		assert.Check(fl.t, og.received() == 0 && rf.Reason == refusal.RetriesExhausted, "round %d: %d bytes, %v", round, og.received(), rf)
	}
}

// The links to half of the decode engines are cut for two seconds. Calls with the
// same notes break off repeatedly, as if engines had crashed, although none has. Soon
// after the links have recovered, all requests must get complete answers.
func TestCutLinksAreNotCrashes(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, deadlyPlan())
	round := 0
	send := func() (calls []*ongoing) {
		for ix, vm := range fl.vms {
			calls = append(calls, fl.chatWithNote(fl.clientAt(vm), "findings", fmt.Sprintf("cut-%d-%d", round, ix), fmt.Sprintf("note %d", ix), 10))
		}
		round++
		return calls
	}
	sendFor := func(span time.Duration) {
		for began := time.Now(); time.Since(began) < span; {
			for _, og := range send() {
				og.wait()
			}
		}
	}
	var links []*proxy
	for _, en := range fl.dp.Engines {
		if en.Role == board.Decode && len(links) < 3 {
			links = append(links, fl.proxy(deployment.BackendLink, en.ID))
		}
	}
	for _, px := range links {
		px.reset(t)
	}
	sendFor(2 * time.Second)
	for _, px := range links {
		px.heal(t)
	}
	sendFor(3 * time.Second)
	for range 4 {
		for _, og := range send() {
			assert.Check(t, og.wait(), "%v", og.waitRefusal())
		}
	}
	fl.checkInvariants()
}
