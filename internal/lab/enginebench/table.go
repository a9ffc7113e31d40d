package enginebench

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
)

// Row is a line of the comparison: one way to route, under one load of one
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
	Tune                 func(*RouterSettings)
}

// defaultLoadExchangeInterval is how often routers tell each other of their load.
const defaultLoadExchangeInterval = 30 * time.Millisecond

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

// Compare runs each variant on each fleet under each load, with the same
// requests, some runs at a time.
func Compare(profiles []Profile, loads []float64, variants []Variant, seeds []uint64, duration time.Duration, jobs int) []Row {
	var rows []Row
	var runs []func()
	var lock sync.Mutex
	for _, profile := range profiles {
		for _, load := range loads {
			for _, variant := range variants {
				at := len(rows)
				rows = append(rows, Row{Fleet: profile.Name, Load: load, Name: variant.Name})
				for _, seed := range seeds {
					settings := Settings{
						Profile: profile, Policy: variant.Policy, Seed: seed, Load: load, Duration: duration,
						EventLoss: 0.005, LoadExchangeInterval: variant.LoadExchangeInterval, Tune: variant.Tune,
					}
					runs = append(runs, func() {
						result := Run(settings)
						lock.Lock()
						defer lock.Unlock()
						rows[at].Result.add(result, len(seeds))
					})
				}
			}
		}
	}
	inParallel(runs, jobs)
	return rows
}

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

// add takes in the result of one of several seeds.
func (r *Result) add(other *Result, seeds int) {
	weight := 1 / float64(seeds)
	r.Credit += weight * other.Credit
	r.Worst += weight * other.Worst
	r.CrossZone += weight * other.CrossZone
	r.MovedTokens += weight * other.MovedTokens
	r.ReadTokens += weight * other.ReadTokens
	r.RereadTokens += weight * other.RereadTokens
	r.Refused += other.Refused
	r.Preempted += other.Preempted
	r.TTFT50 += other.TTFT50 / time.Duration(seeds)
	r.TTFT95 += other.TTFT95 / time.Duration(seeds)
	r.TTFT99 += other.TTFT99 / time.Duration(seeds)
	if r.ByClass == nil {
		r.ByClass = map[string]ClassResult{}
		r.Rereads = map[Reread]float64{}
	}
	for reason, tokens := range other.Rereads {
		r.Rereads[reason] += weight * tokens
	}
	for name, class := range other.ByClass {
		sum := r.ByClass[name]
		sum.All += weight * class.All
		sum.LargestTenth += weight * class.LargestTenth
		sum.NextFifth += weight * class.NextFifth
		sum.InTime += weight * class.InTime
		r.ByClass[name] = sum
	}
}

// Table returns rows as a Markdown table.
func Table(rows []Row) string {
	var table strings.Builder
	table.WriteString("| Fleet | Load | Policy | Credit | Worst kind | Long: in time / largest tenth | Middle | Short | TTFT p50 / p95 / p99, ms | Read | Read again | gone / believed / pulled / chosen | Moved | Other zone | Refused | Preempted |\n")
	table.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, row := range rows {
		result := &row.Result
		fmt.Fprintf(&table, "| %s | %g | %s | %.3f | %.3f |", row.Fleet, row.Load, row.Name, result.Credit, result.Worst)
		for _, name := range []string{"long", "middle", "short"} {
			class := result.ByClass[name]
			fmt.Fprintf(&table, " %.3f / %.3f |", class.InTime, class.LargestTenth)
		}
		reasons := lo.Map(Rereads(), func(reason Reread, _ int) string { return fmt.Sprintf("%.0f", result.Rereads[reason]) })
		fmt.Fprintf(&table, " %d / %d / %d | %.0f | %.0f | %s | %.0f | %.2f | %d | %d |\n",
			result.TTFT50.Milliseconds(), result.TTFT95.Milliseconds(), result.TTFT99.Milliseconds(),
			result.ReadTokens, result.RereadTokens, strings.Join(reasons, " / "), result.MovedTokens, result.CrossZone, result.Refused, result.Preempted)
	}
	return table.String()
}
