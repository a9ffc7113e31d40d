package checker

import "time"

// ServedInTime requires that every live node that is not fenced serves an
// acknowledged configuration, or a newer one, within ServedBound.
type ServedInTime struct{}

// Name returns the stable name.
func (ServedInTime) Name() Name { return "served_in_time" }

// Check compares every sample with the newest revision that had to be served
// when it was taken.
func (rule ServedInTime) Check(records *Records) []Violation {
	acknowledged := acknowledgedRevisions(records)
	reported := make(map[reportedLag]bool)
	var violations []Violation
	for _, sample := range servingSamples(records) {
		due := acknowledged.dueAt(sample.At)
		lag := reportedLag{sample.Node, due}
		if sample.Revision >= due || reported[lag] {
			continue
		}
		reported[lag] = true
		violations = append(violations, violation(rule.Name(), sample.At,
			"node %s serves revision %d although %d was acknowledged more than %v ago",
			sample.Node, sample.Revision, due, ServedBound))
	}
	return violations
}

// reportedLag is a node that lags behind a revision: it is reported once, and not
// again for each sample.
type reportedLag struct {
	node     string
	revision uint64
}

// acknowledgement is one acknowledgement of a revision.
type acknowledgement struct {
	at       time.Duration
	revision uint64
}

type acknowledgements []acknowledgement

func acknowledgedRevisions(records *Records) acknowledgements {
	var acknowledged acknowledgements
	for _, order := range records.Orders {
		if order.Outcome == OutcomeAcknowledged {
			acknowledged = append(acknowledged, acknowledgement{order.Answered, order.Revision})
		}
	}
	return acknowledged
}

// dueAt returns the newest revision that every node must serve at a moment, or 0 if
// there is none.
func (all acknowledgements) dueAt(at time.Duration) uint64 {
	var due uint64
	for _, acknowledged := range all {
		if acknowledged.at+ServedBound < at {
			due = max(due, acknowledged.revision)
		}
	}
	return due
}

// servingSamples returns, by time, the samples of nodes that admit traffic. A
// process that has not yet reported a revision does not serve yet.
func servingSamples(records *Records) []ServedSample {
	started := make(map[NodeRun]bool)
	var serving []ServedSample
	for _, sample := range samplesByTime(records) {
		run, found := nodeRunAt(records, sample.Node, sample.At)
		if !found || sample.Fenced {
			continue
		}
		if sample.Revision == 0 && !started[run] {
			continue
		}
		started[run] = true
		serving = append(serving, sample)
	}
	return serving
}

// nodeRunAt returns the run of a node's process at a moment, or false if none ran.
func nodeRunAt(records *Records, node string, at time.Duration) (NodeRun, bool) {
	for _, run := range records.Nodes {
		if run.Node == node && at >= run.From && (!run.Ended || at < run.To) {
			return run, true
		}
	}
	return NodeRun{}, false
}

// ServedNeverBack requires that a node never serves an older revision than it did
// before, not even after a restart.
type ServedNeverBack struct{}

// Name returns the stable name.
func (ServedNeverBack) Name() Name { return "served_never_back" }

// Check follows the revision of every node.
func (rule ServedNeverBack) Check(records *Records) []Violation {
	highest := make(map[string]uint64)
	var violations []Violation
	for _, sample := range servingSamples(records) {
		if sample.Revision < highest[sample.Node] {
			violations = append(violations, violation(rule.Name(), sample.At,
				"node %s went back from revision %d to %d",
				sample.Node, highest[sample.Node], sample.Revision))
		}
		highest[sample.Node] = max(highest[sample.Node], sample.Revision)
	}
	return violations
}

// NodesRecover requires that every process which is still running at the end of the
// run serves then. A fenced node must serve again, and a node without samples breaks
// the rule, because nothing shows that it serves.
type NodesRecover struct{}

// Name returns the stable name.
func (NodesRecover) Name() Name { return "nodes_recover" }

// recoveryWindow is how far before the end of a run a node must have served.
const recoveryWindow = 2 * time.Second

// Check looks for a serving sample of each live node close to the end.
func (rule NodesRecover) Check(records *Records) []Violation {
	last := make(map[string]time.Duration)
	for _, sample := range servingSamples(records) {
		if sample.Revision > 0 {
			last[sample.Node] = sample.At
		}
	}
	var violations []Violation
	for _, run := range records.Nodes {
		at, served := last[run.Node]
		recently := served && at >= run.From && at+recoveryWindow >= records.End
		if run.Ended || recently {
			continue
		}
		violations = append(violations, violation(rule.Name(), records.End,
			"node %s runs but did not serve at the end (last seen to serve at %v)", run.Node, at))
	}
	return violations
}
