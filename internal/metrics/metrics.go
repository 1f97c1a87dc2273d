// Package metrics gives one VM its counters and shows them in the Prometheus
// text format.
//
// Every metric goes through a [tally.Scope]. Names are in Pascal case, and
// the parts of a name are joined by an underscore: the counter Refusals of
// the subscope Caller is Caller_Refusals. Each VM has a registry of its own,
// so that several can run in one process.
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

// reportInterval is how often counts go from the scope to the registry.
const reportInterval = clock.Second

// sanitizer lets the characters of customers', classes' and services' names
// stand in tag values, so that no two of them become one.
var sanitizer = tally.SanitizeOptions{
	NameCharacters: tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.', '/', ':'},
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Metrics is the counters of one VM. Make it with [New] and close it.
type Metrics struct {
	Scope tally.Scope

	reporter tallyprom.Reporter
	closer   io.Closer
}

// New makes the counters of a VM; each carries its ID as the tag VM.
func New(vm string) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		Gatherer:   registry,
		// One name with two sets of tags is a fault of the code; the second
		// set is not counted, and no request pays for it.
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

// Handler shows all metrics in the Prometheus text format.
func (mt *Metrics) Handler() http.Handler { return mt.reporter.HTTPHandler() }

// Close passes the last counts on and ends the work in the background.
func (mt *Metrics) Close() error {
	if err := mt.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
