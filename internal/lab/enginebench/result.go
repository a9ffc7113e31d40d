package enginebench

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// outcome is what became of a request.
type outcome struct {
	arrival   *arrival
	first     time.Duration
	done      bool
	crossZone bool
}

// Result is what a run came to.
type Result struct {
	outcomes     []*outcome
	movedTokens  int
	readTokens   int
	rereadTokens int
	rereads      map[Reread]int
	refused      int
	preempted    int

	// Credit is the share of the worth of all requests that was earned, and Worst
	// that of the worst kind, with the largest tenth and the fifth below it of
	// each kind counted as kinds.
	Credit, Worst float64
	ByClass       map[string]ClassResult
	// CrossZone is the share of requests sent to another zone.
	CrossZone float64
	// MovedTokens, ReadTokens and RereadTokens count tokens per request.
	MovedTokens, ReadTokens, RereadTokens float64
	// Rereads divides RereadTokens by reason.
	Rereads                map[Reread]float64
	Refused, Preempted     int
	TTFT50, TTFT95, TTFT99 time.Duration
}

// ClassResult is the share of the worth of one kind that was earned.
type ClassResult struct {
	All, LargestTenth, NextFifth float64
	// InTime is the share of requests within the aim.
	InTime float64
}

// credit is the share of its worth that a request earned.
func (o *outcome) credit() float64 {
	class := o.arrival.class
	if o.first == 0 || o.first > class.Deadline {
		return 0
	}
	if o.first <= class.LatencyTarget {
		return 1
	}
	return class.LateValue / class.Value
}

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
			if arrival.class != class || arrival.at < warmUp {
				continue
			}
			if found := byArrival[arrival]; found != nil {
				outcomes = append(outcomes, found)
			} else {
				outcomes = append(outcomes, &outcome{arrival: arrival})
			}
		}
		got, of := weigh(outcomes)
		earned += got * class.Value
		owed += of * class.Value
		r.ByClass[class.Name] = r.classResult(outcomes)
	}
	r.Credit = earned / owed
	for _, class := range r.ByClass {
		r.Worst = min(r.Worst, class.All, class.LargestTenth, class.NextFifth)
	}
	r.totals()
}

func size(o *outcome) float64 { return float64(o.arrival.promptTokens() + 10*o.arrival.out) }

// weigh sums what the requests of a kind earned and were worth, by size.
func weigh(outcomes []*outcome) (earned, owed float64) {
	mean := lo.SumBy(outcomes, size) / float64(max(1, len(outcomes)))
	for _, outcome := range outcomes {
		weight := min(0.3+0.7*size(outcome)/mean, 4)
		earned += weight * outcome.credit()
		owed += weight
	}
	return earned, owed
}

func creditRatio(outcomes []*outcome) float64 {
	earned, owed := weigh(outcomes)
	if owed == 0 {
		return math.NaN()
	}
	return earned / owed
}

func (r *Result) classResult(outcomes []*outcome) ClassResult {
	slices.SortFunc(outcomes, func(a, b *outcome) int { return int(size(b) - size(a)) })
	tenth := len(outcomes) / 10
	inTime := lo.CountBy(outcomes, func(o *outcome) bool { return o.first > 0 && o.first <= o.arrival.class.LatencyTarget })
	return ClassResult{
		All:          creditRatio(outcomes),
		LargestTenth: creditRatio(outcomes[:tenth]),
		NextFifth:    creditRatio(outcomes[tenth : 3*tenth]),
		InTime:       float64(inTime) / float64(max(1, len(outcomes))),
	}
}

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
		if outcome.first > 0 && outcome.arrival.at >= warmUp {
			times = append(times, outcome.first)
		}
	}
	slices.Sort(times)
	at := func(quantile float64) time.Duration {
		if len(times) == 0 {
			return 0
		}
		return times[int(quantile*float64(len(times)-1))]
	}
	r.TTFT50, r.TTFT95, r.TTFT99 = at(0.5), at(0.95), at(0.99)
}
