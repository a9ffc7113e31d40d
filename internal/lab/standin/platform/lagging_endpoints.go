package platform

import "time"

// Record tells when a change was made and when it was first seen.
type Record struct {
	Change  Change
	Made    time.Duration
	Visible time.Duration
	// FirstServed is when a reader first got a list that shows the change; it is
	// valid when Served is set.
	FirstServed time.Duration
	Served      bool
}

// LaggingEndpoints is a list of services that shows changes only after a lag. It is
// not safe for concurrent use.
type LaggingEndpoints struct {
	lag     time.Duration
	shown   Endpoints
	records []*Record
	// visible counts the records that shown contains.
	visible int
}

// NewLaggingEndpoints returns a list that shows its initial content at once.
func NewLaggingEndpoints(initial Endpoints, lag time.Duration) *LaggingEndpoints {
	return &LaggingEndpoints{lag: lag, shown: initial}
}

// Change makes a change, which shows after the lag.
func (l *LaggingEndpoints) Change(now time.Duration, change Change) error {
	if err := change.check(); err != nil {
		return err
	}
	l.records = append(l.records, &Record{Change: change, Made: now, Visible: now + l.lag})
	return nil
}

// SetLag changes the lag of later changes. A change never shows before an
// earlier one.
func (l *LaggingEndpoints) SetLag(lag time.Duration) { l.lag = lag }

// Serve returns the list as a reader sees it now.
func (l *LaggingEndpoints) Serve(now time.Duration) Endpoints {
	for l.visible < len(l.records) && l.records[l.visible].Visible <= now {
		l.shown = l.shown.with(l.records[l.visible].Change)
		l.records[l.visible].FirstServed = now
		l.records[l.visible].Served = true
		l.visible++
	}
	return l.shown
}

// History returns every change, in order.
func (l *LaggingEndpoints) History() []Record {
	history := make([]Record, len(l.records))
	for position, record := range l.records {
		history[position] = *record
	}
	return history
}
