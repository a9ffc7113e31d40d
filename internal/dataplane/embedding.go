package dataplane

import (
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/destinations"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
)

// Aliases for programs that embed a Server: the types with which they implement the protocols
// that package edges describes, and read the Server's counters.
type (
	// Edges are the protocols that a node speaks to callers and back ends.
	Edges = edges.Set
	// CallerEdge speaks the protocol of callers.
	CallerEdge = edges.CallerEdge
	// BackendEdge runs attempts on back ends of one kind.
	BackendEdge = edges.BackendEdge
	// Attempt is one attempt to have a back end run a request.
	Attempt = edges.Attempt
	// Generation describes a prompt to a replica.
	Generation = edges.Generation
	// Pull asks a replica to fetch chunks instead of computing them.
	Pull = edges.Pull
	// Response is a back end's response whose header has arrived.
	Response = edges.Response
	// ReportReader reads the reports of back ends about the chunks that they cache.
	ReportReader = edges.ReportReader
	// ReportPage is one page of a back end's reports.
	ReportPage = edges.ReportPage
	// ChunkChange reports that a chunk was cached or evicted.
	ChunkChange = edges.ChunkChange
	// DestinationStats counts the requests of a pool or a web service on this node by
	// their outcomes.
	DestinationStats = destinations.Stats
	// RefusalCount counts the refusals of one kind.
	RefusalCount = destinations.RefusalCount
	// OutcomeCount counts the attempts of one outcome.
	OutcomeCount = destinations.OutcomeCount
	// InvalidCount counts the invalid responses of one kind.
	InvalidCount = destinations.InvalidCount
)
