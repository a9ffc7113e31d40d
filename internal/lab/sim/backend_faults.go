package sim

import (
	"time"
)

// delayCommands delays some commands on their way to replicas.
func (f *faultInjector) delayCommands() {
	f.delayedCommandFaults++
	f.world.operators.issue(f.world.operators.nameWeights(0, pick(f.world, poolNames)))
	f.world.after(f.duration(3*time.Second, 8*time.Second), func() { f.delayedCommandFaults-- })
}

// crashReplica stops a replica, which comes back with its weights or with older
// ones.
func (f *faultInjector) crashReplica() {
	victim := pick(f.world, f.world.platform.entries()).replica
	if !victim.up {
		return
	}
	victim.crash()
	version := victim.lastVersion
	if f.world.chance(0.5) && !f.world.settings.FinishFirst {
		version = firstWeights
	}
	f.world.after(f.duration(500*time.Millisecond, 4*time.Second), func() { victim.restart(version) })
}

// drainOrRemoveReplica has the platform drain or remove a replica for a while.
func (f *faultInjector) drainOrRemoveReplica() {
	entry := pick(f.world, f.world.platform.entries())
	remove := f.world.chance(0.3)
	f.world.platform.change(func() {
		entry.draining = true
		entry.removed = remove
	})
	f.world.logf(worldColumn, "%s leaves the list", entry.replica.address)
	f.world.after(f.duration(time.Second, 10*time.Second), func() {
		f.world.platform.change(func() { entry.draining, entry.removed = false, false })
		f.world.logf(worldColumn, "%s is listed", entry.replica.address)
	})
}

// lagPlatform delays the platform's endpoint list.
func (f *faultInjector) lagPlatform() {
	if f.world.platform.lagging {
		return
	}
	f.world.platform.lagging = true
	f.world.after(f.duration(time.Second, 4*time.Second), func() {
		f.world.platform.lagging = false
		f.world.platform.show()
	})
}
