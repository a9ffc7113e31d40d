package sim

import (
	"maps"
	"slices"

	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

// evacuationChecks check that an acknowledged evacuation stands, or its end, until the same
// operator orders otherwise, whatever copies of earlier orders come late.
type evacuationChecks struct {
	env *environment
	// standing are the zones whose last order was acknowledged.
	standing map[string]standingEvacuation
}

// standingEvacuation is what an operator knows of a zone from a revision on.
type standingEvacuation struct {
	evacuated bool
	revision  uint64
}

func newEvacuationChecks(env *environment) *evacuationChecks {
	return &evacuationChecks{env: env, standing: map[string]standingEvacuation{}}
}

// evacuationOrdered records that the operator has given another order for a zone.
func (c *evacuationChecks) evacuationOrdered(zone string) { delete(c.standing, zone) }

// evacuationAcknowledged records that the operator knows its order to be in force.
func (c *evacuationChecks) evacuationAcknowledged(zone string, evacuated bool, revision uint64) {
	c.standing[zone] = standingEvacuation{evacuated: evacuated, revision: revision}
}

// checkEvacuationsStand checks a view that a node has put in force.
func (c *evacuationChecks) checkEvacuationsStand(n *node, view *routing.View) {
	var evacuated []string
	for _, evacuation := range view.Configuration.GetEvacuations() {
		evacuated = append(evacuated, evacuation.GetZone())
	}
	for _, zone := range slices.Sorted(maps.Keys(c.standing)) {
		known := c.standing[zone]
		if view.Revision >= known.revision && slices.Contains(evacuated, zone) != known.evacuated {
			c.env.violate("evacuation_undone", "%s serves revision %d with zone %s evacuated: %t, against the order that was acknowledged with revision %d",
				n.info.ID, view.Revision, zone, !known.evacuated, known.revision)
		}
	}
}
