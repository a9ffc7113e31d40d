package metrics

import "sync"

// MaxDestinations is the maximum number of destinations that have series of their own.
const MaxDestinations = 256

// The kinds of destinations: the values of the label "kind".
const (
	kindPool       = "pool"
	kindWebService = "web_service"
)

// overflowName is the name in the series of all destinations beyond MaxDestinations. No
// destination has this name, since names contain no parentheses.
const overflowName = "(other)"

// destination contains the label values of a destination's series.
type destination struct {
	kind string
	name string
}

// destinationNames assigns series to destinations. The first limit destinations get series of
// their own, and keep them, so that a counter never moves from one series to another.
type destinationNames struct {
	limit int
	mutex sync.Mutex
	known map[destination]struct{}
}

func newDestinationNames(limit int) *destinationNames {
	return &destinationNames{limit: limit, known: make(map[destination]struct{})}
}

// seriesOf returns the label values of a destination's series.
func (d *destinationNames) seriesOf(name string, webService bool) destination {
	series := destination{kind: kindPool, name: name}
	if webService {
		series.kind = kindWebService
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, found := d.known[series]; found {
		return series
	}
	if len(d.known) >= d.limit {
		return destination{kind: series.kind, name: overflowName}
	}
	d.known[series] = struct{}{}
	return series
}
