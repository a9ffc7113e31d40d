package reports

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/edges"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Apply applies a page of reports to the router's prefix index. The page may have been read
// by this node or by another one.
func Apply(router *kvrouter.Router, now time.Duration, report gossip.Report) {
	changes := report.ChunkChanges()
	if report.Complete {
		router.ChunksReplaced(now, report.Address, report.Feed.Incarnation, report.Feed.Next, changes)
		return
	}
	router.ChunksReported(now, report.Address, report.Feed, changes)
}

// reportOf converts a page of changes after the position since to the report that is sent to
// other nodes.
func reportOf(address string, since uint64, page edges.ReportPage) gossip.Report {
	return gossip.Report{
		Address: address,
		Feed:    cachefeed.Position{Incarnation: page.Incarnation, From: since, Next: page.Next, Lost: page.Lost},
		Changes: lo.Map(page.Changes, func(change edges.ChunkChange, _ int) gossip.Change {
			return gossip.Change{
				Sequence: change.Sequence,
				Name:     prefixindex.HashByID(change.Model, change.CacheSalt, change.ID),
				Tokens:   change.Tokens,
				Removed:  change.Removed,
			}
		}),
	}
}
