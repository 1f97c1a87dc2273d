package main

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"alderdyke/internal/sched/bench"
	"alderdyke/pkg/refusal"
)

const (
	weightLoad = 1.2 // load at which the weights are compared
	faultLoad  = 1.0 // load at which the sharing policies are compared under faults
)

var (
	loads    = []float64{0.5, 0.8, 1.0, 1.2, 2.0}
	weights  = []float64{0, 0.1, 0.25, 0.5, 0.75, 0.9, 1}
	policies = []bench.Policy{
		bench.Oracle, bench.Cell, bench.Shares, bench.Optimistic,
		bench.TwoChoices, bench.LeastLoad, bench.RoundRobin,
	}
	sharingPolicies = []bench.Policy{bench.Cell, bench.Shares, bench.Optimistic}
	faults          = []bench.Fault{
		bench.NoFault, bench.LostWorker, bench.SlowLink, bench.LaggingReport,
		bench.PausedOwner, bench.DeadOwner,
	}
	seedSets = []seedSet{{"A", []uint64{1, 2, 3}}, {"B", []uint64{1001, 1002, 1003}}}
)

type (
	seedSet struct {
		name  string
		seeds []uint64
	}

	// runKey identifies the runs of one table row.
	runKey struct {
		deployment string
		load       float64
		policy     bench.Policy
		fault      bench.Fault
		weight     float64 // -1 for the deployment's own weight
		set        string
	}

	// report collects the results of all runs.
	report struct {
		workers int
		mu      sync.Mutex
		results map[runKey]bench.Result
	}
)

func newReport(workers int) *report {
	return &report{workers: workers, results: make(map[runKey]bench.Result)}
}

func deployments() []bench.Deployment { return []bench.Deployment{bench.Kedelsyn(), bench.HoaLua()} }

// runKeys returns the keys of all runs.
func runKeys() []runKey {
	var all []runKey
	for _, dp := range deployments() {
		for _, set := range seedSets {
			for _, load := range loads {
				for _, po := range policies {
					all = append(all, runKey{dp.Name, load, po, bench.NoFault, -1, set.name})
				}
			}
		}
		for _, fault := range faults[1:] {
			for _, load := range loads {
				all = append(all, runKey{dp.Name, load, bench.Cell, fault, -1, seedSets[0].name})
			}
			for _, po := range sharingPolicies[1:] {
				all = append(all, runKey{dp.Name, faultLoad, po, fault, -1, seedSets[0].name})
			}
		}
		for _, weight := range weights {
			all = append(all, runKey{dp.Name, weightLoad, bench.Cell, bench.NoFault, weight, seedSets[0].name})
		}
	}
	return all
}

func (rp *report) run() {
	var grp errgroup.Group
	grp.SetLimit(max(1, rp.workers))
	for _, pt := range runKeys() {
		grp.Go(func() error {
			rs := pt.run()
			rp.mu.Lock()
			defer rp.mu.Unlock()
			rp.results[pt] = rs
			return nil
		})
	}
	_ = grp.Wait() // no run returns an error
}

func (pt runKey) run() bench.Result {
	dps := deployments()
	dp := dps[slices.IndexFunc(dps, func(dp bench.Deployment) bool { return dp.Name == pt.deployment })]
	if pt.weight >= 0 {
		dp = dp.WithPrefillWeight(pt.weight)
	}
	set := seedSets[slices.IndexFunc(seedSets, func(set seedSet) bool { return set.name == pt.set })]
	var runs []bench.Result
	for _, seed := range set.seeds {
		runs = append(runs, bench.Run(bench.Setup{
			Deployment: dp, Load: pt.load, Policy: pt.policy, Fault: pt.fault, Seed: seed,
		}))
	}
	return bench.Sum(runs...)
}

// markdown returns the report with all tables.
func (rp *report) markdown() []byte {
	var buf bytes.Buffer
	buf.WriteString(`# Scheduling results

Made by one command, the same at every run:

    go run ./cmd/alderbench --out docs

Each figure is the sum over three seeds of 120 s of arrivals, the first 20 s
not measured. Goodput is the share of the offered requests that met both of
their targets. Wasted prefill is the part of the computed prompt tokens that
became no whole answer. TTFT and TPOT are in milliseconds, of answered
requests. The engines and links are stand-ins: docs/design/scheduling.md says
what they leave out. Unended counts requests without exactly one end, Untrue
counts refusals as not run of requests that an engine had been sent.
`)
	for _, dp := range deployments() {
		for _, set := range seedSets {
			fmt.Fprintf(&buf, "\n## %s, seeds %s\n\n", dp.Name, set.name)
			rp.loadTable(&buf, dp.Name, set.name)
		}
		fmt.Fprintf(&buf, "\n## %s, refusals by reason and attempts after the first, seeds A\n\n", dp.Name)
		rp.refusalTable(&buf, dp.Name)
		fmt.Fprintf(&buf, "\n## %s under faults, seeds A\n\n", dp.Name)
		rp.faultTable(&buf, dp.Name)
		fmt.Fprintf(&buf, "\n## %s by weight of wasted prefill, load %.1f, seeds A\n\n", dp.Name, weightLoad)
		rp.weightTable(&buf, dp.Name)
	}
	buf.WriteString("\n## Plots\n\n")
	for _, name := range plotNames() {
		fmt.Fprintf(&buf, "![%s](plots/%s.svg)\n", name, name)
	}
	return buf.Bytes()
}

