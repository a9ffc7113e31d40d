package metrics

import "sync"

// MaxDestinations bounds the destinations that have series of their own.
const MaxDestinations = 256

// The kinds of destinations, as values of a label.
const (
	kindPool       = "pool"
	kindWebService = "web_service"
)

// overflowName stands for all destinations beyond MaxDestinations. No
// destination is called so: names hold no parentheses.
const overflowName = "(other)"

// destination names the series of a destination.
type destination struct {
	kind string
	name string
}

// destinationNames gives series of their own to the first destinations that it
// sees, for good, so that a counter never moves from one series to another.
type destinationNames struct {
	limit int
	mutex sync.Mutex
	known map[destination]struct{}
}

func newDestinationNames(limit int) *destinationNames {
	return &destinationNames{limit: limit, known: make(map[destination]struct{})}
}

// seriesOf returns the series of a destination.
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
