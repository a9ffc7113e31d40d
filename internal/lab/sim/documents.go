package sim

import (
	"fmt"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// largeDocumentBytes is the size of large documents: most of the largest command.
const largeDocumentBytes = diskBytes / 14

// documentOrder applies a configuration as a document under the operator's
// version, in uneven steps above the version that it replaces.
func (o *orderFactory) documentOrder(configuration *ridgeswitchv1.Configuration, base uint64) *operatorOrder {
	return o.paddedDocumentOrder(configuration, base, 0)
}

// paddedDocumentOrder is documentOrder with a document that is padded to a size.
func (o *orderFactory) paddedDocumentOrder(configuration *ridgeswitchv1.Configuration, base uint64, bytes int) *operatorOrder {
	configuration.Evacuations = nil
	o.nameCount++
	source := &ridgeswitchv1.Source{
		Version:     base + 1 + o.env.random.Uint64N(3),
		BaseVersion: base,
		Document:    fmt.Appendf(nil, "document %-*d", bytes, o.nameCount),
	}
	content, err := dynamic.ModelDocumentOrder(configuration, source)
	return newOrder(content, err, checker.Change{Kind: checker.ChangeApply})
}

// changedDocumentOrder changes the document that an operator has read, and
// applies the result as its successor.
func (o *orderFactory) changedDocumentOrder(read *ridgeswitchv1.Configuration) *operatorOrder {
	return o.documentOrder(o.withAnotherRoute(read), read.GetSource().GetVersion())
}

// withoutPoolOrder applies the document that an operator has read without a pool and its routes.
func (o *orderFactory) withoutPoolOrder(read *ridgeswitchv1.Configuration, pool string) *operatorOrder {
	read = proto.CloneOf(read)
	read.Pools = lo.Reject(read.Pools, func(one *ridgeswitchv1.Pool, _ int) bool { return one.GetName() == pool })
	read.Routes = lo.Reject(read.Routes, func(one *ridgeswitchv1.Route, _ int) bool { return one.GetPool() == pool })
	return o.documentOrder(read, read.GetSource().GetVersion())
}

// replacedDocumentOrder applies an earlier document again in place of the one that an operator
// has read. Like a platform's documents it names no weights.
func (o *orderFactory) replacedDocumentOrder(read, earlier *ridgeswitchv1.Configuration) *operatorOrder {
	earlier = proto.CloneOf(earlier)
	for _, pool := range earlier.GetPools() {
		pool.WeightVersion = ""
	}
	return o.documentOrder(earlier, read.GetSource().GetVersion())
}

// largeDocumentOrder is changedDocumentOrder with a large document.
func (o *orderFactory) largeDocumentOrder(read *ridgeswitchv1.Configuration) *operatorOrder {
	return o.paddedDocumentOrder(o.withAnotherRoute(read), read.GetSource().GetVersion(), largeDocumentBytes)
}

// withAnotherRoute returns a copy of a configuration with a further route, if it has the
// service for that.
func (o *orderFactory) withAnotherRoute(read *ridgeswitchv1.Configuration) *ridgeswitchv1.Configuration {
	read = proto.CloneOf(read)
	if len(read.GetWebServices()) > 0 {
		read.Routes = append(read.Routes, &ridgeswitchv1.Route{
			Host:        fmt.Sprintf("d%d.example", o.nameCount),
			Destination: &ridgeswitchv1.Route_WebService{WebService: webService},
		})
	}
	return read
}

// raceDocuments lets operators apply successors of the same document.
func (o *operators) raceDocuments() {
	read := o.readConfiguration()
	for range ordersPerRace {
		o.env.after(o.env.upTo(20*time.Millisecond), func() { o.issue(o.changedDocumentOrder(read)) })
	}
}

// raceLargeDocuments lets two operators apply large successors of the same document.
func (o *operators) raceLargeDocuments() {
	read := o.readConfiguration()
	for range 2 {
		o.issue(o.largeDocumentOrder(read))
	}
}

// newestDocument returns the acknowledged document with the highest version.
func (o *operators) newestDocument() *ridgeswitchv1.Source {
	var newest *ridgeswitchv1.Source
	for _, order := range o.orders {
		source := order.content.GetApplyDocument().GetSource()
		if order.acknowledged() && source.GetVersion() > newest.GetVersion() {
			newest = source
		}
	}
	return newest
}
