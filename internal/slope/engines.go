package slope

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"

	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/sched"
	"alderdyke/internal/service"
	"alderdyke/internal/standin"
	standinservice "alderdyke/internal/standin/service"
	"alderdyke/pkg/clock"
)

const (
	enginesTarget = 600
	cellTarget    = 16 // engines of one cell

	decodeSlots   = 20
	decodesOfFour = 3    // decode engines among four engines
	utilization   = 0.8  // share of the decode slots in use
	decodeSpan    = 9700 // milliseconds that a decode holds its slot at peak load
	prefillSpan   = 300
	importSpan    = 40
	cellSpan      = 30 * clock.Second
	cellWarmUp    = 15 * clock.Second
	engineSeed    = 7
	pollRounds    = 50
	runningSlots  = 160 // requests on an engine with eight accelerators
)

var (
	engineCounts = []int{12, 24, 48, 96, 190, 380, 600}
	runCounts    = []int{1, 20, 40, 80, 160}

	errNoGrant = errors.New("the cell made no grant")
)

type (
	// cellLoad submits requests to a real cell at a constant rate.
	cellLoad struct {
		cell      *sched.Cell
		rnd       *rand.Rand
		now       clock.Millis
		wakeAt    clock.Millis
		scheduled map[clock.Millis][]sched.Event
		grants    int
		refused   int
		events    int
		submitted int
	}

	// cellSeries is what the accounting VM spends on each request of one cell.
	cellSeries struct{ steps, time, memory *Series }
)

// measureEngines measures decisions in cells of several sizes, and the cost of the load
// reports of engines and plain services.
func measureEngines(ctx context.Context, rp *Report) error {
	along := func(name, unit string, kind Kind) *Series {
		return rp.addSeries(Series{Name: name, Along: "engines", Unit: unit, Kind: kind, Shape: Linear, Target: cellTarget})
	}
	cs := cellSeries{
		steps:  along("CellSteps", "steps for each request", Count),
		time:   along("CellTime", "us for each request", Time),
		memory: along("CellMemory", "B for each request held", Memory),
	}
	for _, count := range engineCounts {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("at %d engines: %w", count, err)
		}
		if err := cs.measure(count); err != nil {
			return fmt.Errorf("at %d engines: %w", count, err)
		}
	}
	if err := measurePolls(ctx, rp); err != nil {
		return fmt.Errorf("poll engines: %w", err)
	}
	return measurePlainPoll(ctx, rp)
}

func engineList(count int) []board.BackendServer {
	var out []board.BackendServer
	for ix := range count {
		role := board.Prefill
		if ix%4 < decodesOfFour {
			role = board.Decode
		}
		out = append(out, board.BackendServer{ID: fmt.Sprintf("engine-%03d", ix), Service: "rapportmodel", Role: role})
	}
	return out
}

func (cs cellSeries) measure(count int) error {
	empty := memoryInUse()
	cl := &cellLoad{
		cell:      &sched.Cell{Name: "rapportmodel/0"},
		rnd:       rand.New(rand.NewPCG(engineSeed, uint64(count))),
		now:       clock.Second,
		scheduled: make(map[clock.Millis][]sched.Event),
	}
	servers := engineList(count)
	decodes := 0
	for _, srv := range servers {
		if srv.Role == board.Decode {
			decodes++
		}
	}
	cl.step(sched.Servers{Servers: servers})
	rate := utilization * float64(decodes*decodeSlots) / decodeSpan
	cl.run(cellWarmUp, rate, servers)
	grants, steps := cl.grants, cl.cell.Steps()
	began, err := processorTime()
	if err != nil {
		return err
	}
	cl.run(cellSpan, rate, servers)
	ended, err := processorTime()
	if err != nil {
		return err
	}
	made := float64(cl.grants - grants)
	if made == 0 {
		return errNoGrant
	}
	cs.steps.addPoint(count, float64(cl.cell.Steps()-steps)/made)
	cs.time.addPoint(count, float64((ended-began).Microseconds())/made)
	inCell := utilization * float64(decodes*decodeSlots)
	cl.scheduled = nil
	cs.memory.addPoint(count, (memoryInUse()-empty)/inCell)
	runtime.KeepAlive(cl.cell)
	return nil
}

// run advances the time one millisecond at a time for the given span and submits
// requests at the given rate per millisecond.
func (cl *cellLoad) run(span clock.Millis, rate float64, servers []board.BackendServer) {
	wanted := 0.0
	for end := cl.now + span; cl.now < end; cl.now++ {
		evs := cl.scheduled[cl.now]
		delete(cl.scheduled, cl.now)
		for _, ev := range evs {
			cl.step(ev)
		}
		if cl.now%(clock.Second/2) == 0 {
			cl.reportLoads(servers)
		}
		for wanted += rate; wanted >= 1; wanted-- {
			cl.submit()
		}
		if cl.wakeAt != 0 && cl.now >= cl.wakeAt {
			cl.wakeAt = 0
			cl.step(sched.Tick{})
		}
	}
}

func (cl *cellLoad) reportLoads(servers []board.BackendServer) {
	for _, srv := range servers {
		cl.step(sched.Report{Load: board.LoadReport{Server: srv.ID, At: cl.now, Slots: decodeSlots}})
	}
}

