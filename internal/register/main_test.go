package register

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of random schedules, so that each run has the same result;
// -rapid.seed sets another one.
func TestMain(mm *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("20261202"); err != nil {
			panic(err)
		}
	}
	os.Exit(mm.Run())
}
