package main

import (
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"alderdyke/internal/sched/bench"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// curve is a quantity plotted over the load.
type curve struct {
	name  string
	title string
	value func(bench.Result) float64
}

var curves = []curve{
	{"goodput", "Goodput of both classes", bench.Result.GoodputAll},
	{"quick", "Goodput of quick work", func(rs bench.Result) float64 { return rs.Goodput(bench.QuickWork) }},
	{"patient", "Goodput of patient work", func(rs bench.Result) float64 { return rs.Goodput(bench.PatientWork) }},
	{"wasted", "Wasted prefill", bench.Result.WastedShare},
}

func slug(name string) string { return strings.ToLower(strings.ReplaceAll(name, " ", "-")) }

// plotNames returns the file names of the plots without extension.
func plotNames() []string {
	var names []string
	for _, dp := range deployments() {
		for _, cv := range curves {
			names = append(names, "scheduling-"+slug(dp.Name)+"-"+cv.name)
		}
		names = append(names, "scheduling-"+slug(dp.Name)+"-weight")
	}
	return names
}

// plot draws all curves for the first set of seeds.
func (rp *report) plot(dir string) error {
	for _, dp := range deployments() {
		for _, cv := range curves {
			if err := rp.plotLoads(dir, dp.Name, cv); err != nil {
				return fmt.Errorf("%s of %s: %w", cv.name, dp.Name, err)
			}
		}
		if err := rp.plotWeights(dir, dp.Name); err != nil {
			return fmt.Errorf("weights of %s: %w", dp.Name, err)
		}
	}
	return nil
}

func (rp *report) plotLoads(dir, dp string, cv curve) error {
	pl := plot.New()
	pl.Title.Text = cv.title + ", " + dp
	pl.X.Label.Text = "offered load, parts of capacity"
	pl.Legend.Top = cv.name == "wasted"
	pl.Legend.Left = true
	var lines []any
	for _, po := range policies {
		pts := make(plotter.XYs, len(loads))
		for ix, load := range loads {
			pts[ix].X = load
			pts[ix].Y = cv.value(rp.results[runKey{dp, load, po, bench.NoFault, -1, seedSets[0].name}])
		}
		lines = append(lines, string(po), pts)
	}
	return save(pl, filepath.Join(dir, "scheduling-"+slug(dp)+"-"+cv.name+".svg"), lines)
}

func (rp *report) plotWeights(dir, dp string) error {
	pl := plot.New()
	pl.Title.Text = fmt.Sprintf("Weight of wasted prefill, load %.1f, %s", weightLoad, dp)
	pl.X.Label.Text = "wasted prefill, percent"
	pl.Y.Label.Text = "goodput of patient work"
	pts := make(plotter.XYs, len(weights))
	names := make([]string, len(weights))
	for ix, weight := range weights {
		rs := rp.results[runKey{dp, weightLoad, bench.Cell, bench.NoFault, weight, seedSets[0].name}]
		pts[ix].X = 100 * rs.WastedShare()
		pts[ix].Y = rs.Goodput(bench.PatientWork)
		names[ix] = fmt.Sprintf(" %.2f", weight)
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: pts, Labels: names})
	if err != nil {
		return fmt.Errorf("label the weights: %w", err)
	}
	pl.Add(labels)
	return save(pl, filepath.Join(dir, "scheduling-"+slug(dp)+"-weight.svg"), []any{"PrefillWeight", pts})
}

func save(pl *plot.Plot, path string, lines []any) error {
	pl.Add(plotter.NewGrid())
	if err := plotutil.AddLinePoints(pl, lines...); err != nil {
		return fmt.Errorf("add the lines: %w", err)
	}
	if err := pl.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save %s: %w", path, err)
	}
	return nil
}
