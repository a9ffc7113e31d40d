package metrics

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/internal/transport"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// namespace is the prefix of every metric name of ridgeswitch.
	namespace = "ridgeswitch"
	// maxScrapes bounds the number of concurrent scrapes.
	maxScrapes = 4
	// scrapeTimeout bounds the time of one scrape, since the sources may block if the
	// node's control driver hangs.
	scrapeTimeout = 5 * time.Second
)

// Control provides the state of the node and of its shards.
type Control interface {
	Status() *ridgeswitchv1.NodeStatus
	// Sent returns the numbers of messages to other nodes by kind and distance.
	Sent() []driver.SentCount
	// Storage returns the size of control state and the limits of that size.
	Storage() driver.StorageStatus
}

// Traffic provides the counters of requests and the size of the prefix index.
type Traffic interface {
	Stats() []dataplane.DestinationStats
	Load() []dataplane.DestinationLoad
	IndexStats() prefixindex.Stats
}

// Transport provides the counters of frames between nodes.
type Transport interface {
	Stats() transport.Stats
}

// Inbound provides what clients make the process hold.
type Inbound interface {
	Stats() inbound.Stats
}

// NewHandler returns a handler that serves the metrics of a node. The sources must be safe for
// concurrent use.
func NewHandler(node Control, traffic Traffic, frames Transport, clients Inbound) (http.Handler, error) {
	registry := prometheus.NewRegistry()
	all := []prometheus.Collector{
		newControlCollector(node),
		newMessageCollector(node),
		newStorageCollector(node),
		newTrafficCollector(traffic),
		newIndexCollector(traffic),
		newTransportCollector(frames),
		newInboundCollector(clients),
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	}
	for _, collector := range all {
		if err := registry.Register(collector); err != nil {
			return nil, errors.Wrap(err, "register the metrics")
		}
	}
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		MaxRequestsInFlight: maxScrapes,
		Timeout:             scrapeTimeout,
	}), nil
}
