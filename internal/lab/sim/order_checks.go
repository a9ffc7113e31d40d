package sim

import (
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// orderChecks check the replies to orders.
type orderChecks struct {
	env          *environment
	connectivity *connectivity
	operators    *operators
	revisions    *revisionChecks
	requests     *requestChecks
	// documents are the acknowledged documents by the version that they replace.
	documents map[uint64]string
}

// orderReplied records what operators know from now on, and checks that a reply
// belongs to the order that it is given to.
func (c *orderChecks) orderReplied(sent *submission, reply *controlpb.Answer) {
	record := sent.record
	if answered := reply.GetOrderId(); answered != "" && answered != sent.sentID {
		c.env.violate("answer_of_order", "%s answered order %s with the answer to %s", record.Node, sent.sentID, answered)
	}
	c.env.trace(record.OrderID+string(record.Outcome), record.Revision)
	if record.Outcome != checker.OutcomeAcknowledged {
		return
	}
	c.revisions.recordAcknowledged(record)
	if record.Change.Kind == checker.ChangeWeights {
		c.requests.weightsAcknowledged(record.Change, record.Revision)
	}
	c.documentAcknowledged(sent.order)
}

// documentAcknowledged checks that at most one successor of each version is
// acknowledged.
func (c *orderChecks) documentAcknowledged(order *operatorOrder) {
	document := order.content.GetApplyDocument()
	if document == nil {
		return
	}
	base := document.GetSource().GetBaseVersion()
	winner, taken := c.documents[base]
	if taken && winner != order.content.GetOrderId() {
		c.env.violate("one_document_per_base", "documents %s and %s were both acknowledged on version %d", winner, order.content.GetOrderId(), base)
	}
	c.documents[base] = order.content.GetOrderId()
}

// awaitAcknowledgement checks that an order of a fail-open deployment is answered
// within failOpenAcknowledge, if no node and no link is disturbed from
// failOpenContact before it until then.
func (c *orderChecks) awaitAcknowledgement(order *operatorOrder) {
	if !c.env.settings.FailOpen || !c.connectivity.undisturbed() {
		return
	}
	c.env.after(failOpenAcknowledge, func() {
		if !order.finished && c.connectivity.disturbedAt < order.firstSent {
			c.env.violate("acknowledged_in_time", "order %s has no answer after %v of calm", order.content.GetOrderId(), failOpenAcknowledge)
		}
	})
}

// submissions returns the records of all submissions.
func (c *orderChecks) submissions() []checker.Order {
	var records []checker.Order
	for _, order := range c.operators.orders {
		records = append(records, lo.Map(order.submissions, func(sent *submission, _ int) checker.Order { return sent.record })...)
	}
	return records
}
