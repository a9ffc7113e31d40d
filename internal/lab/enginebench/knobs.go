package enginebench

import (
	"fmt"
	"time"
)

// Knobs returns the router with one setting moved at a time.
func Knobs() []Variant {
	var variants []Variant
	for _, every := range []time.Duration{30} {
		base := Variant{Name: fmt.Sprint(int(every), " ms"), Policy: Router, ShareEvery: every * time.Millisecond}
		knob := func(name string, tune func(*RouterSettings)) {
			moved := base
			moved.Name = fmt.Sprint(base.Name, ": ", name)
			moved.Tune = func(s *RouterSettings) { s.Settings.SpreadTime = 20; tune(s) }
			variants = append(variants, moved)
		}
		knob("none", func(s *RouterSettings) {})

		knob("harm 0", func(s *RouterSettings) { s.Settings.HarmWeight = 0 })
		knob("harm 1", func(s *RouterSettings) { s.Settings.HarmWeight = 1 })
		knob("harm 2", func(s *RouterSettings) { s.Settings.HarmWeight = 2 })
		knob("harm 4", func(s *RouterSettings) { s.Settings.HarmWeight = 4 })
		knob("decode 0", func(s *RouterSettings) { s.Settings.DecodeWeight = 0 })
		knob("decode 0.2", func(s *RouterSettings) { s.Settings.DecodeWeight = 0.2 })
		knob("decode 1", func(s *RouterSettings) { s.Settings.DecodeWeight = 1 })
		knob("less urgent 0.2", func(s *RouterSettings) { s.Settings.LessUrgentWeight = 0.2 })
		knob("less urgent 0.8", func(s *RouterSettings) { s.Settings.LessUrgentWeight = 0.8 })
		knob("less urgent 1", func(s *RouterSettings) { s.Settings.LessUrgentWeight = 1 })
		knob("move 0", func(s *RouterSettings) { s.Settings.MovePrice = 0 })
		knob("move 0.2", func(s *RouterSettings) { s.Settings.MovePrice = 0.2 })
		knob("move 0.5", func(s *RouterSettings) { s.Settings.MovePrice = 0.5 })
		knob("request 16", func(s *RouterSettings) { s.Settings.RequestWeight = 16 })
		knob("request 64", func(s *RouterSettings) { s.Settings.RequestWeight = 64 })
		knob("zone 20", func(s *RouterSettings) { s.Settings.ZonePrice = 20 })
		knob("zone 60", func(s *RouterSettings) { s.Settings.ZonePrice = 60 })
	}
	return variants
}
