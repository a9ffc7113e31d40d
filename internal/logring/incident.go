package logring

import (
	"time"

	"github.com/sirupsen/logrus"
)

// IncidentKind is the kind of an incident: an event for which the ring is written out,
// whatever the level of its entry.
type IncidentKind string

// The kinds of incidents.
const (
	// Fence marks that the node has fenced itself.
	Fence IncidentKind = "fence"
	// Invariant marks that a rule that the software relies on was broken.
	Invariant IncidentKind = "invariant"
)

// IncidentEvery is the shortest time between two writes for incidents of one
// kind, so that a fault that repeats does not flood the output. Entries that come
// in between stay in the ring.
const IncidentEvery = time.Minute

// incidentField is the field of an entry that holds its kind of incident.
const incidentField = "incident"

// Incident marks the entries of log as incidents.
func Incident(log *logrus.Entry, kind IncidentKind) *logrus.Entry {
	return log.WithField(incidentField, kind)
}

// triggersDump reports whether an entry makes the ring write out. The caller holds the
// mutex.
func (r *Ring) triggersDump(entry *logrus.Entry) bool {
	kind, isIncident := entry.Data[incidentField].(IncidentKind)
	if !isIncident {
		return entry.Level <= logrus.ErrorLevel
	}
	last, dumped := r.incidents[kind]
	elapsed := entry.Time.Sub(last)
	// A clock that was set back must not silence the ring.
	if dumped && elapsed >= 0 && elapsed < IncidentEvery {
		return false
	}
	r.incidents[kind] = entry.Time
	return true
}
