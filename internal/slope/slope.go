// Package slope measures how the cost of one VM's control grows with the
// fleet, the backend servers, the customers and the load, and fits a line to
// each measurement.
//
// A study runs real parts of the program at several sizes and adds points to
// named series. Counts of messages, bytes, steps and records are the same on
// every machine. Memory is what the Go heap and stacks hold after a
// collection. Processor time is that of the whole process while nothing else
// runs in it; it depends on the machine and its load.
//
// # Usage
//
//	rp := &slope.Report{}
//	err := slope.Run(ctx, slope.Studies(), rp)
//	for _, se := range rp.Series {
//		ft := se.Fit()
//	}
//	err = rp.Write("docs/capacity")
package slope

import (
	"context"
	"fmt"
	"slices"
)

// What a value depends on.
const (
	// Count is of messages, bytes, steps or records: the same on every machine.
	Count Kind = "Count"
	// Memory is of the Go heap and stacks after a collection.
	Memory Kind = "Memory"
	// Time is processor time of this machine.
	Time Kind = "Time"
)

// Shapes of a fit.
const (
	Linear      Shape = "Linear"      // a + b x
	Logarithmic Shape = "Logarithmic" // a + b ln x
	Constant    Shape = "Constant"    // the mean, for what must not grow
)

type (
	// Kind tells what a value depends on.
	Kind string

	// Shape of a fit.
	Shape string

	// Point is one measurement.
	Point struct{ X, Y float64 }

	// Series is one value at several sizes.
	Series struct {
		Name   string // also names it in the files that are written
		Along  string // what grows
		Unit   string // of the value
		Kind   Kind
		Shape  Shape
		Target float64 // size for which the fit is read off
		Points []Point
	}

	// Fact is one value that belongs to no series.
	Fact struct {
		Name  string
		Value float64
		Unit  string
		Kind  Kind
	}

	// Report collects what was measured. The zero Report is empty.
	Report struct {
		Series []*Series
		Facts  []Fact
	}

	// Study measures one matter.
	Study struct {
		Name string
		Run  func(ctx context.Context, rp *Report) error
	}

	// UnknownStudyError names a study that there is none of.
	UnknownStudyError struct{ Name string }
)

// Error names the study.
func (ue UnknownStudyError) Error() string { return fmt.Sprintf("there is no study %q", ue.Name) }

// Studies lists all studies, those first whose figures a busy process would
// disturb.
func Studies() []Study {
	return []Study{
		{"streams", measureStreams},
		{"wire", measureWire},
		{"members", measureMembers},
		{"engines", measureEngines},
		{"platform", measurePlatform},
		{"customers", measureCustomers},
		{"claims", measureClaims},
		{"fleet", measureFleet},
	}
}

// StudiesNamed picks studies by their names; none picks all.
func StudiesNamed(names []string) ([]Study, error) {
	all := Studies()
	if len(names) == 0 {
		return all, nil
	}
	var out []Study
	for _, name := range names {
		ix := slices.IndexFunc(all, func(sd Study) bool { return sd.Name == name })
		if ix < 0 {
			return nil, UnknownStudyError{Name: name}
		}
		out = append(out, all[ix])
	}
	return out, nil
}

// Run runs studies one after another.
func Run(ctx context.Context, studies []Study, rp *Report) error {
	for _, sd := range studies {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("before the study of %s: %w", sd.Name, err)
		}
		if err := sd.Run(ctx, rp); err != nil {
			return fmt.Errorf("study of %s: %w", sd.Name, err)
		}
	}
	return nil
}

// addSeries begins a series.
func (rp *Report) addSeries(se Series) *Series {
	out := &se
	rp.Series = append(rp.Series, out)
	return out
}

// addPoint measures a point.
func (se *Series) addPoint(along int, value float64) {
	se.Points = append(se.Points, Point{X: float64(along), Y: value})
}

// addFact adds a value that belongs to no series.
func (rp *Report) addFact(name string, kind Kind, value float64, unit string) {
	rp.Facts = append(rp.Facts, Fact{Name: name, Value: value, Unit: unit, Kind: kind})
}

// FindSeries returns a series by its name.
func (rp *Report) FindSeries(name string) (*Series, bool) {
	ix := slices.IndexFunc(rp.Series, func(se *Series) bool { return se.Name == name })
	if ix < 0 {
		return nil, false
	}
	return rp.Series[ix], true
}

// FindFact returns a fact by its name.
func (rp *Report) FindFact(name string) (Fact, bool) {
	ix := slices.IndexFunc(rp.Facts, func(fa Fact) bool { return fa.Name == name })
	if ix < 0 {
		return Fact{}, false
	}
	return rp.Facts[ix], true
}
