package sim

import "time"

// backendFaults disturb replicas, the calls to them, and the platform's list.
type backendFaults struct {
	env      *environment
	platform *platform
	backends *backendCalls
	orders   faultOrders
}

// delayCommands delays some commands on their way to replicas.
func (f *backendFaults) delayCommands() {
	f.backends.delays++
	f.orders.issue(f.orders.nameWeights(0, pick(f.env.randomness, poolNames)))
	f.env.after(f.env.faultDuration(3*time.Second, 8*time.Second), func() { f.backends.delays-- })
}

// crashReplica stops a replica, which comes back with its weights or with older
// ones.
func (f *backendFaults) crashReplica() {
	victim := pick(f.env.randomness, f.platform.entries()).replica
	if !victim.up {
		return
	}
	victim.crash()
	version := victim.lastVersion
	if f.env.chance(0.5) && !f.env.settings.FinishFirst {
		version = firstWeights
	}
	f.env.after(f.env.faultDuration(500*time.Millisecond, 4*time.Second), func() { victim.restart(version) })
}

// drainOrRemoveReplica has the platform drain or remove a replica for a while.
func (f *backendFaults) drainOrRemoveReplica() {
	entry := pick(f.env.randomness, f.platform.entries())
	remove := f.env.chance(0.3)
	f.platform.change(func() {
		entry.draining = true
		entry.removed = remove
	})
	f.env.logf(worldColumn, "%s leaves the list", entry.replica.address)
	f.env.after(f.env.faultDuration(time.Second, 10*time.Second), func() {
		f.platform.change(func() { entry.draining, entry.removed = false, false })
		f.env.logf(worldColumn, "%s is listed", entry.replica.address)
	})
}

// lagPlatform delays the platform's endpoint list.
func (f *backendFaults) lagPlatform() {
	if f.platform.lagging {
		return
	}
	f.platform.lagging = true
	f.env.after(f.env.faultDuration(time.Second, 4*time.Second), func() {
		f.platform.lagging = false
		f.platform.show()
	})
}
