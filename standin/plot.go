package standin

import (
	"fmt"
	"html"
	"io"
	"math"
)

// Series is one line of a plot.
type Series struct {
	Name string
	X, Y []float64
}

// Plot is a line chart.
type Plot struct {
	Title, XLabel, YLabel string
	LogY                  bool
	Series                []Series
}

// Dimensions of a plot in pixels and the number of intervals between axis ticks. The margins plotLeft, plotRight, plotTop and
// plotBottom contain the title, the axis labels and the legend.
const (
	plotWidth, plotHeight                    = 860, 460
	plotLeft, plotRight                      = 80, 200
	plotTop, plotBottom                      = 40, 50
	plotTicks                                = 5
	plotInnerWidth                           = plotWidth - plotLeft - plotRight
	plotInnerHeight                          = plotHeight - plotTop - plotBottom
	plotLegendLineHeight, plotLegendBaseline = 18, 5
)

var plotColours = [...]string{"#1b6ca8", "#c8553d", "#4f7942", "#7d5ba6", "#c99700", "#2f4858", "#a23b72", "#5c8d89"}

// Write writes the plot as SVG.
func (p Plot) Write(w io.Writer) error {
	lowX, highX := math.Inf(1), math.Inf(-1)
	lowY, highY := math.Inf(1), math.Inf(-1)
	for _, s := range p.Series {
		for i := range s.X {
			y := p.axisValue(s.Y[i])
			lowX, highX = min(lowX, s.X[i]), max(highX, s.X[i])
			lowY, highY = min(lowY, y), max(highY, y)
		}
	}
	if math.IsInf(lowX, 0) {
		lowX, highX, lowY, highY = 0, 1, 0, 1
	}
	if !p.LogY {
		lowY = min(0, lowY)
	}
	// All values of an axis can be equal. A minimum range avoids a division by zero.
	highX, highY = max(highX, lowX+1e-9), max(highY, lowY+1e-9)
	x := func(v float64) float64 { return plotLeft + (v-lowX)/(highX-lowX)*plotInnerWidth }
	y := func(v float64) float64 { return plotTop + (highY-v)/(highY-lowY)*plotInnerHeight }

	out := &errWriter{w: w}
	out.printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth, plotHeight)
	out.printf(`<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="24" font-size="15">%s</text>`+"\n", plotLeft,
		html.EscapeString(p.Title))
	for i := range plotTicks + 1 {
		fraction := float64(i) / plotTicks
		vx, vy := lowX+fraction*(highX-lowX), lowY+fraction*(highY-lowY)
		label := vy
		if p.LogY {
			label = math.Pow(10, vy)
		}
		out.printf(`<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="%d" y="%.1f" text-anchor="end">%.4g</text>`+"\n",
			plotLeft, plotLeft+plotInnerWidth, y(vy), y(vy), plotLeft-6, y(vy)+4, label)
		out.printf(`<text x="%.1f" y="%d" text-anchor="middle">%.4g</text>`+"\n", x(vx), plotHeight-plotBottom+18, vx)
	}
	out.printf(`<text x="%d" y="%d" text-anchor="middle">%s</text>`+"\n", plotLeft+plotInnerWidth/2, plotHeight-10,
		html.EscapeString(p.XLabel))
	out.printf(`<text transform="translate(18,%d) rotate(-90)" text-anchor="middle">%s</text>`+"\n", plotTop+plotInnerHeight/2,
		html.EscapeString(p.YLabel))
	for i, s := range p.Series {
		colour := plotColours[i%len(plotColours)]
		out.printf(`<polyline fill="none" stroke="%s" stroke-width="2" points="`, colour)
		for j := range s.X {
			out.printf("%.1f,%.1f ", x(s.X[j]), y(p.axisValue(s.Y[j])))
		}
		line := plotTop + i*plotLegendLineHeight
		out.printf(`"/><text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotLeft+plotInnerWidth+10, line+plotLegendBaseline, colour,
			html.EscapeString(s.Name))
	}
	out.printf("</svg>\n")
	return out.err
}

// axisValue returns the position of a value on the y axis. A logarithmic axis cannot show zero and negative values, so
// values below 0.001 are drawn at 0.001.
func (p Plot) axisValue(v float64) float64 {
	if p.LogY {
		return math.Log10(max(v, 1e-3))
	}
	return v
}

// errWriter stores the first error of a sequence of writes and skips the writes after it.
type errWriter struct {
	w   io.Writer
	err error
}

func (e *errWriter) printf(format string, args ...any) {
	if e.err == nil {
		_, e.err = fmt.Fprintf(e.w, format, args...)
	}
}
