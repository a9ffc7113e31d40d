package node

import (
	"slices"

	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

// Reload takes over what may change in the settings while the node runs: the
// seeds. Faulty settings change nothing. What needs a restart is logged.
func (n *Node) Reload(next *static.Settings) {
	if faults := next.Check(); len(faults) > 0 {
		for _, fault := range faults {
			n.log.WithError(fault).Error("the changed settings are faulty and were not taken over; correct them")
		}
		return
	}
	if changed := n.settings.NeedRestart(next); len(changed) > 0 {
		n.log.WithField("settings", changed).Warn("changed settings take effect at the next start of the node")
	}
	if slices.Equal(n.seeds, next.Seeds) {
		return
	}
	n.seeds = next.Seeds
	n.driver.SetSeeds(next.Seeds)
	n.log.WithField("seeds", next.Seeds).Info("took over changed seeds")
}
