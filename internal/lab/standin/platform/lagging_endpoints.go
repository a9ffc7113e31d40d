package platform

import "time"

// Record contains the times when a change was made, became visible and was first
// served.
type Record struct {
	Change  Change
	Made    time.Duration
	Visible time.Duration
	// FirstServed is the time when a list that includes the change was first
	// served; it is valid if Served is set.
	FirstServed time.Duration
	Served      bool
}

// LaggingEndpoints is a list of services in which changes become visible after a
// lag. It is not safe for concurrent use.
type LaggingEndpoints struct {
	lag     time.Duration
	shown   Endpoints
	records []*Record
	// visible is the number of records that are applied to shown.
	visible int
}

// NewLaggingEndpoints returns a list whose initial content is visible at once.
func NewLaggingEndpoints(initial Endpoints, lag time.Duration) *LaggingEndpoints {
	return &LaggingEndpoints{lag: lag, shown: initial}
}

// Change records a change, which becomes visible after the lag.
func (l *LaggingEndpoints) Change(now time.Duration, change Change) error {
	if err := change.check(); err != nil {
		return err
	}
	l.records = append(l.records, &Record{Change: change, Made: now, Visible: now + l.lag})
	return nil
}

// SetLag sets the lag of later changes. A change never becomes visible before an
// earlier one.
func (l *LaggingEndpoints) SetLag(lag time.Duration) { l.lag = lag }

// Serve returns the list as it is visible now, and records the changes that it
// includes for the first time as served.
func (l *LaggingEndpoints) Serve(now time.Duration) Endpoints {
	for l.visible < len(l.records) && l.records[l.visible].Visible <= now {
		l.shown = l.shown.with(l.records[l.visible].Change)
		l.records[l.visible].FirstServed = now
		l.records[l.visible].Served = true
		l.visible++
	}
	return l.shown
}

// History returns the records of all changes, in the order in which they were made.
func (l *LaggingEndpoints) History() []Record {
	history := make([]Record, len(l.records))
	for position, record := range l.records {
		history[position] = *record
	}
	return history
}
