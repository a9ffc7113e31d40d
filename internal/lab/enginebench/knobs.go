package enginebench

import (
	"fmt"
	"time"
)

// Knobs returns the router with one setting moved at a time.
func Knobs() []Variant {
	var variants []Variant
	for _, every := range []time.Duration{20, 100} {
		base := Variant{Name: fmt.Sprint(int(every), " ms"), Policy: Router, ShareEvery: every * time.Millisecond}
		knob := func(name string, tune func(*RouterSettings)) {
			moved := base
			moved.Name, moved.Tune = fmt.Sprint(base.Name, ": ", name), tune
			variants = append(variants, moved)
		}
		for _, spread := range []float64{0, 50, 100} {
			knob(fmt.Sprint("spread ", spread), func(s *RouterSettings) { s.Settings.SpreadTime = spread })
			knob(fmt.Sprint("keep slowness, spread ", spread), func(s *RouterSettings) { s.Settings.SpreadTime = spread; s.KeepSlowness = true })
		}
	}
	return variants
}
