package sim

import (
	"time"
)

// delayCommands delays some commands on their way to replicas.
func (w *simulation) delayCommands() {
	w.delayedCommandFaults++
	w.operators.issue(w.operators.nameWeights(0, pick(w, poolNames)))
	w.after(w.faultDuration(3*time.Second, 8*time.Second), func() { w.delayedCommandFaults-- })
}

// crashReplica stops a replica, which comes back with its weights or with older
// ones.
func (w *simulation) crashReplica() {
	victim := pick(w, w.platform.entries()).replica
	if !victim.up {
		return
	}
	victim.crash()
	version := victim.lastVersion
	if w.chance(0.5) && !w.settings.FinishFirst {
		version = firstWeights
	}
	w.after(w.faultDuration(500*time.Millisecond, 4*time.Second), func() { victim.restart(version) })
}

// drainOrRemoveReplica has the platform drain or remove a replica for a while.
func (w *simulation) drainOrRemoveReplica() {
	entry := pick(w, w.platform.entries())
	remove := w.chance(0.3)
	w.platform.change(func() {
		entry.draining = true
		entry.removed = remove
	})
	w.logf(worldColumn, "%s leaves the list", entry.replica.address)
	w.after(w.faultDuration(time.Second, 10*time.Second), func() {
		w.platform.change(func() { entry.draining, entry.removed = false, false })
		w.logf(worldColumn, "%s is listed", entry.replica.address)
	})
}

// lagPlatform delays the platform's endpoint list.
func (w *simulation) lagPlatform() {
	if w.platform.lagging {
		return
	}
	w.platform.lagging = true
	w.after(w.faultDuration(time.Second, 4*time.Second), func() {
		w.platform.lagging = false
		w.platform.show()
	})
}
