// Package metrics holds the counters of one VM and serves them in the
// Prometheus text format.
//
// Every metric is created from a [tally.Scope]. Names are in Pascal case, and
// the parts of a name are joined by an underscore: the counter Refusals of
// the subscope Caller is Caller_Refusals. Each VM has its own Prometheus
// registry, so that several VMs can run in one process.
//
// # Usage
//
//	mt := metrics.New("aarhus-a-1")
//	defer mt.Close()
//	rf := &metrics.Refusals{Scope: mt.Scope.SubScope("Caller")}
//	rf.Inc("findings", refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.QueueFull})
//	http.Handle("/metrics", mt.Handler())
package metrics

import (
	"fmt"
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"alderdyke/pkg/clock"
)

// reportInterval is the interval at which the scope reports counts to the registry.
const reportInterval = clock.Second

// sanitizer allows in tag values every character that the names of customers,
// classes and services may contain, so that two names never become the same value.
var sanitizer = tally.SanitizeOptions{
	NameCharacters: tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.', '/', ':'},
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Metrics holds the counters of one VM. Create it with [New] and close it after use.
type Metrics struct {
	Scope tally.Scope

	reporter tallyprom.Reporter
	closer   io.Closer
}

// New creates the metrics of a VM; each metric has the VM's ID as its tag VM.
func New(vm string) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		Gatherer:   registry,
		// Registering one name with two sets of tags is a programming error. The
		// second set is not counted, so that no request fails because of it.
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Tags:                   map[string]string{"VM": vm},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &sanitizer,
		OmitCardinalityMetrics: true,
	}, reportInterval.Std())
	return &Metrics{Scope: scope, reporter: reporter, closer: closer}
}

// Handler serves all metrics in the Prometheus text format.
func (mt *Metrics) Handler() http.Handler { return mt.reporter.HTTPHandler() }

// Close reports the last counts and stops the background reporting.
func (mt *Metrics) Close() error {
	if err := mt.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
