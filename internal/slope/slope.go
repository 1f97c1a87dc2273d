// Package slope measures how one VM's control cost grows with the fleet, the backend
// servers, the customers and the load, and fits a curve to each measurement.
//
// A study runs real parts of the program at several sizes and adds points to named
// series. Counts of messages, bytes, steps and records are the same on every computer.
// Memory is what the Go heap and stacks hold after garbage collection. Processor time is
// that of the whole process while nothing else runs in it; it depends on the computer and
// its load.
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

// Kinds of a value, by what it depends on.
const (
	// Count is a number of messages, bytes, steps or records: the same on every computer.
	Count Kind = "Count"
	// Memory is the size of the Go heap and stacks after garbage collection.
	Memory Kind = "Memory"
	// Time is processor time and depends on the computer.
	Time Kind = "Time"
)

// Shapes of a fit.
const (
	Linear      Shape = "Linear"      // a + b x
	Logarithmic Shape = "Logarithmic" // a + b ln x
	Constant    Shape = "Constant"    // the mean, for values that must not grow
)

type (
	// Kind is what a value depends on.
	Kind string

	// Shape is the shape of a fit.
	Shape string

	// Point is one measurement.
	Point struct{ X, Y float64 }

	// Series is one quantity measured at several sizes.
	Series struct {
		Name   string // also the base name of the plot file
		Along  string // what grows, on the X axis
		Unit   string // of the value, on the Y axis
		Kind   Kind
		Shape  Shape
		Target float64 // size at which the fit is evaluated
		Points []Point
	}

	// Fact is a single value that belongs to no series.
	Fact struct {
		Name  string
		Value float64
		Unit  string
		Kind  Kind
	}

	// Report collects the measurements. The zero Report is empty and ready to use.
	Report struct {
		Series []*Series
		Facts  []Fact
	}

	// Study is a group of measurements that is run together.
	Study struct {
		Name string
		Run  func(ctx context.Context, rp *Report) error
	}

	// UnknownStudyError reports that no study has the name.
	UnknownStudyError struct{ Name string }
)

// Error implements the error interface. It names the study.
func (ue UnknownStudyError) Error() string { return fmt.Sprintf("study %q does not exist", ue.Name) }

// Studies returns all studies. Those whose figures would be disturbed by what other
// studies leave in the process come first.
func Studies() []Study {
	return []Study{
		{"streams", measureStreams},
		{"ingress", measureConnections},
		{"wire", measureWire},
		{"members", measureMembers},
		{"engines", measureEngines},
		{"platform", measurePlatform},
		{"customers", measureCustomers},
		{"claims", measureClaims},
		{"fleet", measureFleet},
	}
}

// StudiesNamed returns the studies with the given names, or all of them without names.
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

// Run runs the studies one after another. It stops at the first error.
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

// addSeries adds an empty series to the report.
func (rp *Report) addSeries(se Series) *Series {
	out := &se
	rp.Series = append(rp.Series, out)
	return out
}

// addPoint adds a measured point.
func (se *Series) addPoint(along int, value float64) {
	se.Points = append(se.Points, Point{X: float64(along), Y: value})
}

// addFact adds a value that belongs to no series.
func (rp *Report) addFact(name string, kind Kind, value float64, unit string) {
	rp.Facts = append(rp.Facts, Fact{Name: name, Value: value, Unit: unit, Kind: kind})
}

// FindSeries returns the series with the given name.
func (rp *Report) FindSeries(name string) (*Series, bool) {
	ix := slices.IndexFunc(rp.Series, func(se *Series) bool { return se.Name == name })
	if ix < 0 {
		return nil, false
	}
	return rp.Series[ix], true
}

// FindFact returns the fact with the given name.
func (rp *Report) FindFact(name string) (Fact, bool) {
	ix := slices.IndexFunc(rp.Facts, func(fa Fact) bool { return fa.Name == name })
	if ix < 0 {
		return Fact{}, false
	}
	return rp.Facts[ix], true
}
