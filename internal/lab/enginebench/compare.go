package enginebench

import (
	"sync"
	"time"
)

// Row is a row of the comparison: the result of one variant, under one load of one
// fleet, as the mean of the seeds.
type Row struct {
	Fleet  string
	Load   float64
	Name   string
	Result Result
}

// Variant is a policy with changed settings.
type Variant struct {
	Name                 string
	Policy               Policy
	LoadExchangeInterval time.Duration
	// Tune changes the prefix-aware router's settings; may be nil.
	Tune func(*RouterSettings)
}

// tuned returns a copy under another name with other settings of the router.
func (v Variant) tuned(name string, tune func(*RouterSettings)) Variant {
	v.Name, v.Tune = name, tune
	return v
}

// defaultLoadExchangeInterval is the time between two load exchanges of the routers.
const defaultLoadExchangeInterval = 30 * time.Millisecond

// eventLoss is the fraction of changes that are lost in a comparison.
const eventLoss = 0.005

// Variants returns each policy as it is.
func Variants() []Variant {
	var variants []Variant
	for _, policy := range Policies() {
		variant := Variant{Name: string(policy), Policy: policy}
		if policy.isRouter() && policy != RouterWithoutLoadExchange {
			variant.LoadExchangeInterval = defaultLoadExchangeInterval
		}
		variants = append(variants, variant)
	}
	return variants
}

// Compare runs each variant on each fleet under each load and each seed, with the same
// requests for all variants, and returns a row for each of the first three. It runs
// jobs simulations at a time and returns when all have ended.
func Compare(profiles []Profile, loads []float64, variants []Variant, seeds []uint64, duration time.Duration, jobs int) []Row {
	var rows []Row
	var runs []func()
	var lock sync.Mutex
	for _, profile := range profiles {
		for _, load := range loads {
			for _, variant := range variants {
				row := len(rows)
				rows = append(rows, Row{Fleet: profile.Name, Load: load, Name: variant.Name})
				for _, seed := range seeds {
					settings := Settings{
						Profile: profile, Policy: variant.Policy, Seed: seed, Load: load, Duration: duration,
						EventLoss: eventLoss, LoadExchangeInterval: variant.LoadExchangeInterval, Tune: variant.Tune,
					}
					runs = append(runs, func() {
						result := Run(settings)
						lock.Lock()
						defer lock.Unlock()
						rows[row].Result.add(result, len(seeds))
					})
				}
			}
		}
	}
	inParallel(runs, jobs)
	return rows
}

// inParallel calls all functions, jobs of them at a time.
func inParallel(runs []func(), jobs int) {
	var workers sync.WaitGroup
	queue := make(chan func())
	for range jobs {
		workers.Go(func() {
			for run := range queue {
				run()
			}
		})
	}
	for _, run := range runs {
		queue <- run
	}
	close(queue)
	workers.Wait()
}
