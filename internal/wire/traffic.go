package wire

import (
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/cachefeed"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter/replicaload"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// The sizes, in bytes, of the structs that are elements of vectors in a Traffic message.
const (
	chunkChangeBytes = 24
	chunkLinkBytes   = 16
	// trafficLoadBytes is the size of one entry of a load, which has an entry for each
	// priority with tokens to prefill.
	trafficLoadBytes = 20
)

func packTraffic(batch *gossip.Batch) *fb.TrafficT {
	if batch == nil {
		return nil
	}
	table := newNameTable(batch)
	packed := &fb.TrafficT{Stage: byte(batch.Stage), Endpoints: table.endpoints}
	for _, update := range batch.Updates {
		packed.News = append(packed.News, packUpdate(table, update))
	}
	packed.Texts = table.texts.texts
	return packed
}

func packUpdate(table *nameTable, update gossip.Update) *fb.TrafficNewsT {
	packed := &fb.TrafficNewsT{Node: table.index(string(update.Node))}
	for _, load := range update.Loads {
		packed.Loads = append(packed.Loads, packLoads(table, load)...)
	}
	for _, dispatch := range update.Dispatches {
		packed.Dispatches = append(packed.Dispatches, packDispatch(table, dispatch))
	}
	for _, report := range update.Reports {
		packed.Reports = append(packed.Reports, packReport(table, report))
	}
	for _, gone := range update.GoneInstances {
		packed.Denials = append(packed.Denials, &fb.TrafficDenialT{
			Address:  table.index(gone.Address),
			Instance: table.index(gone.Instance),
		})
	}
	for _, report := range update.Outcomes {
		packed.Outcomes = append(packed.Outcomes, &fb.TrafficOutcomesT{
			Address:  table.index(report.Address),
			Failures: float32(report.Failures),
			Total:    float32(report.Total),
		})
	}
	return packed
}

// packLoads returns an entry for each priority that has tokens to prefill, and at least one
// entry. The first entry also contains the rest of the load.
func packLoads(table *nameTable, load kvrouter.AddressLoad) []*fb.TrafficLoadT {
	first := &fb.TrafficLoadT{
		Address:      table.index(load.Address),
		DecodeTokens: float32(load.DecodeTokens),
		Requests:     float32(load.Requests),
	}
	packed := []*fb.TrafficLoadT{first}
	for priority, tokens := range load.PrefillTokens {
		entry := first
		switch {
		case tokens == 0:
			continue
		case first.PrefillTokens != 0:
			entry = &fb.TrafficLoadT{Address: first.Address}
			packed = append(packed, entry)
		}
		entry.Priority = uint32(priority)
		entry.PrefillTokens = float32(tokens)
	}
	return packed
}

func packDispatch(table *nameTable, dispatch gossip.Dispatch) *fb.TrafficDispatchT {
	packed := &fb.TrafficDispatchT{Address: table.index(dispatch.Address)}
	for _, link := range dispatch.Links {
		packed.Links = append(packed.Links, &fb.PartLinkT{Name: uint64(link.Hash), Tokens: link.Tokens})
	}
	return packed
}

func packReport(table *nameTable, report gossip.Report) *fb.TrafficReportT {
	packed := &fb.TrafficReportT{
		Address:     table.index(report.Address),
		Incarnation: report.Feed.Incarnation,
		From:        report.Feed.From,
		Next:        report.Feed.Next,
		Lost:        report.Feed.Lost,
		Whole:       report.Complete,
	}
	for _, change := range report.Changes {
		packed.Changes = append(packed.Changes, &fb.PartChangeT{
			Sequence: change.Sequence,
			Name:     uint64(change.Name),
			Tokens:   change.Tokens,
			Removed:  change.Removed,
		})
	}
	return packed
}

func (r *reader) traffic(table *fb.Traffic) *gossip.Batch {
	if table == nil {
		return nil
	}
	names := r.names(table)
	var stored fb.TrafficNews
	return &gossip.Batch{
		Stage: gossip.Stage(table.Stage()),
		Updates: readVector(r, table.NewsLength(), minTableBytes, func(i int) gossip.Update {
			table.News(&stored, i)
			return gossip.Update{
				Node:          member.ID(names.at(stored.Node())),
				Loads:         r.trafficLoads(&stored, names),
				Dispatches:    r.trafficDispatches(&stored, names),
				Reports:       r.trafficReports(&stored, names),
				GoneInstances: r.trafficGoneInstances(&stored, names),
				Outcomes:      r.trafficOutcomes(&stored, names),
			}
		}),
	}
}

// trafficLoads reads loads. It merges the entries of each replica, which are adjacent, into
// one load.
func (r *reader) trafficLoads(table *fb.TrafficNews, names receivedNames) []kvrouter.AddressLoad {
	length := r.vectorLength(table.LoadsLength(), trafficLoadBytes)
	loads := make([]kvrouter.AddressLoad, 0, length)
	var stored fb.TrafficLoad
	last := uint32(0)
	for i := range length {
		table.Loads(&stored, i)
		if address := stored.Address(); i == 0 || address != last {
			last = address
			loads = append(loads, kvrouter.AddressLoad{Address: names.at(address)})
		}
		load := &loads[len(loads)-1]
		load.DecodeTokens += float64(stored.DecodeTokens())
		load.Requests += float64(stored.Requests())
		if priority := stored.Priority(); priority < replicaload.Priorities {
			load.PrefillTokens[priority] += float64(stored.PrefillTokens())
		}
	}
	return loads
}

func (r *reader) trafficDispatches(table *fb.TrafficNews, names receivedNames) []gossip.Dispatch {
	var stored fb.TrafficDispatch
	return readVector(r, table.DispatchesLength(), minTableBytes, func(i int) gossip.Dispatch {
		table.Dispatches(&stored, i)
		return gossip.Dispatch{
			Address: names.at(stored.Address()),
			Links:   r.chunkLinks(&stored),
		}
	})
}

func (r *reader) chunkLinks(table *fb.TrafficDispatch) []prefixindex.Link {
	var stored fb.PartLink
	return readVector(r, table.LinksLength(), chunkLinkBytes, func(i int) prefixindex.Link {
		table.Links(&stored, i)
		return prefixindex.Link{Hash: prefixindex.ChainHash(stored.Name()), Tokens: stored.Tokens()}
	})
}

func (r *reader) trafficReports(table *fb.TrafficNews, names receivedNames) []gossip.Report {
	var stored fb.TrafficReport
	return readVector(r, table.ReportsLength(), minTableBytes, func(i int) gossip.Report {
		table.Reports(&stored, i)
		return gossip.Report{
			Address: names.at(stored.Address()),
			Feed: cachefeed.Position{
				Incarnation: stored.Incarnation(),
				From:        stored.From(),
				Next:        stored.Next(),
				Lost:        stored.Lost(),
			},
			Complete: stored.Whole(),
			Changes:  r.chunkChanges(&stored),
		}
	})
}

func (r *reader) chunkChanges(table *fb.TrafficReport) []gossip.Change {
	var stored fb.PartChange
	return readVector(r, table.ChangesLength(), chunkChangeBytes, func(i int) gossip.Change {
		table.Changes(&stored, i)
		return gossip.Change{
			Sequence: stored.Sequence(),
			Name:     prefixindex.ChainHash(stored.Name()),
			Tokens:   stored.Tokens(),
			Removed:  stored.Removed(),
		}
	})
}

func (r *reader) trafficGoneInstances(table *fb.TrafficNews, names receivedNames) []gossip.GoneInstance {
	var stored fb.TrafficDenial
	return readVector(r, table.DenialsLength(), minTableBytes, func(i int) gossip.GoneInstance {
		table.Denials(&stored, i)
		return gossip.GoneInstance{Address: names.at(stored.Address()), Instance: names.at(stored.Instance())}
	})
}

func (r *reader) trafficOutcomes(table *fb.TrafficNews, names receivedNames) []outlier.Report {
	var stored fb.TrafficOutcomes
	return readVector(r, table.OutcomesLength(), minTableBytes, func(i int) outlier.Report {
		table.Outcomes(&stored, i)
		return outlier.Report{
			Address:  names.at(stored.Address()),
			Failures: float64(stored.Failures()),
			Total:    float64(stored.Total()),
		}
	})
}
