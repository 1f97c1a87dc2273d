package claim

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes the random schedules deterministic, unless a seed or a number of
// checks is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(fl *flag.Flag) { given[fl.Name] = true })
	for nm, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "1000"} {
		if given[nm] {
			continue
		}
		if err := flag.Set(nm, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
