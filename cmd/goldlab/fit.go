package main

import (
	"fmt"
	"io"
	"math"
)

// point is one measurement: the cost Y at the size X.
type point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// slope is a cost as a function of one size, with a line fitted by least squares.
type slope struct {
	Name      string  `json:"name"`
	Size      string  `json:"size"`
	Unit      string  `json:"unit"`
	Points    []point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Residual  float64 `json:"residual"` // root mean square of the vertical distances of the points from the line
}

// fitLine fits a line to points by least squares. If all points have the same X, the slope is 0.
func fitLine(points []point) (slope, intercept, residual float64) {
	if len(points) == 0 {
		return 0, 0, 0
	}
	n := float64(len(points))
	var meanX, meanY, xx, xy float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
	}
	if xx > 0 {
		slope = xy / xx
	}
	intercept = meanY - slope*meanX
	for _, p := range points {
		d := p.Y - intercept - slope*p.X
		residual += d * d / n
	}
	return slope, intercept, math.Sqrt(residual)
}

// newSlope returns a slope with the given points and the line fitted to them.
func newSlope(name, size, unit string, points []point) slope {
	s := slope{Name: name, Size: size, Unit: unit, Points: points}
	s.Slope, s.Intercept, s.Residual = fitLine(points)
	return s
}

// writeSlopes writes a table of slopes with their points.
func writeSlopes(w io.Writer, slopes []slope) {
	var rows [][]string
	for _, s := range slopes {
		values := ""
		for _, p := range s.Points {
			values += fmt.Sprintf(" %g:%.4g", p.X, p.Y)
		}
		rows = append(rows, []string{s.Name, s.Size, s.Unit, values,
			fmt.Sprintf("%.4g", s.Slope), fmt.Sprintf("%.4g", s.Intercept), fmt.Sprintf("%.2g", s.Residual)})
	}
	writeTable(w, []string{"cost", "per", "unit", "points", "slope", "intercept", "residual"}, rows)
}
