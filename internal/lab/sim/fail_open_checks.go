package sim

// servedRevision is what a process last admitted under.
type servedRevision struct {
	process  uint64
	revision uint64
}

// admittedFailOpen checks an admission in a fail-open deployment: a node in contact
// serves what was acknowledged, and no process returns to an older revision.
func (c *checks) admittedFailOpen(n *node, revision uint64) {
	observer := c.world.connectivity
	if required := observer.requiredRevision(); revision < required && observer.inContact(n) {
		c.world.violate("in_force", "%s admitted under revision %d although %d was acknowledged %v ago, and it is in touch", n.info.ID, revision, required, inForceBound)
	}
	if last := c.servedByProcess[n]; last.process == n.process && revision < last.revision {
		c.world.violate("served_never_back", "%s admitted under revision %d after %d", n.info.ID, revision, last.revision)
	}
	c.servedByProcess[n] = servedRevision{process: n.process, revision: revision}
}

// awaitAcknowledgement checks that an order of a fail-open deployment is answered
// within failOpenAcknowledge, if no node and no link is disturbed from
// failOpenContact before it until then.
func (w *simulation) awaitAcknowledgement(order *operatorOrder) {
	if !w.settings.FailOpen || !w.connectivity.undisturbed() {
		return
	}
	w.after(failOpenAcknowledge, func() {
		if !order.finished && w.connectivity.disturbedAt < order.firstSent {
			w.violate("acknowledged_in_time", "order %s has no answer after %v of calm", order.content.GetOrderId(), failOpenAcknowledge)
		}
	})
}
