package usage

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestDemandOfAllVMs(t *testing.T) {
	var le Ledger
	own := Demand{Prefill: 100, Decode: 300, Seen: 10}
	assert.Equal(t, le.Demand(0, "s", Demand{}), Demand{})
	assert.Equal(t, le.Demand(0, "s", own), own)
	le.Heard(1000, "vm-2", Report{Demands: map[string]Demand{"s": {Prefill: 130, Decode: 390, Seen: 20}}})
	le.Heard(1500, "vm-2", Report{})
	assert.Equal(t, le.Demand(2000, "s", own), Demand{Prefill: 120, Decode: 360, Seen: 30}, "a word without it takes nothing back")
	assert.Equal(t, le.Demand(2000, "t", own), own, "another service")
	assert.Equal(t, le.Demand(1000+demandLife, "s", own), own, "an old word counts no more")
}
