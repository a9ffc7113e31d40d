package enginebench

import "time"

// Knobs returns the router with one setting moved at a time.
func Knobs() []Variant {
	base := Variant{Name: "none moved", Policy: Router, ShareEvery: defaultShareEvery}
	variants := []Variant{base}
	knob := func(name string, tune func(*RouterSettings)) {
		moved := base
		moved.Name, moved.Tune = name, tune
		variants = append(variants, moved)
	}
	often, seldom, never := base, base, base
	often.Name, often.ShareEvery = "share every 20 ms", 20*time.Millisecond
	seldom.Name, seldom.ShareEvery = "share every 300 ms", 300*time.Millisecond
	never.Name, never.ShareEvery = "share never", 0
	variants = append(variants, often, seldom, never)
	knob("harm weight 0", func(s *RouterSettings) { s.Settings.HarmWeight = 0 })
	knob("harm weight 1", func(s *RouterSettings) { s.Settings.HarmWeight = 1 })
	knob("harm weight 2", func(s *RouterSettings) { s.Settings.HarmWeight = 2 })
	knob("decode weight 0", func(s *RouterSettings) { s.Settings.DecodeWeight = 0 })
	knob("decode weight 0.2", func(s *RouterSettings) { s.Settings.DecodeWeight = 0.2 })
	knob("decode weight 1", func(s *RouterSettings) { s.Settings.DecodeWeight = 1 })
	knob("less urgent weight 0.2", func(s *RouterSettings) { s.Settings.LessUrgentWeight = 0.2 })
	knob("less urgent weight 1", func(s *RouterSettings) { s.Settings.LessUrgentWeight = 1 })
	knob("move price 0", func(s *RouterSettings) { s.Settings.MovePrice = 0 })
	knob("move price 0.2", func(s *RouterSettings) { s.Settings.MovePrice = 0.2 })
	knob("move price 0.5", func(s *RouterSettings) { s.Settings.MovePrice = 0.5 })
	knob("request weight 16", func(s *RouterSettings) { s.Settings.RequestWeight = 16 })
	knob("zone price 10 ms", func(s *RouterSettings) { s.Settings.ZonePrice = 10 })
	knob("zone price 30 ms", func(s *RouterSettings) { s.Settings.ZonePrice = 30 })
	knob("zone price 60 ms", func(s *RouterSettings) { s.Settings.ZonePrice = 60 })
	return variants
}
