package wire

import (
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/shared"
	"github.com/ridgeswitch/ridgeswitch/internal/wire/fb"
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/outlier"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// The least bytes that an element of a vector of a Traffic message takes.
const (
	partChangeBytes = 24
	partLinkBytes   = 16
)

// textTable gives each text of a message an index.
type textTable struct {
	indexes map[string]uint32
	texts   []string
}

func newTextTable() *textTable {
	return &textTable{indexes: map[string]uint32{}}
}

// index returns the index of a text, which is new if it was not met before.
func (t *textTable) index(text string) uint32 {
	known, found := t.indexes[text]
	if found {
		return known
	}
	added := uint32(len(t.texts))
	t.indexes[text] = added
	t.texts = append(t.texts, text)
	return added
}

func packTraffic(batch *shared.Batch) *fb.TrafficT {
	if batch == nil {
		return nil
	}
	table := newTextTable()
	packed := &fb.TrafficT{Stage: byte(batch.Stage)}
	for _, news := range batch.News {
		packed.News = append(packed.News, packNews(table, news))
	}
	packed.Texts = table.texts
	return packed
}

func packNews(table *textTable, news shared.News) *fb.TrafficNewsT {
	packed := &fb.TrafficNewsT{Node: table.index(string(news.Node))}
	for _, load := range news.Loads {
		packed.Loads = append(packed.Loads, packLoad(table, load))
	}
	for _, dispatch := range news.Dispatches {
		packed.Dispatches = append(packed.Dispatches, packDispatch(table, dispatch))
	}
	for _, report := range news.Reports {
		packed.Reports = append(packed.Reports, packReport(table, report))
	}
	for _, denial := range news.Denials {
		packed.Denials = append(packed.Denials, &fb.TrafficDenialT{
			Address:  table.index(denial.Address),
			Instance: table.index(denial.Instance),
		})
	}
	for _, report := range news.Outcomes {
		packed.Outcomes = append(packed.Outcomes, &fb.TrafficOutcomesT{
			Address:  table.index(report.Address),
			Failures: float32(report.Failures),
			Total:    float32(report.Total),
		})
	}
	return packed
}

func packLoad(table *textTable, load kvrouter.AddressLoad) *fb.TrafficLoadT {
	packed := &fb.TrafficLoadT{
		Address:      table.index(load.Address),
		DecodeTokens: float32(load.DecodeTokens),
		Requests:     float32(load.Requests),
	}
	for priority, tokens := range load.PrefillTokens {
		if tokens == 0 {
			continue
		}
		for len(packed.PrefillTokens) <= priority {
			packed.PrefillTokens = append(packed.PrefillTokens, 0)
		}
		packed.PrefillTokens[priority] = float32(tokens)
	}
	return packed
}

func packDispatch(table *textTable, dispatch shared.Dispatch) *fb.TrafficDispatchT {
	packed := &fb.TrafficDispatchT{Address: table.index(dispatch.Address)}
	for _, link := range dispatch.Links {
		packed.Links = append(packed.Links, &fb.PartLinkT{Name: uint64(link.Hash), Tokens: link.Tokens})
	}
	return packed
}

func packReport(table *textTable, report shared.Report) *fb.TrafficReportT {
	packed := &fb.TrafficReportT{
		Address:     table.index(report.Address),
		Incarnation: report.Feed.Incarnation,
		From:        report.Feed.From,
		Next:        report.Feed.Next,
		Lost:        report.Feed.Lost,
		Whole:       report.Whole,
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

// texts is the text table of a message that was received.
type texts []string

// at returns a text, or "" for an index that the message does not have.
func (t texts) at(index uint32) string {
	if int64(index) >= int64(len(t)) {
		return ""
	}
	return t[index]
}

func (r *reader) traffic(table *fb.Traffic) *shared.Batch {
	if table == nil {
		return nil
	}
	named := make(texts, r.elements(table.TextsLength(), leastStringBytes))
	for i := range named {
		named[i] = r.text(table.Texts(i))
	}
	batch := &shared.Batch{Stage: shared.Stage(table.Stage())}
	batch.News = make([]shared.News, r.elements(table.NewsLength(), leastTableBytes))
	var stored fb.TrafficNews
	for i := range batch.News {
		table.News(&stored, i)
		batch.News[i] = shared.News{
			Node:       member.ID(named.at(stored.Node())),
			Loads:      r.trafficLoads(&stored, named),
			Dispatches: r.trafficDispatches(&stored, named),
			Reports:    r.trafficReports(&stored, named),
			Denials:    r.trafficDenials(&stored, named),
			Outcomes:   r.trafficOutcomes(&stored, named),
		}
	}
	return batch
}

func (r *reader) trafficLoads(table *fb.TrafficNews, named texts) []kvrouter.AddressLoad {
	loads := make([]kvrouter.AddressLoad, r.elements(table.LoadsLength(), leastTableBytes))
	var stored fb.TrafficLoad
	for i := range loads {
		table.Loads(&stored, i)
		loads[i].Address = named.at(stored.Address())
		loads[i].DecodeTokens = float64(stored.DecodeTokens())
		loads[i].Requests = float64(stored.Requests())
		for priority := range min(stored.PrefillTokensLength(), kvrouter.Priorities) {
			loads[i].PrefillTokens[priority] = float64(stored.PrefillTokens(priority))
		}
	}
	return loads
}

func (r *reader) trafficDispatches(table *fb.TrafficNews, named texts) []shared.Dispatch {
	dispatches := make([]shared.Dispatch, r.elements(table.DispatchesLength(), leastTableBytes))
	var stored fb.TrafficDispatch
	for i := range dispatches {
		table.Dispatches(&stored, i)
		dispatches[i] = shared.Dispatch{
			Address: named.at(stored.Address()),
			Links:   r.partLinks(&stored),
		}
	}
	return dispatches
}

func (r *reader) partLinks(stored *fb.TrafficDispatch) []prefixindex.Link {
	links := make([]prefixindex.Link, r.elements(stored.LinksLength(), partLinkBytes))
	var link fb.PartLink
	for i := range links {
		stored.Links(&link, i)
		links[i] = prefixindex.Link{Hash: prefixindex.ChainHash(link.Name()), Tokens: link.Tokens()}
	}
	return links
}

func (r *reader) trafficReports(table *fb.TrafficNews, named texts) []shared.Report {
	reports := make([]shared.Report, r.elements(table.ReportsLength(), leastTableBytes))
	var stored fb.TrafficReport
	for i := range reports {
		table.Reports(&stored, i)
		reports[i] = shared.Report{
			Address: named.at(stored.Address()),
			Feed: kvrouter.Feed{
				Incarnation: stored.Incarnation(),
				From:        stored.From(),
				Next:        stored.Next(),
				Lost:        stored.Lost(),
			},
			Whole:   stored.Whole(),
			Changes: r.partChanges(&stored),
		}
	}
	return reports
}

func (r *reader) partChanges(stored *fb.TrafficReport) []shared.Change {
	changes := make([]shared.Change, r.elements(stored.ChangesLength(), partChangeBytes))
	var change fb.PartChange
	for i := range changes {
		stored.Changes(&change, i)
		changes[i] = shared.Change{
			Sequence: change.Sequence(),
			Name:     prefixindex.ChainHash(change.Name()),
			Tokens:   change.Tokens(),
			Removed:  change.Removed(),
		}
	}
	return changes
}

func (r *reader) trafficDenials(table *fb.TrafficNews, named texts) []shared.Denial {
	denials := make([]shared.Denial, r.elements(table.DenialsLength(), leastTableBytes))
	var stored fb.TrafficDenial
	for i := range denials {
		table.Denials(&stored, i)
		denials[i] = shared.Denial{Address: named.at(stored.Address()), Instance: named.at(stored.Instance())}
	}
	return denials
}

func (r *reader) trafficOutcomes(table *fb.TrafficNews, named texts) []outlier.Report {
	outcomes := make([]outlier.Report, r.elements(table.OutcomesLength(), leastTableBytes))
	var stored fb.TrafficOutcomes
	for i := range outcomes {
		table.Outcomes(&stored, i)
		outcomes[i] = outlier.Report{
			Address:  named.at(stored.Address()),
			Failures: float64(stored.Failures()),
			Total:    float64(stored.Total()),
		}
	}
	return outcomes
}
