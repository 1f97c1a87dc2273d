// Package load sends the bench's arrivals to real entry VMs in real time and measures the
// results.
//
// The stand-ins of the platform and of the engines run in this process with the speeds of
// the bench's engines. The VMs run as separate processes, from settings files that are
// written first. The same seed can thus be run both by the decisions alone, under virtual
// time, and by the whole system, and the two results compared.
//
// # Usage
//
//	rn := &load.Run{Deployment: bench.Kedelsyn(), Load: 0.8, Seed: 1, Span: clock.Minute, Dir: "live"}
//	rs, err := rn.Execute(ctx, os.Stdout) // prints which VMs to start, and waits for them
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"

	"alderdyke/internal/operator"
	"alderdyke/internal/sched/bench"
	"alderdyke/internal/settings"
	"alderdyke/internal/standin/deployment"
	enginesim "alderdyke/internal/standin/engine"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// Timeouts and sizes of a run.
const (
	readyTimeout   = 3 * clock.Minute
	readyPoll      = 200 * clock.Millis(1)
	kvBytes        = 128 << 10 // bytes of KV cache for one prompt token
	addressKeepFor = 10 * clock.Minute
	streamWait     = 5 * clock.Second
)

var errNotReady = errors.New("timeout: the VMs did not form a fleet; were they started?")

// Run is one run. Set the exported fields before Execute.
type Run struct {
	Deployment  bench.Deployment
	Load        float64 // offered load as a multiple of the capacity
	Seed        uint64
	Span        clock.Millis // duration of the arrivals
	MeasureFrom clock.Millis // earlier arrivals are not measured
	Dir         string       // folder for the settings files

	dp   *deployment.Deployment
	sets []settings.Settings
}

// Execute writes the settings, waits for the VMs, sends the load and measures it.
func (rn *Run) Execute(ctx context.Context, out io.Writer) (Result, error) {
	if err := rn.start(); err != nil {
		return Result{}, fmt.Errorf("start the stand-ins: %w", err)
	}
	defer rn.dp.Close()
	names, err := deployment.WriteSettings(rn.Dir, rn.sets)
	if err != nil {
		return Result{}, fmt.Errorf("write the settings: %w", err)
	}
	fmt.Fprintln(out, "start the VMs:")
	for _, name := range names {
		fmt.Fprintf(out, "  alderdyke run %s\n", name)
	}
	if err := rn.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	fmt.Fprintln(out, "the VMs serve; the load begins")
	return rn.offerLoad(ctx)
}

// start starts the stand-ins and creates the settings of the VMs.
func (rn *Run) start() error {
	bd := rn.Deployment
	rn.dp = &deployment.Deployment{
		Model:          bd.Service,
		Prefill:        bd.Prefills,
		Decode:         bd.Decodes,
		FailureDomains: bd.Domains,
		Region:         "loopback",
		Engine:         engineSettings(),
	}
	for ix := range bd.VMs {
		rn.dp.Hosts = append(rn.dp.Hosts, netip.AddrFrom4([4]byte{127, 0, 0, byte(ix + 1)}))
	}
	if err := rn.dp.Start(); err != nil {
		return fmt.Errorf("listen on loopback: %w", err)
	}
	for ix := range bd.VMs {
		set, err := rn.dp.AddVM(fmt.Sprintf("vm-%d", ix+1), bd.Domains[ix%len(bd.Domains)])
		if err != nil {
			return errors.Join(err, rn.dp.Close())
		}
		set.Addresses.KeepFor = addressKeepFor
		rn.sets = append(rn.sets, set)
	}
	rn.dp.Publish()
	return nil
}

// engineSettings returns the settings of a real-time stand-in for the bench's engine.
func engineSettings() enginesim.Settings {
	set := enginesim.DefaultSettings()
	set.PrefillTokensPerSecond = bench.PrefillRate * float64(clock.Second)
	set.KVBytesPerToken = kvBytes
	set.LinkBytesPerSecond = bench.LinkRate * kvBytes * float64(clock.Second)
	set.KVRetention = bench.KVCacheTTL
	set.Slots = bench.Slots
	set.TPOT = bench.IdleTPOT
	set.BatchSlowdown = (bench.FullTPOT/bench.IdleTPOT - 1) / (bench.Slots - 1)
	set.LoadLag = bench.ReportLag
	set.Length = answerLength
	return set
}