func (cl *cellLoad) submit() {
	cl.submitted++
	cl.step(sched.Submit{Spec: sched.RequestSpec{
		Request: requestKey(cl.submitted), Customer: fmt.Sprintf("customer-%d", cl.submitted%20), Class: "findings",
		VM: fleetVM(cl.submitted % fleetTarget).VMRef, Quick: cl.submitted%4 == 0,
		PromptTokens: 200 + cl.rnd.IntN(typicalPromptTokens), MaxTokens: typicalMaxTokens,
		TTFT: 2 * clock.Second, TPOT: 35, Deadline: cl.now + clock.Minute, Share: 0.05, PrefillWeight: 0.5,
	}})
}

func (cl *cellLoad) step(ev sched.Event) {
	cl.events++
	for _, in := range cl.cell.Step(cl.now, ev) {
		switch in := in.(type) {
		case sched.Grant:
			cl.grants++
			cl.schedule(1, sched.Progress{Request: in.Request, Attempt: in.Attempt, Stage: sched.Prefilling})
			cl.schedule(prefillSpan, sched.Progress{Request: in.Request, Attempt: in.Attempt, Stage: sched.Prefilled, Took: prefillSpan})
		case sched.Transfer:
			cl.schedule(1, sched.Progress{Request: in.Request, Attempt: in.Attempt, Stage: sched.Transferring})
			cl.schedule(importSpan, sched.Progress{Request: in.Request, Attempt: in.Attempt, Stage: sched.Decoding, Took: importSpan})
			cl.schedule(importSpan+decodeSpan, sched.Progress{Request: in.Request, Attempt: in.Attempt, Stage: sched.Ended})
		case sched.Refuse:
			cl.refused++
		case sched.Wake:
			if cl.wakeAt == 0 || in.At < cl.wakeAt {
				cl.wakeAt = in.At
			}
		}
	}
}

func (cl *cellLoad) schedule(span clock.Millis, ev sched.Event) {
	cl.scheduled[cl.now+span] = append(cl.scheduled[cl.now+span], ev)
}

// measurePolls measures load reports and lists of running requests over HTTP, as the
// real client reads them.
func measurePolls(ctx context.Context, rp *Report) error {
	runs := engine.RunningReport{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.LoadPath, func(rw http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(rw, engine.LoadDoc{Running: 128, Slots: runningSlots, Queued: 3, LinkBytes: 1 << 31})
	})
	mux.HandleFunc("GET "+engine.RunningPath, func(rw http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(rw, runs)
	})
	st, err := serve(mux)
	if err != nil {
		return err
	}
	defer st.close()
	var wc connBytes
	ec := &engine.Client{HTTP: wc.client(), Self: fleetVM(0).VMRef, Token: wireSecret}
	srv := board.BackendServer{ID: "engine-001", Address: st.addr}
	load := func() error { _, err := ec.Load(ctx, srv); return err }
	if err := measureRepeated(rp, "LoadPoll", &wc, load); err != nil {
		return err
	}
	listed := rp.addSeries(Series{Name: "RunningPollBytes", Along: "requests at the engine", Unit: "B of one list of runs",
		Kind: Count, Shape: Linear, Target: runningSlots})
	for _, count := range runCounts {
		for len(runs.Runs) < count {
			number := len(runs.Runs)
			runs.Runs = append(runs.Runs, engine.Running{
				Request: "kedelsyn/" + requestKey(number) + "/1.0", Customer: "kedelsyn", Attempt: 1,
				VM: fleetVM(number).VMRef, Stage: sched.Decoding, Since: decodeSpan, Slot: true, Tokens: 278,
			})
		}
		before := wc.total()
		if _, err := ec.Running(ctx, srv); err != nil {
			return fmt.Errorf("list running requests: %w", err)
		}
		listed.addPoint(count, wc.total()-before)
	}
	return nil
}

// measureRepeated repeats a call over an established connection and measures it.
func measureRepeated(rp *Report, name string, wc *connBytes, call func() error) error {
	if err := call(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	before := wc.total()
	began, err := processorTime()
	if err != nil {
		return err
	}
	for range pollRounds {
		if err := call(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	ended, err := processorTime()
	if err != nil {
		return err
	}
	rp.addFact(name+"Bytes", Count, (wc.total()-before)/pollRounds, "B of one poll, request and answer")
	rp.addFact(name+"Time", Time, float64((ended-began).Microseconds())/pollRounds, "us of one poll, both ends together")
	return nil
}

// measurePlainPoll measures the load report of a plain service.
func measurePlainPoll(ctx context.Context, rp *Report) error {
	sv := &standinservice.Server{ID: "feltapp-1"}
	st, err := serve(sv.Handler())
	if err != nil {
		return err
	}
	defer st.close()
	var wc connBytes
	sc := &service.Client{HTTP: wc.client(), Self: fleetVM(0).VMRef, Token: wireSecret}
	srv := board.BackendServer{ID: "feltapp-1", Address: st.addr, Role: board.Plain}
	return measureRepeated(rp, "PlainPoll", &wc, func() error { _, err := sc.Load(ctx, srv); return err })
}
