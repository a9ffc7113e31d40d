package enginebench

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// outcome is the outcome of a request.
type outcome struct {
	arrival *arrival
	// firstEvent is the time from the arrival to the first event; 0 if none came.
	firstEvent time.Duration
	// crossZone says that the replica was in another zone than the router.
	crossZone bool
}

// Result is the result of a run.
type Result struct {
	// What is counted while the run goes on; the numbers of tokens are sums.
	outcomes     []*outcome
	movedTokens  int
	readTokens   int
	rereadTokens int
	rereads      map[Reread]int
	refused      int
	preempted    int

	// Credit is the fraction of the value of all requests that was earned, and Worst
	// that of the worst class. The largest tenth of each class and the fifth below it
	// count as classes of their own.
	Credit, Worst float64
	ByClass       map[string]ClassResult
	// CrossZone is the fraction of requests sent to another zone.
	CrossZone float64
	// MovedTokens, ReadTokens and RereadTokens count tokens per request.
	MovedTokens, ReadTokens, RereadTokens float64
	// Rereads divides RereadTokens by reason.
	Rereads map[Reread]float64
	// Refused counts the attempts for which a router found no replica, and Preempted
	// the requests that a replica put back into its queue.
	Refused, Preempted int
	// TTFT50, TTFT95 and TTFT99 are quantiles of the time to the first event.
	TTFT50, TTFT95, TTFT99 time.Duration
}

// ClassResult is the fraction of the value of one class that was earned.
type ClassResult struct {
	All, LargestTenth, NextFifth float64
	// InTime is the fraction of requests within the latency target.
	InTime float64
}

// credit returns the fraction of its value that a request earned.
func (o *outcome) credit() float64 {
	class := o.arrival.class
	if o.firstEvent == 0 || o.firstEvent > class.Deadline {
		return 0
	}
	if o.firstEvent <= class.LatencyTarget {
		return 1
	}
	return class.LateValue / class.Value
}

// summarize computes the published figures from what was counted. Requests without an
// outcome earned nothing; those that arrived during the warm-up don't count.
func (r *Result) summarize(arrivals []*arrival, profile *Profile) {
	byArrival := map[*arrival]*outcome{}
	for _, outcome := range r.outcomes {
		byArrival[outcome.arrival] = outcome
	}
	r.ByClass = map[string]ClassResult{}
	r.Worst = 1
	earned, owed := 0.0, 0.0
	for position := range profile.Classes {
		class := &profile.Classes[position]
		var outcomes []*outcome
		for _, arrival := range arrivals {
			if arrival.class != class || arrival.arrivedAt < warmUp {
				continue
			}
			if found := byArrival[arrival]; found != nil {
				outcomes = append(outcomes, found)
			} else {
				outcomes = append(outcomes, &outcome{arrival: arrival})
			}
		}
		classEarned, classOwed := weigh(outcomes)
		earned += classEarned * class.Value
		owed += classOwed * class.Value
		r.ByClass[class.Name] = r.classResult(outcomes)
	}
	r.Credit = earned / owed
	for _, class := range r.ByClass {
		r.Worst = min(r.Worst, class.All, class.LargestTenth, class.NextFifth)
	}
	r.totals()
}

// outputWeight is how many prompt tokens an output token counts in the size of a
// request.
const outputWeight = 10

// size returns the size of a request in prompt tokens.
func size(o *outcome) float64 {
	return float64(o.arrival.promptTokens() + outputWeight*o.arrival.outputTokens)
}

// The weight of a request is a fixed fraction, and the rest in proportion to its size
// relative to the mean of its class, up to a maximum.
const (
	fixedWeight        = 0.3
	proportionalWeight = 0.7
	maxWeight          = 4
)

// weigh sums the credits of the requests of a class, and their weights by size.
func weigh(outcomes []*outcome) (earned, owed float64) {
	mean := lo.SumBy(outcomes, size) / float64(max(1, len(outcomes)))
	for _, outcome := range outcomes {
		weight := min(fixedWeight+proportionalWeight*size(outcome)/mean, maxWeight)
		earned += weight * outcome.credit()
		owed += weight
	}
	return earned, owed
}

// creditRatio returns the fraction of the owed value that requests earned, or NaN
// without requests.
func creditRatio(outcomes []*outcome) float64 {
	earned, owed := weigh(outcomes)
	if owed == 0 {
		return math.NaN()
	}
	return earned / owed
}

// classResult returns the figures of one class. It sorts the outcomes by size, the
// largest first.
func (r *Result) classResult(outcomes []*outcome) ClassResult {
	slices.SortFunc(outcomes, func(a, b *outcome) int { return int(size(b) - size(a)) })
	tenth := len(outcomes) / 10
	inTime := lo.CountBy(outcomes, func(o *outcome) bool { return o.firstEvent > 0 && o.firstEvent <= o.arrival.class.LatencyTarget })
	return ClassResult{
		All:          creditRatio(outcomes),
		LargestTenth: creditRatio(outcomes[:tenth]),
		NextFifth:    creditRatio(outcomes[tenth : 3*tenth]),
		InTime:       float64(inTime) / float64(max(1, len(outcomes))),
	}
}

// totals computes the figures that concern all classes together.
func (r *Result) totals() {
	count := float64(max(1, len(r.outcomes)))
	r.CrossZone = float64(lo.CountBy(r.outcomes, func(o *outcome) bool { return o.crossZone })) / count
	r.MovedTokens = float64(r.movedTokens) / count
	r.ReadTokens = float64(r.readTokens) / count
	r.RereadTokens = float64(r.rereadTokens) / count
	r.Rereads = lo.MapValues(r.rereads, func(tokens int, _ Reread) float64 { return float64(tokens) / count })
	r.Refused, r.Preempted = r.refused, r.preempted
	var times []time.Duration
	for _, outcome := range r.outcomes {
		if outcome.firstEvent > 0 && outcome.arrival.arrivedAt >= warmUp {
			times = append(times, outcome.firstEvent)
		}
	}
	slices.Sort(times)
	quantileOf := func(quantile float64) time.Duration {
		if len(times) == 0 {
			return 0
		}
		return times[int(quantile*float64(len(times)-1))]
	}
	r.TTFT50, r.TTFT95, r.TTFT99 = quantileOf(0.5), quantileOf(0.95), quantileOf(0.99)
}

// add adds the result of one of several seeds to their mean.
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
