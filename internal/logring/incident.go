package logring

import (
	"time"

	"github.com/sirupsen/logrus"
)

// IncidentKind is the kind of an incident. An incident is an event on which the ring is
// written out, whatever the level of its log entry.
type IncidentKind string

// The kinds of incidents.
const (
	// Fence marks that the node has fenced itself.
	Fence IncidentKind = "fence"
	// OutdatedWeights marks that a request began on weights whose deadline has passed.
	OutdatedWeights IncidentKind = "outdated_weights"
	// Invariant marks that an invariant of the software was violated.
	Invariant IncidentKind = "invariant"
)

// IncidentEvery is the minimum time between two dumps of the ring for incidents of one kind,
// so that a repeated fault does not flood the output. Entries that are logged between two
// dumps stay in the ring.
const IncidentEvery = time.Minute

// incidentField is the log field that contains the IncidentKind of an entry.
const incidentField = "incident"

// Incident adds to log the field that marks its messages as incidents of the given kind.
func Incident(log *logrus.Entry, kind IncidentKind) *logrus.Entry {
	return log.WithField(incidentField, kind)
}

// triggersDump reports whether the ring must be written out because of an entry, and records
// the time of an incident that does so. The caller holds the mutex.
func (r *Ring) triggersDump(entry *logrus.Entry) bool {
	kind, isIncident := entry.Data[incidentField].(IncidentKind)
	if !isIncident {
		return entry.Level <= logrus.ErrorLevel
	}
	last, dumped := r.incidents[kind]
	elapsed := entry.Time.Sub(last)
	// If the wall clock was set back, elapsed is negative, and the ring is written out.
	if dumped && elapsed >= 0 && elapsed < IncidentEvery {
		return false
	}
	r.incidents[kind] = entry.Time
	return true
}
