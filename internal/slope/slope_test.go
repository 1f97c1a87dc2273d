package slope

import (
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
)

func testSeries(shape Shape, values ...float64) *Series {
	se := &Series{Name: "Line", Along: "VMs", Unit: "B", Kind: Count, Shape: shape, Target: 100}
	for ix, val := range values {
		se.addPoint(1<<ix, val)
	}
	return se
}

func TestFit(t *testing.T) {
	tests := []struct {
		name             string
		se               *Series
		intercept, slope float64
		atTarget, worst  float64
	}{
		{"line", testSeries(Linear, 5, 7, 11, 19), 3, 2, 203, 0},
		{"logarithm", testSeries(Logarithmic, 1, 1+math.Ln2, 1+2*math.Ln2), 1, 1, 1 + math.Log(100), 0},
		{"constant", testSeries(Constant, 8, 10, 12), 10, 0, 10, 0.25},
		{"one point", testSeries(Linear, 4), 4, 0, 4, 0},
		{"no point", testSeries(Linear), 0, 0, 0, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ft := tc.se.Fit()
			for _, pair := range [][2]float64{
				{ft.Intercept, tc.intercept}, {ft.Slope, tc.slope}, {ft.AtTarget, tc.atTarget}, {ft.Worst, tc.worst},
			} {
				assert.Assert(t, math.Abs(pair[0]-pair[1]) < 1e-9, "%v, want %v", pair[0], pair[1])
			}
		})
	}
}

func TestWriteHoldsAllPointsFitsAndFacts(t *testing.T) {
	rp := &Report{Series: []*Series{testSeries(Linear, 5, 7, 11)}}
	rp.addFact("OneFact", Count, 42, "B")
	folder := t.TempDir()
	assert.NilError(t, rp.Write(folder))
	for name, wants := range map[string][]string{
		PointsFile: {"Line,Count,VMs,4,11,B\n", "OneFact,Count,Fact,,42,B\n"},
		TableFile:  {"| [Line](Line.svg) | Count | VMs | 3 +2 x |", "| OneFact | Count | 42 | B |"},
		"Line.svg": {"<svg ", "VMs"},
	} {
		text, err := os.ReadFile(filepath.Join(folder, name))
		assert.NilError(t, err)
		for _, want := range wants {
			assert.Assert(t, strings.Contains(string(text), want), "%s lacks %q:\n%s", name, want, text)
		}
	}
}

func TestStudiesNamed(t *testing.T) {
	all, err := StudiesNamed(nil)
	assert.NilError(t, err)
	assert.Equal(t, len(all), len(Studies()))
	one, err := StudiesNamed([]string{"claims"})
	assert.NilError(t, err)
	assert.Equal(t, one[0].Name, "claims")
	_, err = StudiesNamed([]string{"claims", "nothing"})
	var ue UnknownStudyError
	assert.Assert(t, errors.As(err, &ue) && ue.Name == "nothing")
}

// The traffic of idle membership must not grow with the fleet. A test of
// internal/membership covers up to 380 VMs.
func TestMembershipDoesNotGrowWithTheFleet(t *testing.T) {
	const settle, span = 80 * clock.Second, 20 * clock.Second
	messages, bytes := make(map[int]float64), make(map[int]float64)
	for _, size := range []int{12, 96} {
		vf := newVirtualFleet(size, membersSeed)
		assert.Assert(t, vf.run(membersTimeout, vf.healthAgreed), "%d VMs do not agree", size)
		vf.run(settle, nil)
		vf.resetCounts()
		vf.run(span, nil)
		messages[size], bytes[size] = vf.meanTraffic()
		messages[size] /= seconds(span)
		bytes[size] /= seconds(span)
	}
	t.Logf("datagrams a second %v, bytes a second %v", messages, bytes)
	assert.Assert(t, messages[96] <= 1.2*messages[12] && bytes[96] <= 1.2*bytes[12])
	assert.Assert(t, bytes[96] <= 1100, "%v B/s", bytes[96])
}

// A request key must cost the same calls in any fleet, and a duplicate at most two more.
func TestClaimCallsDoNotGrowWithTheFleet(t *testing.T) {
	calls := func(vms, duplicates int) float64 {
		cf := newClaimFleet(vms)
		assert.NilError(t, cf.runLoad(duplicates))
		return float64(cf.calls) / claimSpan
	}
	small, large := calls(24, 0), calls(190, 0)
	assert.Assert(t, small <= 8*claimRate && large <= 8*claimRate, "%v and %v calls a second", small, large)
	assert.Assert(t, large <= 1.1*small)
	assert.Assert(t, calls(24, 50)-small <= 2*50)
}

// The steps of one decision must grow much more slowly than the engines of the cell.
func TestStepsOfADecision(t *testing.T) {
	steps := func(count int) float64 {
		se := &Series{}
		cs := cellSeries{steps: se, time: &Series{}, memory: &Series{}}
		assert.NilError(t, cs.measure(count))
		return se.Points[0].Y
	}
	small, large := steps(12), steps(600)
	assert.Assert(t, large <= 2*small, "%v steps at 12 engines, %v at 600", small, large)
}

// Limits the bytes of one claim, one update and one reservation between two VMs.
func TestBytesBetweenVMs(t *testing.T) {
	rp := &Report{}
	assert.NilError(t, measureCalls(context.Background(), rp))
	for name, most := range map[string]float64{
		"SessionSetupBytes": 5000, "ClaimCallBytes": 500, "UpdateCallBytes": 500, "ReservationBytes": 1300,
	} {
		fa, ok := rp.FindFact(name)
		assert.Assert(t, ok && fa.Value > 0 && fa.Value <= most, "%s: %v", name, fa.Value)
	}
}

// An unchanged VM list must cost the same at any length.
func TestUnchangedListCostsTheSame(t *testing.T) {
	same, whole := &Series{}, &Series{}
	for _, count := range []int{20, 980} {
		assert.NilError(t, fetchList(context.Background(), count, whole, same, &Series{}))
	}
	assert.Equal(t, same.Points[0].Y, same.Points[1].Y)
	assert.Assert(t, same.Points[1].Y <= 300 && whole.Points[1].Y > 100*same.Points[1].Y)
}

// Limits the memory of a request key's record and of a customer's configuration.
func TestMemoryOfRecords(t *testing.T) {
	rp := &Report{}
	assert.NilError(t, measureRecords(rp))
	se, ok := rp.FindSeries("ClaimRecordMemory")
	assert.Assert(t, ok)
	assert.Assert(t, se.Fit().Slope <= 400, "%v B a record", se.Fit().Slope)

	assert.NilError(t, measureCustomers(context.Background(), rp))
	for name, most := range map[string]float64{"RegisterMemory": 4000, "SnapshotBytes": 1200, "RestateBytes": 1200} {
		se, ok := rp.FindSeries(name)
		assert.Assert(t, ok)
		assert.Assert(t, se.Fit().Slope <= most, "%s: %v B a customer", name, se.Fit().Slope)
	}
}
