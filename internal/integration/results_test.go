package integration

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// results collects the results of all tests of one run.
var results = &report{faults: make(map[string]int), durations: make(map[string][]time.Duration)}

type report struct {
	mu         sync.Mutex
	faults     map[string]int
	durations  map[string][]time.Duration
	histories  int
	calls      int
	violations int
}

// countFault counts an injected fault.
func (rp *report) countFault(kind string) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.faults[kind]++
}

// recordDuration records how long something took.
func (rp *report) recordDuration(what string, took time.Duration) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.durations[what] = append(rp.durations[what], took)
}

// countHistory counts a checked history with its calls and violations.
func (rp *report) countHistory(calls, violations int) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.histories++
	rp.calls += calls
	rp.violations += violations
}

// write writes the tables of results to a file.
func (rp *report) write(file string) error {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	var sb strings.Builder
	sb.WriteString("# Results under faults\n\nMade by `go test ./internal/integration -results docs/RESULTS-faults.md`: entry VMs as\n" +
		"real processes on one machine, stand-ins for all other services. Times are measured from\n" +
		"the fault, or from the acceptance of a revision, until a test observed the end. They\n" +
		"include the effect of other load on the machine.\n\n")
	fmt.Fprintf(&sb, "%d histories with %d calls were checked; %d violations were found.\n\n", rp.histories, rp.calls, rp.violations)
	sb.WriteString("| Fault | Times injected |\n| --- | --- |\n")
	for _, kind := range sortedKeys(rp.faults) {
		fmt.Fprintf(&sb, "| %s | %d |\n", kind, rp.faults[kind])
	}
	sb.WriteString("\n| Time | Measured | Median | Longest |\n| --- | --- | --- | --- |\n")
	for _, what := range sortedKeys(rp.durations) {
		took := slices.Clone(rp.durations[what])
		slices.Sort(took)
		fmt.Fprintf(&sb, "| %s | %d | %s | %s |\n", what, len(took), round(took[len(took)/2]), round(took[len(took)-1]))
	}
	if err := os.WriteFile(file, []byte(sb.String()), 0o644); err != nil {
		return fmt.Errorf("write the tables: %w", err)
	}
	return nil
}

func round(took time.Duration) string { return took.Round(10 * time.Millisecond).String() }

func sortedKeys[Value any](by map[string]Value) []string {
	var out []string
	for name := range by {
		out = append(out, name)
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}
