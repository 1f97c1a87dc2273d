package slope

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is the least-squares fit of a series.
type Fit struct {
	Shape     Shape
	Intercept float64
	Slope     float64 // change per unit of what grows, or per factor e of it
	RSquared  float64 // 1 if all points are on the fit
	Residual  float64 // standard deviation of the points around the fit
	Worst     float64 // largest deviation of a point, relative to the point's value
	AtTarget  float64 // value of the fit at the series' target
}

// Fit fits the series' shape to its points. A Constant series, or one with fewer than
// two points, is fitted by its mean.
func (se *Series) Fit() Fit {
	xs, ys := make([]float64, len(se.Points)), make([]float64, len(se.Points))
	for ix, pt := range se.Points {
		xs[ix], ys[ix] = se.Shape.scale(pt.X), pt.Y
	}
	ft := Fit{Shape: se.Shape}
	if len(ys) == 0 {
		return ft
	}
	if se.Shape == Constant || len(ys) < 2 {
		ft.Intercept = stat.Mean(ys, nil)
	} else {
		ft.Intercept, ft.Slope = stat.LinearRegression(xs, ys, nil, false)
		ft.RSquared = stat.RSquared(xs, ys, nil, ft.Intercept, ft.Slope)
	}
	var squares float64
	for ix, pt := range se.Points {
		off := ys[ix] - ft.at(xs[ix])
		squares += off * off
		if pt.Y != 0 {
			ft.Worst = max(ft.Worst, math.Abs(off/pt.Y))
		}
	}
	ft.Residual = math.Sqrt(squares / float64(len(ys)))
	ft.AtTarget = ft.at(se.Shape.scale(se.Target))
	return ft
}

// at returns the value of the fit at a scaled size.
func (ft Fit) at(scaled float64) float64 { return ft.Intercept + ft.Slope*scaled }

// At returns the value of the fit at a size.
func (ft Fit) At(along float64) float64 { return ft.at(ft.Shape.scale(along)) }

func (sh Shape) scale(along float64) float64 {
	if sh == Logarithmic {
		return math.Log(max(along, 1))
	}
	return along
}
