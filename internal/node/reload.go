package node

import (
	"errors"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

// Reload applies the settings that can change while the node runs: the seeds and the log
// level. Invalid settings change nothing, and the error contains all their faults. Reload
// logs the names of changed settings that need a restart.
func (n *Node) Reload(next *static.Settings) error {
	if faults := next.Check(); len(faults) > 0 {
		return errors.Join(faults...)
	}
	level, err := logrus.ParseLevel(next.LogLevel)
	if err != nil {
		return err
	}
	n.log.Logger.SetLevel(level)
	if changed := n.settings.NeedRestart(next); len(changed) > 0 {
		n.log.WithField("settings", changed).Warn("changed settings take effect at the next start of the node")
	}
	if slices.Equal(n.seeds, next.Seeds) {
		return nil
	}
	n.seeds = next.Seeds
	n.driver.SetSeeds(n.storage.seeds(next))
	n.log.WithField("seeds", next.Seeds).Info("applied changed seeds")
	return nil
}
