package dynamic

import (
	"fmt"
	"slices"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// evacuationChanges contains the revision in which the evacuation of a zone last began or
// ended, for the MaxEvacuationChanges zones that changed last. With it, the machine refuses a
// copy of a conditional order that arrives after a later order for the same zone.
type evacuationChanges struct {
	// oldestFirst contains each zone once, ordered by revision.
	oldestFirst []*controlpb.EvacuationChange
}

func newEvacuationChanges(changes []*controlpb.EvacuationChange) *evacuationChanges {
	return &evacuationChanges{oldestFirst: cloneEvacuationChanges(changes)}
}

// record stores the zones whose evacuation begins or ends when the configuration before is
// replaced by after.
func (c *evacuationChanges) record(before, after *ridgeswitchv1.Configuration) {
	ended, begun := lo.Difference(evacuatedZones(before), evacuatedZones(after))
	for _, zone := range slices.Concat(ended, begun) {
		c.add(zone, after.GetRevision())
	}
}

// add replaces the revision of a zone. If there are then more than MaxEvacuationChanges
// zones, it removes the oldest one.
func (c *evacuationChanges) add(zone string, revision uint64) {
	c.oldestFirst = slices.DeleteFunc(c.oldestFirst, func(change *controlpb.EvacuationChange) bool {
		return change.GetZone() == zone
	})
	c.oldestFirst = append(c.oldestFirst, &controlpb.EvacuationChange{Zone: zone, Revision: revision})
	if len(c.oldestFirst) > MaxEvacuationChanges {
		c.oldestFirst = slices.Delete(c.oldestFirst, 0, 1)
	}
}

// last returns a revision after which the evacuation of a zone has not changed: that of its
// last change, or 0 if there was none. For a zone that may have been removed because of the
// bound, it returns the revision of the oldest zone that is stored.
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

// check returns an *Error for a conditional change of a zone whose evacuation has changed
// after the revision of the condition, and for a condition on a revision that has not been in
// force. inForce is the revision in force.
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
