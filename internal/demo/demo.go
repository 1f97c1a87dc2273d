// Package demo runs a small deployment in one process: three entry VMs, the stand-ins of
// the platform and of the backend servers, and callers of one customer. It prints the
// results of their requests and then keeps serving, so that it can be tried by hand.
//
// # Usage
//
//	err := demo.Run(ctx, "", os.Stdout) // until ctx ends
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/phuslu/log"

	"alderdyke/examples"
	"alderdyke/internal/entry"
	"alderdyke/internal/event"
	"alderdyke/internal/metrics"
	"alderdyke/internal/operator"
	"alderdyke/internal/settings"
	"alderdyke/internal/standin/deployment"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/template"
)

// Names and sizes of the demonstration.
const (
	Model        = "rapportmodel"
	PlainService = "feltapp"
	APIKey       = "kedelsyn-demo-key" // key of the customer kedelsyn in examples
	vmCount      = 3

	addressKeepFor = 2 * clock.Second
	drainLinger    = 1 * clock.Second

	readyTimeout = 20 * clock.Second
	readyPoll    = 50 * clock.Millis(1)
)

var errNotReady = errors.New("timeout: the VMs did not apply the configuration")

type (
	// fleet is the entry VMs of the demonstration.
	fleet struct {
		dp   *deployment.Deployment
		sets []settings.Settings
	}
)

// Run starts the deployment, runs the callers, prints their results and keeps serving
// until the context ends. With a folder it starts the stand-ins only and writes the
// settings of the VMs there.
func Run(ctx context.Context, dir string, out io.Writer) error {
	dp := &deployment.Deployment{
		Model:          Model,
		Prefill:        2,
		Decode:         2,
		PlainService:   PlainService,
		Plain:          2,
		Region:         "loopback",
		FailureDomains: []string{"a", "b", "c"},
		Hosts:          hosts(),
		Engine:         deployment.ScaledEngineSettings(4),
	}
	if err := dp.Start(); err != nil {
		return fmt.Errorf("start the stand-ins: %w", err)
	}
	defer dp.Close()
	fl := &fleet{dp: dp}
	if err := fl.configure(); err != nil {
		return err
	}
	if dir != "" {
		return fl.writeSettings(ctx, dir, out)
	}
	gr, ctx := errgroup.WithContext(ctx)
	fl.start(ctx, gr)
	gr.Go(func() error { return fl.showCallers(ctx, out) })
	return gr.Wait()
}

func (fl *fleet) configure() error {
	for ix := range vmCount {
		set, err := fl.dp.AddVM(fmt.Sprintf("vm-%d", ix+1), fl.dp.FailureDomains[ix])
		if err != nil {
			return fmt.Errorf("configure a VM: %w", err)
		}
		set.Addresses.KeepFor = addressKeepFor
		set.Drain.Linger = drainLinger
		fl.sets = append(fl.sets, set)
	}
	fl.dp.Publish()
	return nil
}

func (fl *fleet) start(ctx context.Context, gr *errgroup.Group) {
	for _, set := range fl.sets {
		mt := metrics.New(set.ID)
		vm := &entry.VM{
			Scope:       mt.Scope,
			Metrics:     mt.Handler(),
			Settings:    set,
			Incarnation: uint64(time.Now().UnixMilli()),
			Log:         event.Logger{Out: &log.Logger{Level: log.WarnLevel, Writer: &log.IOWriter{Writer: os.Stderr}}},
		}
		gr.Go(func() error {
			defer mt.Close()
			if err := vm.Run(ctx); err != nil {
				return fmt.Errorf("run %s: %w", set.ID, err)
			}
			return nil
		})
	}
}

// showCallers publishes the template, runs the callers and prints their results.
func (fl *fleet) showCallers(ctx context.Context, out io.Writer) error {
	if err := fl.publish(ctx); err != nil {
		return err
	}
	if err := fl.awaitSeats(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "three VMs serve; customers' template is in force\n\n")
	outcome := fl.runCallers(ctx)
	outcome.print(out, fl.dp)
	fl.printInstructions(out)
	<-ctx.Done()
	return nil
}

// publish publishes the template and waits until every VM has applied it.
func (fl *fleet) publish(ctx context.Context) error {
	tpl, err := template.Parse("kedelsyn.toml", examples.Kedelsyn)
	if err != nil {
		return fmt.Errorf("read the template: %w", err)
	}
	ctx, stop := context.WithTimeoutCause(ctx, readyTimeout.Std(), errNotReady)
	defer stop()
	for {
		reply, err := fl.operator(0).Publish(ctx, operator.Publication{ID: "demo", Customer: tpl.Customer, Template: tpl})
		if err == nil && reply.Accepted {
			return fl.awaitRevision(ctx, tpl.Customer, reply.Revision)
		}
		if !clock.Sleep(ctx, readyPoll) {
			return fmt.Errorf("publish the template: %w", errors.Join(context.Cause(ctx), err))
		}
	}
}

// awaitRevision waits until every VM has applied the revision of the customer's template.
func (fl *fleet) awaitRevision(ctx context.Context, customer string, revision uint64) error {
	for ix := range fl.sets {
		for {
			reply, err := fl.operator(ix).Template(ctx, customer)
			if err == nil && reply.Revision >= revision {
				break
			}
			if !clock.Sleep(ctx, readyPoll) {
				return fmt.Errorf("wait for the template at %s: %w", fl.sets[ix].ID, context.Cause(ctx))
			}
		}
	}
	return nil
}

// awaitSeats waits until every VM reports that all VMs are seats for request keys.
func (fl *fleet) awaitSeats(ctx context.Context) error {
	ctx, stop := context.WithTimeoutCause(ctx, readyTimeout.Std(), errNotReady)
	defer stop()
	for ix := range fl.sets {
		for {
			st, err := fl.operator(ix).Status(ctx)
			if err == nil && st.Seats == vmCount {
				break
			}
			if !clock.Sleep(ctx, readyPoll) {
				return fmt.Errorf("wait for the seats at %s: %w", fl.sets[ix].ID, context.Cause(ctx))
			}
		}
	}
	return nil
}

func (fl *fleet) operator(ix int) operator.Client {
	set := fl.sets[ix]
	return operator.Client{Address: set.Operator.Listen.String(), Token: set.Operator.Token}
}

// printInstructions prints how to try the deployment by hand.
func (fl *fleet) printInstructions(out io.Writer) {
	caller, op := fl.sets[0].Caller.Listen, fl.sets[0].Operator.Listen
	fmt.Fprintf(out, `
Try it by hand (Ctrl-C stops):

  curl -H 'Authorization: Bearer %s' http://%s/v1/addresses
  curl -N -H 'Authorization: Bearer %s' -H 'Idempotency-Key: note-1' \
    -d '{"model":"%s","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"Boiler 7, field notes ..."}]}' \
    http://%s/v1/chat/completions
  curl -H 'Authorization: Bearer %s' http://%s/services/%s/records/boiler-7
  alderdyke status --operator %s
  alderdyke explain --operator %s kedelsyn note-1
  (operator token: %s)
`, APIKey, caller, APIKey, Model, caller, APIKey, caller, PlainService, op, op, deployment.OperatorToken)
}

// hosts returns a loopback address for each VM, so that all can use the default ports.
func hosts() []netip.Addr {
	var out []netip.Addr
	for ix := range vmCount {
		out = append(out, netip.AddrFrom4([4]byte{127, 0, 0, byte(ix + 1)}))
	}
	return out
}
