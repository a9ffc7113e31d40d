package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// destinationLabels contains the labels that identify a destination.
var destinationLabels = []string{"kind", "destination"}

// trafficCollector collects the outcomes of callers' requests by destination.
type trafficCollector struct {
	metricSet
	traffic Traffic
	names   *destinationNames

	firstAttempts, retries, retriesDenied    metric
	retryRatio                               metric
	completed, truncated, abandoned, refused metric
	invalid                                  metric
	inFlight                                 metric
	ejected, suspected                       metric
	ejections, outcomes                      metric
}

func newTrafficCollector(traffic Traffic) *trafficCollector {
	refusalLabels := append(append([]string{}, destinationLabels...), "reason")
	kindLabels := append(append([]string{}, destinationLabels...), "fault")
	outcomeLabels := append(append([]string{}, destinationLabels...), "outcome")
	c := &trafficCollector{traffic: traffic, names: newDestinationNames(MaxDestinations)}
	c.firstAttempts = c.counter("", "first_attempts_total", "Requests that were sent to a back end.", destinationLabels...)
	c.retries = c.counter("", "retries_total", "Further attempts of these requests.", destinationLabels...)
	c.retriesDenied = c.counter("", "retries_denied_total", "Retries that the retry budget did not permit.", destinationLabels...)
	c.retryRatio = c.gauge("", "retry_ratio", "Retries for each first attempt since the node started.", destinationLabels...)
	c.completed = c.counter("", "answered_total", "Complete answers of back ends.", destinationLabels...)
	c.truncated = c.counter("", "cut_answers_total", "Answers that were cut after a part had been handed on.", destinationLabels...)
	c.abandoned = c.counter("", "abandoned_total", "Requests whose caller left.", destinationLabels...)
	c.refused = c.counter("", "refusals_total", "Requests that the node refused or could not complete, by the kind of the error.", refusalLabels...)
	c.invalid = c.counter("", "invalid_answers_total", "Answers of back ends that violated their protocol, by the kind of the fault.", kindLabels...)
	c.ejected = c.gauge("", "ejected_backends", "Back ends that this node leaves out because they failed far more requests than others.", destinationLabels...)
	c.suspected = c.gauge("", "suspected_backends", "Back ends that this node leaves out because they could not be reached lately.", destinationLabels...)
	c.ejections = c.counter("", "ejections_total", "Times that this node began to leave a back end out for its failures.", destinationLabels...)
	c.outcomes = c.counter("", "backend_outcomes_total", "Attempts by what they told of the health of their back end.", outcomeLabels...)
	c.inFlight = c.gauge("", "attempts_in_flight", "Attempts that run on the back ends of the destination through this node.", destinationLabels...)
	return c
}

// Collect implements prometheus.Collector.
func (c *trafficCollector) Collect(into chan<- prometheus.Metric) {
	for name, sum := range c.sums() {
		c.collectDestination(into, name, sum)
	}
	loads := make(map[destination]int)
	for _, load := range c.traffic.Load() {
		loads[c.names.seriesOf(load.Name, load.WebService)] += load.InFlight
	}
	for name, inFlight := range loads {
		c.inFlight.send(into, float64(inFlight), name.kind, name.name)
	}
}

// destinationSum contains the summed statistics of the destinations that share series.
type destinationSum struct {
	stats    dataplane.DestinationStats
	refusals map[caller.Kind]uint64
	outcomes map[string]uint64
	invalid  map[string]uint64
}

// sums returns the statistics by series, summed over the destinations that share a series.
func (c *trafficCollector) sums() map[destination]*destinationSum {
	sums := make(map[destination]*destinationSum)
	for _, stats := range c.traffic.Stats() {
		name := c.names.seriesOf(stats.Name, stats.WebService)
		sum, found := sums[name]
		if !found {
			sum = &destinationSum{refusals: make(map[caller.Kind]uint64), outcomes: make(map[string]uint64), invalid: make(map[string]uint64)}
			sums[name] = sum
		}
		sum.add(stats)
	}
	return sums
}

func (s *destinationSum) add(stats dataplane.DestinationStats) {
	s.stats.FirstAttempts += stats.FirstAttempts
	s.stats.Retries += stats.Retries
	s.stats.RetriesDenied += stats.RetriesDenied
	s.stats.Completed += stats.Completed
	s.stats.Truncated += stats.Truncated
	s.stats.Abandoned += stats.Abandoned
	s.stats.Ejected += stats.Ejected
	s.stats.Suspected += stats.Suspected
	s.stats.Ejections += stats.Ejections
	for _, refusal := range stats.Refusals {
		s.refusals[refusal.Kind] += refusal.Count
	}
	for _, invalid := range stats.Invalid {
		s.invalid[invalid.Kind] += invalid.Count
	}
	for _, outcome := range stats.Outcomes {
		s.outcomes[outcome.Name] += outcome.Count
	}
}

func (c *trafficCollector) collectDestination(into chan<- prometheus.Metric, name destination, sum *destinationSum) {
	stats := sum.stats
	c.firstAttempts.send(into, float64(stats.FirstAttempts), name.kind, name.name)
	c.retries.send(into, float64(stats.Retries), name.kind, name.name)
	c.retriesDenied.send(into, float64(stats.RetriesDenied), name.kind, name.name)
	c.completed.send(into, float64(stats.Completed), name.kind, name.name)
	c.truncated.send(into, float64(stats.Truncated), name.kind, name.name)
	c.abandoned.send(into, float64(stats.Abandoned), name.kind, name.name)
	if stats.FirstAttempts > 0 {
		ratio := float64(stats.Retries) / float64(stats.FirstAttempts)
		c.retryRatio.send(into, ratio, name.kind, name.name)
	}
	c.ejected.send(into, float64(stats.Ejected), name.kind, name.name)
	c.suspected.send(into, float64(stats.Suspected), name.kind, name.name)
	c.ejections.send(into, float64(stats.Ejections), name.kind, name.name)
	for outcome, count := range sum.outcomes {
		c.outcomes.send(into, float64(count), name.kind, name.name, outcome)
	}
	for fault, count := range sum.invalid {
		c.invalid.send(into, float64(count), name.kind, name.name, fault)
	}
	for reason, count := range sum.refusals {
		c.refused.send(into, float64(count), name.kind, name.name, string(reason))
	}
}
