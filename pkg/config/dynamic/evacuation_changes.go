package dynamic

import (
	"fmt"
	"slices"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// evacuationChanges remembers in which revision the evacuation of each zone last began or
// ended, for the newest MaxEvacuationChanges zones. By it the machine refuses a copy of an
// order that comes after a later order for the same zone.
type evacuationChanges struct {
	// oldestFirst has each zone once, in the order of the revisions.
	oldestFirst []*controlpb.EvacuationChange
}

func newEvacuationChanges(changes []*controlpb.EvacuationChange) *evacuationChanges {
	return &evacuationChanges{oldestFirst: cloneEvacuationChanges(changes)}
}

// record takes the zones whose evacuation begins or ends where one configuration follows
// another.
func (c *evacuationChanges) record(before, after *ridgeswitchv1.Configuration) {
	ended, begun := lo.Difference(evacuatedZones(before), evacuatedZones(after))
	for _, zone := range slices.Concat(ended, begun) {
		c.add(zone, after.GetRevision())
	}
}

// add replaces the revision of a zone, and removes the oldest zone beyond the bound.
func (c *evacuationChanges) add(zone string, revision uint64) {
	c.oldestFirst = slices.DeleteFunc(c.oldestFirst, func(change *controlpb.EvacuationChange) bool {
		return change.GetZone() == zone
	})
	c.oldestFirst = append(c.oldestFirst, &controlpb.EvacuationChange{Zone: zone, Revision: revision})
	if len(c.oldestFirst) > MaxEvacuationChanges {
		c.oldestFirst = slices.Delete(c.oldestFirst, 0, 1)
	}
}

// last returns the revision after which the evacuation of a zone has not changed. Of a
// zone that may have been removed beyond the bound it is that of the oldest one kept.
func (c *evacuationChanges) last(zone string) uint64 {
	for _, change := range c.oldestFirst {
		if change.GetZone() == zone {
			return change.GetRevision()
		}
	}
	if len(c.oldestFirst) < MaxEvacuationChanges {
		return 0
	}
	return c.oldestFirst[0].GetRevision()
}

// check refuses a conditional change of a zone whose evacuation has changed since, and one
// that builds on a revision which has never been in force.
func (c *evacuationChanges) check(change *controlpb.SetEvacuation, inForce uint64) error {
	if change == nil || change.UnchangedSince == nil {
		return nil
	}
	since, last := change.GetUnchangedSince(), c.last(change.GetZone())
	if last <= since && since <= inForce {
		return nil
	}
	return &Error{
		Kind:  KindEvacuationChanged,
		Field: "unchanged_since",
		Message: fmt.Sprintf("is revision %d, the evacuation of zone %q last changed in revision %d, and %d is in force; read the configuration and decide anew",
			since, change.GetZone(), last, inForce),
		Revision: inForce,
	}
}

// all returns copies of all changes, oldest first.
func (c *evacuationChanges) all() []*controlpb.EvacuationChange {
	return cloneEvacuationChanges(c.oldestFirst)
}

func cloneEvacuationChanges(changes []*controlpb.EvacuationChange) []*controlpb.EvacuationChange {
	return lo.Map(changes, func(change *controlpb.EvacuationChange, _ int) *controlpb.EvacuationChange {
		return proto.CloneOf(change)
	})
}

// evacuatedZones returns the names of the zones that a configuration evacuates.
func evacuatedZones(configuration *ridgeswitchv1.Configuration) []string {
	return lo.Map(configuration.GetEvacuations(), func(evacuation *ridgeswitchv1.ZoneEvacuation, _ int) string {
		return evacuation.GetZone()
	})
}
