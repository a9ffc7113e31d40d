package sim

import (
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

const (
	// verificationOrders is the number of orders that are issued once the service
	// must be back.
	verificationOrders = 3
	verificationEvery  = 400 * time.Millisecond
)

// recoveryChecks check in the recovery phase, in which no fault is active, that
// service is back and that orders take effect within their bounds.
type recoveryChecks struct {
	env       *environment
	machines  *machines
	platform  *platform
	operators *operators
	checks    *checks
}

// schedule schedules the checks of the recovery phase.
func (c *recoveryChecks) schedule() {
	back := c.env.settings.recoveryPhaseStart() + ServiceBackBound
	c.env.at(back, c.checkServiceBack)
	for number := range verificationOrders {
		c.env.at(back+time.Duration(number)*verificationEvery, func() { c.verifyOrder(c.operators.addKey(0)) })
	}
	if c.env.settings.FailOpen {
		c.env.at(back+verificationOrders*verificationEvery+AcknowledgeBound, c.checkDocument)
	}
	for _, pool := range poolNames {
		c.env.at(back+verificationOrders*verificationEvery, func() { c.verifyWeights(pool) })
	}
	c.env.at(c.env.settings.Virtual-time.Millisecond, c.checkOrdersFinished)
}

// checkServiceBack checks that every node serves, and that every pool has an
// admitting replica where one is listed, running, and not evacuated.
func (c *recoveryChecks) checkServiceBack() {
	for _, one := range c.machines.nodes {
		if !one.serving() {
			c.env.violate("service_back", "%s does not serve %v after the faults", one.info.ID, ServiceBackBound)
			continue
		}
		for _, pool := range poolNames {
			c.checkPoolBack(one, pool)
		}
	}
}

// checkPoolBack checks that a node admits to a pool that may serve. A roll-out
// may have taken the last of its replicas out of service at this instant; then
// the node has to admit again within ReplicaOutBound.
func (c *recoveryChecks) checkPoolBack(one *node, pool string) {
	if !c.mayServe(one.view, pool) || admits(one.view, pool) {
		return
	}
	if !c.rollingOut(one, pool) {
		c.env.violate("service_back", "%s admits nothing to pool %s %v after the faults", one.info.ID, pool, ServiceBackBound)
		return
	}
	c.awaitReplicaBack(one, pool)
}

// awaitReplicaBack checks that the last replica that a roll-out took out of
// service is back within ReplicaOutBound. If newer weights are named in the
// meantime, the replica may load them at once, and gets the same time again.
func (c *recoveryChecks) awaitReplicaBack(one *node, pool string) {
	version := one.machine.WeightsStatus(pool).GetWeightVersion()
	c.env.after(ReplicaOutBound, func() {
		switch {
		case !c.mayServe(one.view, pool) || admits(one.view, pool):
		case one.machine.WeightsStatus(pool).GetWeightVersion() != version && c.rollingOut(one, pool):
			c.awaitReplicaBack(one, pool)
		default:
			c.env.violate("service_back", "%s admits nothing to pool %s %v after its last replica was taken out", one.info.ID, pool, ReplicaOutBound)
		}
	})
}

// rollingOut reports whether a node knows every usable replica of a pool to be
// out of service for a roll-out.
func (c *recoveryChecks) rollingOut(one *node, pool string) bool {
	phases := map[string]string{}
	for _, status := range one.machine.WeightsStatus(pool).GetReplicas() {
		phases[status.GetAddress()] = status.GetPhase()
	}
	return lo.EveryBy(c.usable(one.view, pool), func(usable *replica) bool {
		phase := phases[usable.address]
		return phase == "draining" || phase == "loading"
	})
}

// mayServe reports whether a pool has a usable replica.
func (c *recoveryChecks) mayServe(view *routing.View, pool string) bool {
	return view.Pools[pool] != nil && len(c.usable(view, pool)) > 0
}

// usable returns the replicas of a pool that the platform lists as running in
// zones that are not evacuated.
func (c *recoveryChecks) usable(view *routing.View, pool string) []*replica {
	evacuated := map[string]bool{}
	for _, evacuation := range view.Configuration.GetEvacuations() {
		evacuated[evacuation.GetZone()] = true
	}
	var usable []*replica
	for _, entry := range c.platform.entries() {
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
func (c *recoveryChecks) verifyOrder(order *operatorOrder) {
	c.operators.issue(order)
	c.env.after(AcknowledgeBound, func() {
		if !order.acknowledged() {
			c.env.violate("acknowledged_in_calm", "order %s has no acknowledgement after %v", order.content.GetOrderId(), AcknowledgeBound)
			return
		}
		c.env.at(order.finishedAt+SpreadBound, func() { c.checkSpread(order) })
	})
}

func (c *recoveryChecks) checkSpread(order *operatorOrder) {
	for _, one := range c.machines.nodes {
		if !one.serving() || one.view.Revision < order.reply.GetRevision() {
			c.env.violate("spread_in_calm", "%s does not serve revision %d %v after its acknowledgement", one.info.ID, order.reply.GetRevision(), SpreadBound)
		}
	}
}

// verifyWeights names new weights, which must run on every replica within the
// bound.
func (c *recoveryChecks) verifyWeights(pool string) {
	order := c.operators.nameWeights(0, pool)
	c.verifyOrder(order)
	c.env.after(AcknowledgeBound, func() {
		if order.finished {
			c.env.at(order.finishedAt+c.env.settings.weightsBound(), func() { c.checkWeights(pool, order.change.WeightVersion) })
		}
	})
}

func (c *recoveryChecks) checkWeights(pool, version string) {
	for _, entry := range c.platform.entries() {
		one := entry.replica
		if one.pool == pool && !entry.draining && !entry.removed && one.version != version {
			c.env.violate("weights_settle", "%s runs %q instead of %s after %v of calm", one.address, one.version, version, c.env.settings.weightsBound())
		}
	}
	for _, one := range c.machines.nodes {
		if !one.serving() || one.view.Pools[pool] == nil {
			c.env.violate("weights_settle", "%s does not serve pool %s after %v of calm", one.info.ID, pool, checker.WeightsBound)
			continue
		}
		for _, target := range c.usable(one.view, pool) {
			c.checkAdmitting(one, target)
		}
	}
}

func (c *recoveryChecks) checkAdmitting(one *node, target *replica) {
	endpoint, found := lo.Find(one.view.Pools[target.pool].Replicas, func(endpoint routing.Replica) bool {
		return endpoint.Address == target.address
	})
	if !found || !endpoint.Admitting {
		c.env.violate("weights_settle", "%s admits nothing to %s after %v of calm", one.info.ID, target.address, checker.WeightsBound)
	}
}

// checkOrdersFinished checks that every order got its final reply.
func (c *recoveryChecks) checkOrdersFinished() {
	for _, order := range c.operators.orders {
		if !order.finished && !order.once {
			c.env.violate("order_settles", "order %s, first sent at %v, has no final answer", order.content.GetOrderId(), order.firstSent)
		}
	}
}

// checkDocument checks that the document in force can be read at any node, and is
// the newest acknowledged one, or a later one whose outcome is unknown.
func (c *recoveryChecks) checkDocument() {
	const readBound = time.Second
	for _, reader := range c.machines.nodes {
		var read *ridgeswitchv1.Source
		reader.calls.read(reader.machine.ReadSource, func(reply control.Reply) { read = reply.Source })
		c.env.after(readBound, func() { c.compareDocument(reader, read) })
	}
}

func (c *recoveryChecks) compareDocument(reader *node, read *ridgeswitchv1.Source) {
	newest := c.operators.newestDocument()
	switch {
	case read.GetVersion() < newest.GetVersion():
		c.env.violate("document_kept", "%s reads version %d although %d was acknowledged", reader.info.ID, read.GetVersion(), newest.GetVersion())
	case read.GetVersion() == newest.GetVersion() && !proto.Equal(read, newest):
		c.env.violate("document_kept", "%s reads version %d with another content than was acknowledged", reader.info.ID, read.GetVersion())
	}
}
