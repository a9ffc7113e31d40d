package sim

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// documentOrder applies a configuration as a document under the operator's
// version, in uneven steps above the version that it replaces.
func (o *orderFactory) documentOrder(configuration *ridgeswitchv1.Configuration, base uint64) *operatorOrder {
	configuration.Evacuations = nil
	o.nameCount++
	source := &ridgeswitchv1.Source{
		Version:     base + 1 + o.env.random.Uint64N(3),
		BaseVersion: base,
		Document:    fmt.Appendf(nil, "document %d", o.nameCount),
	}
	content, err := dynamic.DocumentOrder(configuration, source)
	return newOrder(content, err, checker.Change{Kind: checker.ChangeApply})
}

// changedDocumentOrder changes the document that an operator has read, and
// applies the result as its successor.
func (o *orderFactory) changedDocumentOrder(read *ridgeswitchv1.Configuration) *operatorOrder {
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
		o.env.after(o.env.upTo(20*time.Millisecond), func() { o.issue(o.changedDocumentOrder(read)) })
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
