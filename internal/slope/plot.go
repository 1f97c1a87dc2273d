package slope

import (
	"fmt"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// plot draws the points and the fit up to the target, and saves them to a file.
func (se *Series) plot(path string) error {
	pl := plot.New()
	pl.Title.Text = se.Name
	pl.X.Label.Text, pl.Y.Label.Text = se.Along, se.Unit
	pl.X.Min, pl.Y.Min = 0, 0
	points := make(plotter.XYs, len(se.Points))
	most := se.Target
	for ix, pt := range se.Points {
		points[ix] = plotter.XY{X: pt.X, Y: pt.Y}
		most = math.Max(most, pt.X)
	}
	sc, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("draw the points: %w", err)
	}
	ft := se.Fit()
	line := plotter.NewFunction(ft.At)
	line.XMin, line.XMax = 1, most
	line.Color = color.RGBA{B: 200, A: 255}
	pl.Add(plotter.NewGrid(), sc, line)
	pl.X.Max, pl.Y.Max = most, math.Max(pl.Y.Max, ft.At(most))
	if err := pl.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save the plot: %w", err)
	}
	return nil
}
