package metrics

import (
	"math"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// memberStates contains the states of a member. Each has a series, also while no member is in
// that state.
var memberStates = []string{"alive", "suspect", "fenced", "left", "unknown"}

const (
	// shardLabel is the label for the number of a shard.
	shardLabel = "shard"
	// poolLabel is the label for the name of a pool.
	poolLabel = "pool"
)

// controlCollector collects the state of a node and what the node knows of members, shards
// and roll-outs.
type controlCollector struct {
	metricSet
	control Control

	info, fenced, fences, serveRemaining, servedRevision metric

	members metric

	shardLed, shardLeaderKnown, shardRevision metric
	shardTerm, shardCommit, shardApplied      metric
	shardBadEntries                           metric

	weightsNamedFor, weightsOverdue, weightsOutdated, weightsOutdatedAdmitting metric
}

func newControlCollector(control Control) *controlCollector {
	c := &controlCollector{control: control}
	c.info = c.gauge("node", "info", "Always 1; the labels describe the node.", "node", "zone", "holds_state")
	c.fenced = c.gauge("node", "fenced", "1 while the node refuses traffic because it may be cut off or has not learnt what is in force.")
	c.fences = c.counter("node", "fences_total", "Times that the node fenced itself.")
	c.serveRemaining = c.gauge("node", "serve_remaining_seconds", "Time for which the node serves if it hears nothing more; +Inf if nothing can fence it.")
	c.servedRevision = c.gauge("node", "served_revision", "Revision of the configuration that traffic uses on this node.")
	c.members = c.gauge("", "members", "Rows of the node's table of members by state.", "state")
	c.shardLed = c.gauge("shard", "leader", "1 if this node takes itself for the leader of the shard.", shardLabel)
	c.shardLeaderKnown = c.gauge("shard", "leader_known", "1 if this node knows a leader of the shard.", shardLabel)
	c.shardRevision = c.gauge("shard", "revision", "Revision of the shard's state that reached this node.", shardLabel)
	c.shardTerm = c.gauge("shard", "term", "Term of the shard, on nodes that hold it.", shardLabel)
	c.shardCommit = c.gauge("shard", "commit_index", "Newest entry of the shard that is known to be decided, on nodes that hold it.", shardLabel)
	c.shardApplied = c.gauge("shard", "applied_index", "Newest entry of the shard that is carried out, on nodes that hold it.", shardLabel)
	c.shardBadEntries = c.counter("shard", "bad_entries_total", "Entries that this node could not read or write; each is a fault of the software.", shardLabel)
	c.weightsNamedFor = c.gauge("weights", "named_for_seconds", "Time for which this node has counted the named weight version of the pool as named.", poolLabel)
	c.weightsOverdue = c.gauge("weights", "overdue", "1 if the deadline of the named weight version has passed on this node.", poolLabel)
	c.weightsOutdated = c.gauge("weights", "outdated_replicas", "Replicas of the pool that do not run the named weight version.", poolLabel)
	c.weightsOutdatedAdmitting = c.gauge("weights", "outdated_admitting_replicas", "Replicas of the pool that do not run the named weight version and get requests from this node.", poolLabel)
	return c
}

// Collect implements prometheus.Collector.
func (c *controlCollector) Collect(into chan<- prometheus.Metric) {
	status := c.control.Status()
	c.info.send(into, 1, status.GetNode(), status.GetZone(), strconv.FormatBool(status.GetHoldsState()))
	c.fenced.send(into, boolValue(status.GetFenced()))
	c.fences.send(into, float64(status.GetFences()))
	c.serveRemaining.send(into, serveRemainingSeconds(status))
	c.servedRevision.send(into, float64(status.GetServedRevision()))
	c.collectMembers(into, status)
	for _, shard := range status.GetShards() {
		c.collectShard(into, shard, status.GetNode())
	}
	for _, rollout := range status.GetRollouts()[:min(len(status.GetRollouts()), MaxDestinations)] {
		c.collectRollout(into, rollout)
	}
}

func (c *controlCollector) collectRollout(into chan<- prometheus.Metric, rollout *ridgeswitchv1.RolloutStatus) {
	pool := rollout.GetPool()
	c.weightsNamedFor.send(into, (time.Duration(rollout.GetNamedForMs()) * time.Millisecond).Seconds(), pool)
	c.weightsOverdue.send(into, boolValue(rollout.GetOverdue()), pool)
	c.weightsOutdated.send(into, float64(rollout.GetOutdated()), pool)
	c.weightsOutdatedAdmitting.send(into, float64(rollout.GetOutdatedAdmitting()), pool)
}

func (c *controlCollector) collectMembers(into chan<- prometheus.Metric, status *ridgeswitchv1.NodeStatus) {
	counts := make(map[string]int, len(memberStates))
	for _, member := range status.GetMembers() {
		counts[member.GetState()]++
	}
	for _, state := range memberStates {
		c.members.send(into, float64(counts[state]), state)
	}
}

func (c *controlCollector) collectShard(into chan<- prometheus.Metric, shard *ridgeswitchv1.ShardStatus, self string) {
	label := strconv.FormatUint(uint64(shard.GetShard()), 10)
	c.shardLed.send(into, boolValue(shard.GetLeader() == self), label)
	c.shardLeaderKnown.send(into, boolValue(shard.GetLeader() != ""), label)
	c.shardRevision.send(into, float64(shard.GetRevision()), label)
	if shard.GetTerm() == 0 {
		// The node does not hold the shard, or the shard has never had a leader.
		return
	}
	c.shardTerm.send(into, float64(shard.GetTerm()), label)
	c.shardCommit.send(into, float64(shard.GetCommit()), label)
	c.shardApplied.send(into, float64(shard.GetApplied()), label)
	c.shardBadEntries.send(into, float64(shard.GetBadEntries()), label)
}

// serveRemainingSeconds returns for how long the node serves without further contact. It is
// +Inf for a node that nothing can fence, whose status contains a negative number.
func serveRemainingSeconds(status *ridgeswitchv1.NodeStatus) float64 {
	remaining := status.GetServeRemainingMs()
	if remaining < 0 {
		return math.Inf(1)
	}
	return (time.Duration(remaining) * time.Millisecond).Seconds()
}
