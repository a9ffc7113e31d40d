package plot

import (
	"math"
	"strconv"
)

// The drawing area and its margins, in SVG units.
const (
	width        = 640.0
	height       = 250.0
	marginLeft   = 60.0
	marginRight  = 30.0
	marginTop    = 30.0
	marginBottom = 60.0
)

// targetTicks is about how many marks an axis gets.
const targetTicks = 5

// niceTop returns a round number not below the largest value, and the step of
// the marks up to it.
func niceTop(largest float64) (top, step float64) {
	if largest <= 0 || math.IsInf(largest, 0) || math.IsNaN(largest) {
		return 1, 0.2
	}
	rough := largest / targetTicks
	magnitude := math.Pow(10, math.Floor(math.Log10(rough)))
	step = 10 * magnitude
	for _, factor := range []float64{1, 2, 5} {
		if factor*magnitude >= rough {
			step = factor * magnitude
			break
		}
	}
	return step * math.Ceil(largest/step), step
}

// plotX returns the place of a share of the horizontal axis, from 0 to 1.
func plotX(fraction float64) float64 {
	return marginLeft + fraction*(width-marginLeft-marginRight)
}

// plotY returns the place of a share of the vertical axis, from 0 to 1.
func plotY(fraction float64) float64 {
	return height - marginBottom - fraction*(height-marginTop-marginBottom)
}

// number writes a mark's value as short as it can be.
func number(value float64) string {
	return strconv.FormatFloat(math.Round(value*1e6)/1e6, 'f', -1, 64)
}
