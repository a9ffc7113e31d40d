package sim

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// documentOrder applies a configuration as a document under the operator's
// version, in uneven steps above the version that it replaces.
func (o *operators) documentOrder(configuration *ridgeswitchv1.Configuration, base uint64) *operatorOrder {
	configuration.Evacuations = nil
	o.nameCount++
	source := &ridgeswitchv1.Source{
		Version:     base + 1 + o.world.random.Uint64N(3),
		BaseVersion: base,
		Document:    fmt.Appendf(nil, "document %d", o.nameCount),
	}
	content, err := dynamic.DocumentOrder(configuration, source)
	return newOrder(content, err, checker.Change{Kind: checker.ChangeApply})
}

// changedDocumentOrder changes the document that an operator has read, and
// applies the result as its successor.
func (o *operators) changedDocumentOrder(read *ridgeswitchv1.Configuration) *operatorOrder {
	read = proto.CloneOf(read)
	if len(read.GetWebServices()) > 0 {
		read.Routes = append(read.Routes, &ridgeswitchv1.Route{
			Host:        fmt.Sprintf("d%d.example", o.nameCount),
			Destination: &ridgeswitchv1.Route_WebService{WebService: webService},
		})
	}
	return o.documentOrder(read, read.GetSource().GetVersion())
}

// raceDocuments lets operators apply successors of the same document.
func (o *operators) raceDocuments() {
	read := o.readConfiguration()
	for range ordersPerRace {
		o.world.after(o.world.upTo(20*time.Millisecond), func() { o.issue(o.changedDocumentOrder(read)) })
	}
}

// documentAcknowledged checks that at most one successor of each version is
// acknowledged.
func (c *checks) documentAcknowledged(order *operatorOrder) {
	document := order.content.GetApplyDocument()
	if document == nil {
		return
	}
	base := document.GetSource().GetBaseVersion()
	winner, taken := c.documents[base]
	if taken && winner != order.content.GetOrderId() {
		c.world.violate("one_document_per_base", "documents %s and %s were both acknowledged on version %d", winner, order.content.GetOrderId(), base)
	}
	c.documents[base] = order.content.GetOrderId()
}

// newestDocument returns the acknowledged document with the highest version.
func (o *operators) newestDocument() *ridgeswitchv1.Source {
	var newest *ridgeswitchv1.Source
	for _, order := range o.orders {
		source := order.content.GetApplyDocument().GetSource()
		if order.finished && order.outcome == checker.OutcomeAcknowledged && source.GetVersion() > newest.GetVersion() {
			newest = source
		}
	}
	return newest
}

// checkDocument checks that the document in force can be read at any node, and is
// the newest acknowledged one, or a later one whose outcome is unknown.
func (w *simulation) checkDocument() {
	const readBound = time.Second
	for _, reader := range w.nodes {
		var read *ridgeswitchv1.Source
		reader.nextTicket++
		reader.reads[reader.nextTicket] = func(reply control.Reply) { read = reply.Source }
		ticket := reader.nextTicket
		reader.post(reader.process, func(now time.Duration) control.Output { return reader.machine.ReadSource(now, ticket) })
		w.after(readBound, func() { w.compareDocument(reader, read) })
	}
}

func (w *simulation) compareDocument(reader *node, read *ridgeswitchv1.Source) {
	newest := w.operators.newestDocument()
	switch {
	case read.GetVersion() < newest.GetVersion():
		w.violate("document_kept", "%s reads version %d although %d was acknowledged", reader.info.ID, read.GetVersion(), newest.GetVersion())
	case read.GetVersion() == newest.GetVersion() && !proto.Equal(read, newest):
		w.violate("document_kept", "%s reads version %d with another content than was acknowledged", reader.info.ID, read.GetVersion())
	}
}
