// Package shared holds what nodes tell each other of their traffic: the load
// that each has on the replicas, which prompts it sent where, and what replicas
// and stores reported to it of the parts that they keep. All of it may be lost,
// late or doubled without harm: it only makes the choice of replicas better.
package shared

import (
	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// Message is what a node tells the others at one time.
type Message struct {
	Loads      []kvrouter.AddressLoad
	Dispatches []Dispatch
	Reports    []Report
}

// Dispatch tells of a request that was sent to a replica.
type Dispatch struct {
	// Address is that of the replica, and of the store that its parts are saved
	// to in a Dispatch of their own.
	Address   string
	Model     string
	CacheSalt string
	Naming    kvrouter.Naming
	Parts     []prefixindex.Part
}

// Report hands on a page of a replica's or store's reports.
type Report struct {
	Address string
	Feed    kvrouter.Feed
	// Whole tells that the changes are all that is kept, instead of changes.
	Whole   bool
	Changes []kvrouter.PartChange
}

// Empty tells whether the message says nothing.
func (m *Message) Empty() bool {
	return len(m.Loads) == 0 && len(m.Dispatches) == 0 && len(m.Reports) == 0
}
