package enginebench

import "time"

// Knobs returns variants of the router with one setting changed each.
func Knobs() []Variant {
	base := Variant{Name: "none moved", Policy: Router, LoadExchangeInterval: defaultLoadExchangeInterval}
	variants := []Variant{base}
	knob := func(name string, tune func(*RouterSettings)) {
		variants = append(variants, base.tuned(name, tune))
	}
	loadExchange := func(name string, interval time.Duration) {
		changed := base
		changed.Name, changed.LoadExchangeInterval = name, interval
		variants = append(variants, changed)
	}
	loadExchange("load shared every 10 ms", 10*time.Millisecond)
	loadExchange("load shared every 100 ms", 100*time.Millisecond)
	loadExchange("load shared every 300 ms", 300*time.Millisecond)
	loadExchange("load not shared", 0)
	knob("harm weight 0", func(s *RouterSettings) { s.Settings.CongestionWeight = 0 })
	knob("harm weight 4", func(s *RouterSettings) { s.Settings.CongestionWeight = 4 })
	knob("harm weight 1 at any backlog", func(s *RouterSettings) { s.Settings.CongestionDoublingTime = 0 })
	knob("pulled parts last", func(s *RouterSettings) { s.Settings.ChurnFraction = 0 })
	knob("churn share 0.3", func(s *RouterSettings) { s.Settings.ChurnFraction = 0.3 })
	knob("decode weight 0", func(s *RouterSettings) { s.Settings.DecodeWeight = 0 })
	knob("decode weight 1", func(s *RouterSettings) { s.Settings.DecodeWeight = 1 })
	knob("less urgent weight 0.2", func(s *RouterSettings) { s.Settings.LessUrgentWeight = 0.2 })
	knob("less urgent weight 1", func(s *RouterSettings) { s.Settings.LessUrgentWeight = 1 })
	knob("move price 0", func(s *RouterSettings) { s.Settings.TransferPrice = 0 })
	knob("move price 0.5", func(s *RouterSettings) { s.Settings.TransferPrice = 0.5 })
	knob("request weight 64", func(s *RouterSettings) { s.Settings.RequestWeight = 64 })
	knob("spread 0", func(s *RouterSettings) { s.Settings.SpreadTime = 0 })
	knob("spread 60 ms", func(s *RouterSettings) { s.Settings.SpreadTime = 60 })
	knob("zone price 0", func(s *RouterSettings) { s.Settings.ZonePrice = 0 })
	knob("zone price 30 ms", func(s *RouterSettings) { s.Settings.ZonePrice = 30 })
	knob("zone price 60 ms", func(s *RouterSettings) { s.Settings.ZonePrice = 60 })
	return variants
}

// Ablation returns variants of the router with one mechanism disabled each.
func Ablation() []Variant {
	base := Variant{Name: "all mechanisms", Policy: Router, LoadExchangeInterval: defaultLoadExchangeInterval}
	variants := []Variant{base}
	without := func(name string, tune func(*RouterSettings)) {
		variants = append(variants, base.tuned("without "+name, tune))
	}
	without("prefix credit", func(s *RouterSettings) { s.Options.Disabled.Overlap = true })
	without("own and others' expectations", func(s *RouterSettings) { s.Options.Disabled.PendingChunks = true })
	without("learnt speeds", func(s *RouterSettings) { s.Options.Disabled.LearnedSpeeds = true })
	without("waiting for an earlier request", func(s *RouterSettings) { s.Options.Disabled.PrefixWaits = true })
	without("pulls from peers", func(s *RouterSettings) { s.Options.Disabled.PeerPulls = true })
	without("pulls from the store", func(s *RouterSettings) { s.Options.Disabled.StorePulls = true })
	without("saves", func(s *RouterSettings) { s.Options.Disabled.SaveToStore = true })
	without("priorities at replicas", func(s *RouterSettings) { s.SamePriority = true })
	without("a preference of each node", func(s *RouterSettings) { s.Settings.SpreadTime = 0 })
	without("price of zones", func(s *RouterSettings) { s.Settings.ZonePrice, s.Settings.ZonePricePerKilobyte = 0, 0 })
	without("harm weight", func(s *RouterSettings) { s.Settings.CongestionWeight = 0 })
	without("price of memory in use", func(s *RouterSettings) { s.Settings.DecodeWeight = 0 })
	withoutLoadExchange := base
	withoutLoadExchange.Name, withoutLoadExchange.LoadExchangeInterval = "without shared load", 0
	return append(variants, withoutLoadExchange)
}
