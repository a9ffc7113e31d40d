package sim

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// operatorCalls are the operators' calls that wait for a reply of a node.
type operatorCalls struct {
	node *node
	// tickets are the open submissions of this process; nil while none runs.
	tickets map[uint64]*submission
	// reads are called with the replies to reads.
	reads      map[uint64]func(control.Reply)
	nextTicket uint64
}

// reset begins the calls to a new process.
func (c *operatorCalls) reset() {
	c.tickets = map[uint64]*submission{}
	c.reads = map[uint64]func(control.Reply){}
}

// abandon ends the calls to a process that has ended: their connections break.
func (c *operatorCalls) abandon() {
	for _, open := range c.tickets {
		open.abandoned = true
	}
	c.tickets = nil
}

// submit gives a submission to the node's control machine.
func (c *operatorCalls) submit(sent *submission) {
	n := c.node
	c.nextTicket++
	ticket := c.nextTicket
	c.tickets[ticket] = sent
	content := n.operators.submitted(sent)
	sent.sentID = content.GetOrderId()
	n.logf("< %s", content.GetOrderId())
	n.post(n.process, func(now time.Duration) control.Output {
		return n.machine.Submit(now, ticket, content)
	})
}

// read gives a read to the node's control machine, and returns its ticket.
func (c *operatorCalls) read(send func(now time.Duration, ticket uint64) control.Output, replied func(control.Reply)) uint64 {
	c.nextTicket++
	ticket := c.nextTicket
	c.reads[ticket] = replied
	c.node.post(c.node.process, func(now time.Duration) control.Output { return send(now, ticket) })
	return ticket
}

// cancelRead gives up a read that has no reply.
func (c *operatorCalls) cancelRead(ticket uint64) {
	if _, open := c.reads[ticket]; open {
		delete(c.reads, ticket)
		c.node.post(c.node.process, func(now time.Duration) control.Output { return c.node.machine.Cancel(now, ticket) })
	}
}

// deliverReply hands a reply to the operator.
func (c *operatorCalls) deliverReply(reply control.Reply) {
	if read, found := c.reads[reply.Ticket]; found {
		delete(c.reads, reply.Ticket)
		read(reply)
		return
	}
	sent, known := c.tickets[reply.Ticket]
	if !known {
		return
	}
	delete(c.tickets, reply.Ticket)
	n := c.node
	sent.replied = true
	sent.record.Answered = n.env.now
	sent.record.Outcome = outcomeOf(reply)
	sent.record.Revision = reply.Answer.GetRevision()
	sent.record.ProblemKind = reply.Answer.GetProblem().GetKind()
	if sent.record.Outcome == checker.OutcomeRefused && sent.order.mayBeAppliedLater() {
		sent.order.ambiguous = true
		sent.record.Outcome = checker.OutcomeUnavailable
	}
	n.logf("> %s %s r%d", sent.record.OrderID, sent.record.Outcome, sent.record.Revision)
	n.operators.handleReply(sent, reply.Answer)
}