// awaitReady waits until the VMs form one fleet, publishes the templates and waits until
// every VM has applied them.
func (rn *Run) awaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeoutCause(ctx, readyTimeout.Std(), errNotReady)
	defer stop()
	for _, set := range rn.sets {
		for !rn.inFullFleet(ctx, set) {
			if !clock.Sleep(ctx, readyPoll) {
				return fmt.Errorf("wait for %s: %w", set.ID, context.Cause(ctx))
			}
		}
	}
	for _, tpl := range templates(rn.Deployment) {
		if err := rn.publish(ctx, tpl); err != nil {
			return err
		}
	}
	return nil
}

func (rn *Run) inFullFleet(ctx context.Context, set settings.Settings) bool {
	st, err := operatorClient(set).Status(ctx)
	return err == nil && st.Quorate && st.Seats == len(rn.sets) && len(st.Fleet) == len(rn.sets)
}

func operatorClient(set settings.Settings) operator.Client {
	return operator.Client{Address: set.Operator.Listen.String(), Token: set.Operator.Token}
}

// publish publishes a template and waits until every VM has applied it.
func (rn *Run) publish(ctx context.Context, tpl template.Template) error {
	pub := operator.Publication{ID: "load-" + tpl.Customer, Customer: tpl.Customer, Template: tpl}
	reply, err := operatorClient(rn.sets[0]).Publish(ctx, pub)
	if err != nil {
		return fmt.Errorf("publish the template of %s: %w", tpl.Customer, err)
	}
	for _, set := range rn.sets {
		for {
			got, err := operatorClient(set).Template(ctx, tpl.Customer)
			if err == nil && got.Revision >= reply.Revision {
				break
			}
			if !clock.Sleep(ctx, readyPoll) {
				return fmt.Errorf("wait for the template of %s at %s: %w", tpl.Customer, set.ID, context.Cause(ctx))
			}
		}
	}
	return nil
}

// templates returns one template for each customer of the deployment.
func templates(bd bench.Deployment) []template.Template {
	byName := make(map[string]template.Template)
	var names []string
	for _, cl := range bd.Classes {
		tpl, ok := byName[cl.Customer]
		if !ok {
			names = append(names, cl.Customer)
			tpl = template.Template{
				Customer:      cl.Customer,
				KeyHashes:     []string{template.HashKey(apiKey(cl.Customer))},
				PrefillWeight: cl.PrefillWeight,
			}
		}
		byName[cl.Customer] = tpl.WithClass(template.Class{
			Name:       cl.Name,
			Service:    bd.Service,
			Urgency:    template.Urgency(cl.Work),
			Idempotent: true,
			TTFT:       cl.TTFT,
			TPOT:       cl.TPOT,
			Deadline:   cl.Deadline,
			StreamWait: streamWait,
			Share:      cl.Share,
			MaxTokens:  cl.MaxTokens,
		})
	}
	slices.Sort(names)
	var out []template.Template
	for _, name := range names {
		out = append(out, byName[name])
	}
	return out
}

func apiKey(customer string) string { return "load-key-of-" + customer }

// offerLoad sends each arrival at its time, independently of earlier ones, and waits until
// all have ended.
func (rn *Run) offerLoad(ctx context.Context) (Result, error) {
	arrivals := rn.Deployment.Arrivals(rn.Seed, rn.Load, rn.Span)
	slices.SortFunc(arrivals, func(aa, ab bench.Arrival) int { return int(aa.At - ab.At) })
	mt := newMeter()
	cs := newCustomerClients(rn.sets, rn.Deployment)
	defer cs.close()
	var wg sync.WaitGroup
	var src clock.Monotonic
	start := src.Now()
	for ix, arr := range arrivals {
		if !clock.Sleep(ctx, start+arr.At-src.Now()) {
			return Result{}, fmt.Errorf("offer the load: %w", context.Cause(ctx))
		}
		measured := arr.At >= rn.MeasureFrom
		wg.Go(func() {
			end := cs.call(ctx, ix, arr)
			if measured {
				mt.add(arr, end)
			}
		})
	}
	wg.Wait()
	return mt.result(rn.dp), nil
}