func header(buf *bytes.Buffer, names ...string) {
	fmt.Fprintf(buf, "| %s |\n|%s\n", strings.Join(names, " | "), strings.Repeat(" --- |", len(names)))
}

func (rp *report) loadTable(buf *bytes.Buffer, dp, set string) {
	header(buf, "Load", "Policy", "Quick", "Patient", "Both", "Wasted", "Places used",
		"Quick TTFT 50/95/99", "Patient TTFT 50/95/99", "Quick TPOT 50/95/99", "Patient TPOT 50/95/99",
		"Messages a request", "Unended", "Untrue")
	for _, load := range loads {
		for _, po := range policies {
			rs := rp.results[runKey{dp, load, po, bench.NoFault, -1, set}]
			fmt.Fprintf(buf, "| %.1f | %s | %s | %s | %s | %s | %s | %.1f | %d | %d |\n", load, po, goodputColumns(rs),
				quantiles(rs, true, bench.QuickWork), quantiles(rs, true, bench.PatientWork),
				quantiles(rs, false, bench.QuickWork), quantiles(rs, false, bench.PatientWork), messages(rs), rs.Unended, rs.FalseNotRun)
		}
	}
}

// goodputColumns formats the five columns that the load, fault and weight tables share.
func goodputColumns(rs bench.Result) string {
	return fmt.Sprintf("%.4f | %.4f | %.4f | %.4f | %.3f", rs.Goodput(bench.QuickWork),
		rs.Goodput(bench.PatientWork), rs.GoodputAll(), rs.WastedShare(), rs.Occupancy)
}

// messages returns the number of messages between VMs per request.
func messages(rs bench.Result) float64 {
	return float64(rs.Messages) / float64(rs.Arrivals)
}

func quantiles(rs bench.Result, ttft bool, wk bench.Work) string {
	hs := rs.TPOT[wk]
	if ttft {
		hs = rs.TTFT[wk]
	}
	return fmt.Sprintf("%d/%d/%d", hs.ValueAtQuantile(50), hs.ValueAtQuantile(95), hs.ValueAtQuantile(99))
}

func (rp *report) refusalTable(buf *bytes.Buffer, dp string) {
	header(buf, "Load", "Policy", "Refusals", "More attempts", "Offered")
	for _, load := range loads[2:] {
		for _, po := range policies {
			rs := rp.results[runKey{dp, load, po, bench.NoFault, -1, seedSets[0].name}]
			fmt.Fprintf(buf, "| %.1f | %s | %s | %d | %d |\n", load, po, reasons(rs), rs.Retries,
				rs.Offered[bench.QuickWork]+rs.Offered[bench.PatientWork])
		}
	}
}

func reasons(rs bench.Result) string {
	var names []refusal.Reason
	for why := range rs.Refused {
		names = append(names, why)
	}
	slices.Sort(names)
	var parts []string
	for _, why := range names {
		parts = append(parts, fmt.Sprintf("%s %d", why, rs.Refused[why]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func (rp *report) faultTable(buf *bytes.Buffer, dp string) {
	header(buf, "Load", "Fault", "Policy", "Quick", "Patient", "Both", "Wasted", "Places used",
		"Quick TTFT 50/95/99", "Refusals", "Unended", "Untrue")
	for _, load := range loads {
		for _, fault := range faults {
			for _, po := range sharingPolicies {
				rs, ok := rp.results[runKey{dp, load, po, fault, -1, seedSets[0].name}]
				if !ok || (fault == bench.NoFault && load != faultLoad) {
					continue
				}
				name := string(fault)
				if fault == bench.NoFault {
					name = "none"
				}
				fmt.Fprintf(buf, "| %.1f | %s | %s | %s | %s | %s | %d | %d |\n", load, name, po, goodputColumns(rs),
					quantiles(rs, true, bench.QuickWork), reasons(rs), rs.Unended, rs.FalseNotRun)
			}
		}
	}
}

func (rp *report) weightTable(buf *bytes.Buffer, dp string) {
	header(buf, "PrefillWeight", "Quick", "Patient", "Both", "Wasted", "Places used")
	for _, weight := range weights {
		rs := rp.results[runKey{dp, weightLoad, bench.Cell, bench.NoFault, weight, seedSets[0].name}]
		fmt.Fprintf(buf, "| %.2f | %s |\n", weight, goodputColumns(rs))
	}
}
