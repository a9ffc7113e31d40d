package sim

import (
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// verificationOrders is the number of orders that are issued once the service
	// must be back.
	verificationOrders = 3
	verificationEvery  = 400 * time.Millisecond
)

// scheduleRecoveryChecks schedules the checks of the recovery phase.
func (w *simulation) scheduleRecoveryChecks() {
	back := w.settings.recoveryPhaseStart() + ServiceBackBound
	w.at(back, w.checkServiceBack)
	for number := range verificationOrders {
		w.at(back+time.Duration(number)*verificationEvery, func() { w.verifyOrder(w.operators.addKey(0)) })
	}
	if w.settings.FailOpen {
		w.at(back+verificationOrders*verificationEvery+AcknowledgeBound, w.checkDocument)
	}
	for _, pool := range poolNames {
		w.at(back+verificationOrders*verificationEvery, func() { w.verifyWeights(pool) })
	}
	w.at(w.settings.Virtual-time.Millisecond, w.checkOrdersFinished)
}

// checkServiceBack checks that every node serves, and that every pool has an
// admitting replica where one is listed, running, and not evacuated.
func (w *simulation) checkServiceBack() {
	for _, one := range w.nodes {
		if !one.serving() {
			w.violate("service_back", "%s does not serve %v after the faults", one.info.ID, ServiceBackBound)
			continue
		}
		for _, pool := range poolNames {
			w.checkPoolBack(one, pool)
		}
	}
}

// checkPoolBack checks that a node admits to a pool that may serve. A roll-out
// may have taken the last of its replicas out of service at this instant; then
// the node has to admit again within ReplicaOutBound.
func (w *simulation) checkPoolBack(one *node, pool string) {
	if !w.mayServe(one.view, pool) || admits(one.view, pool) {
		return
	}
	if !w.rollingOut(one, pool) {
		w.violate("service_back", "%s admits nothing to pool %s %v after the faults", one.info.ID, pool, ServiceBackBound)
		return
	}
	w.awaitReplicaBack(one, pool)
}

// awaitReplicaBack checks that the last replica that a roll-out took out of
// service is back within ReplicaOutBound. If newer weights are named in the
// meantime, the replica may load them at once, and gets the same time again.
func (w *simulation) awaitReplicaBack(one *node, pool string) {
	version := one.machine.Weights(pool).GetWeightVersion()
	w.after(ReplicaOutBound, func() {
		switch {
		case !w.mayServe(one.view, pool) || admits(one.view, pool):
		case one.machine.Weights(pool).GetWeightVersion() != version && w.rollingOut(one, pool):
			w.awaitReplicaBack(one, pool)
		default:
			w.violate("service_back", "%s admits nothing to pool %s %v after its last replica was taken out", one.info.ID, pool, ReplicaOutBound)
		}
	})
}

// rollingOut reports whether a node knows every usable replica of a pool to be
// out of service for a roll-out.
func (w *simulation) rollingOut(one *node, pool string) bool {
	phases := map[string]string{}
	for _, status := range one.machine.Weights(pool).GetReplicas() {
		phases[status.GetAddress()] = status.GetPhase()
	}
	return lo.EveryBy(w.usable(one.view, pool), func(usable *replica) bool {
		phase := phases[usable.address]
		return phase == "draining" || phase == "loading"
	})
}

// mayServe reports whether a pool has a usable replica.
func (w *simulation) mayServe(view *routing.View, pool string) bool {
	return view.Pools[pool] != nil && len(w.usable(view, pool)) > 0
}

// usable returns the replicas of a pool that the platform lists as running in
// zones that are not evacuated.
func (w *simulation) usable(view *routing.View, pool string) []*replica {
	evacuated := map[string]bool{}
	for _, evacuation := range view.Configuration.GetEvacuations() {
		evacuated[evacuation.GetZone()] = true
	}
	var usable []*replica
	for _, entry := range w.platform.entries() {
		one := entry.replica
		if one.pool == pool && one.up && !entry.draining && !entry.removed && !evacuated[one.zone] {
			usable = append(usable, one)
		}
	}
	return usable
}

func admits(view *routing.View, pool string) bool {
	return lo.ContainsBy(view.Pools[pool].Replicas, func(one routing.Replica) bool { return one.Admitting })
}

// verifyOrder issues an order that must be acknowledged within AcknowledgeBound,
// and be in force on every node within SpreadBound after that.
func (w *simulation) verifyOrder(order *operatorOrder) {
	w.operators.issue(order)
	w.after(AcknowledgeBound, func() {
		if !order.finished || order.outcome != checker.OutcomeAcknowledged {
			w.violate("acknowledged_in_calm", "order %s has no acknowledgement after %v", order.content.GetOrderId(), AcknowledgeBound)
			return
		}
		w.at(order.finishedAt+SpreadBound, func() { w.checkSpread(order) })
	})
}

func (w *simulation) checkSpread(order *operatorOrder) {
	for _, one := range w.nodes {
		if !one.serving() || one.view.Revision < order.reply.GetRevision() {
			w.violate("spread_in_calm", "%s does not serve revision %d %v after its acknowledgement", one.info.ID, order.reply.GetRevision(), SpreadBound)
		}
	}
}

// verifyWeights names new weights, which must run on every replica within the
// bound.
func (w *simulation) verifyWeights(pool string) {
	order := w.operators.nameWeights(0, pool)
	w.verifyOrder(order)
	w.after(AcknowledgeBound, func() {
		if order.finished {
			w.checks.weightsAcknowledged(pool, order.change.WeightVersion, order.finishedAt)
			w.at(order.finishedAt+w.weightsBound(), func() { w.checkWeights(pool, order.change.WeightVersion) })
		}
	})
}

// weightsBound is the time without faults within which named weights must run
// everywhere.
func (w *simulation) weightsBound() time.Duration {
	if w.settings.FinishFirst {
		return finishFirstBound
	}
	return checker.WeightsBound
}

func (w *simulation) checkWeights(pool, version string) {
	for _, entry := range w.platform.entries() {
		one := entry.replica
		if one.pool == pool && !entry.draining && !entry.removed && one.version != version {
			w.violate("weights_settle", "%s runs %q instead of %s after %v of calm", one.address, one.version, version, w.weightsBound())
		}
	}
	for _, one := range w.nodes {
		if !one.serving() || one.view.Pools[pool] == nil {
			w.violate("weights_settle", "%s does not serve pool %s after %v of calm", one.info.ID, pool, checker.WeightsBound)
			continue
		}
		for _, target := range w.usable(one.view, pool) {
			w.checkAdmitting(one, target)
		}
	}
}

func (w *simulation) checkAdmitting(one *node, target *replica) {
	endpoint, found := lo.Find(one.view.Pools[target.pool].Replicas, func(endpoint routing.Replica) bool {
		return endpoint.Address == target.address
	})
	if !found || !endpoint.Admitting {
		w.violate("weights_settle", "%s admits nothing to %s after %v of calm", one.info.ID, target.address, checker.WeightsBound)
	}
}

// checkOrdersFinished checks that every order got its final reply.
func (w *simulation) checkOrdersFinished() {
	for _, order := range w.operators.orders {
		if !order.finished {
			w.violate("order_settles", "order %s, first sent at %v, has no final answer", order.content.GetOrderId(), order.firstSent)
		}
	}
}
