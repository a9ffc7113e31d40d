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
	"github.com/ridgeswitch/ridgeswitch/internal/transport"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// namespace begins the name of every metric of ridgeswitch.
	namespace = "ridgeswitch"
	// maxScrapes bounds the scrapes that are served at once.
	maxScrapes = 4
	// scrapeTimeout bounds one response, for a node whose control is stuck.
	scrapeTimeout = 5 * time.Second
)

// Control is where the state of the node and of its shards comes from.
type Control interface {
	Status() *ridgeswitchv1.NodeStatus
	// Sent counts the messages to other nodes by kind and distance.
	Sent() []driver.SentCount
	// Storage returns how much of what the machine gives control state takes.
	Storage() driver.StorageStatus
}

// Traffic is where the counters of requests come from.
type Traffic interface {
	Stats() []dataplane.DestinationStats
	Load() []dataplane.DestinationLoad
	IndexStats() prefixindex.Stats
}

// Transport is where the counters of frames between nodes come from.
type Transport interface {
	Stats() transport.Stats
}

// NewHandler serves the metrics of a node. The sources must be safe for
// concurrent use.
func NewHandler(node Control, traffic Traffic, frames Transport) (http.Handler, error) {
	registry := prometheus.NewRegistry()
	all := []prometheus.Collector{
		newControlCollector(node),
		newMessageCollector(node),
		newStorageCollector(node),
		newTrafficCollector(traffic),
		newIndexCollector(traffic),
		newTransportCollector(frames),
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
