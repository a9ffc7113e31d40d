package driver

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// ErrStopped is returned for an order or a read that reaches a node that stops.
var ErrStopped = errors.New("the node is stopping; send the identical order to another node")

// NewOrderID returns an identity that no other order has, for an order that its
// operator gave none. A resend under another one must have the same effect.
func (d *Driver) NewOrderID() string {
	return d.machine.OrderIDPrefix() + strconv.FormatUint(d.orderIDs.Add(1), 10)
}

// Submit gives an order to the machine and waits for its answer. An error means that the
// outcome is unknown: the identical order may be sent again, at any node.
func (d *Driver) Submit(ctx context.Context, order *controlpb.Order) (*controlpb.Answer, error) {
	answers := make(chan control.Reply, 1)
	d.post(func(now time.Duration) control.Output {
		return d.machine.Submit(now, d.newTicket(answers), order)
	})
	reply, err := d.awaitReply(ctx, answers)
	if err != nil {
		return nil, errors.Wrap(err, "send the identical order again")
	}
	return reply.Answer, nil
}

// newTicket numbers what waits for a reply. It is called on the control
// goroutine.
func (d *Driver) newTicket(replies chan control.Reply) uint64 {
	d.nextTicket++
	d.replyChannels[d.nextTicket] = replies
	return d.nextTicket
}

// awaitReply waits for a reply. When the context ends, nobody needs the reply any more,
// so that the request is cancelled at the machine.
func (d *Driver) awaitReply(ctx context.Context, replies chan control.Reply) (control.Reply, error) {
	select {
	case reply := <-replies:
		return reply, reply.Err
	case <-ctx.Done():
		d.post(func(now time.Duration) control.Output { return d.cancel(now, replies) })
		return control.Reply{}, errors.Wrap(ctx.Err(), "not answered in time")
	case <-d.done:
		return control.Reply{}, ErrStopped
	}
}

// cancel forgets whoever waits on a channel.
func (d *Driver) cancel(now time.Duration, replies chan control.Reply) control.Output {
	for ticket, waiting := range d.replyChannels {
		if waiting == replies {
			delete(d.replyChannels, ticket)
			return d.machine.Cancel(now, ticket)
		}
	}
	return control.Output{}
}

// Source reads the source document of the configuration, as a quorum of the nodes
// with disks confirms it. It is nil if the configuration in force was not made
// from a document.
func (d *Driver) Source(ctx context.Context) (*ridgeswitchv1.Source, error) {
	answers := make(chan control.Reply, 1)
	d.post(func(now time.Duration) control.Output {
		return d.machine.ReadSource(now, d.newTicket(answers))
	})
	reply, err := d.awaitReply(ctx, answers)
	if err != nil {
		return nil, errors.Wrap(err, "read the source document; try again, at another node")
	}
	if reply.Source.GetVersion() == 0 {
		return nil, nil
	}
	return reply.Source, nil
}

// ReadConfiguration reads the configuration in force, as a quorum of the nodes with
// disks confirms it; read only. A node that can't be sure of the newest one returns
// an error that wraps requests.ErrNoQuorum or requests.ErrBehind.
func (d *Driver) ReadConfiguration(ctx context.Context) (*ridgeswitchv1.Configuration, error) {
	answers := make(chan control.Reply, 1)
	d.post(func(now time.Duration) control.Output {
		return d.machine.ReadConfiguration(now, d.newTicket(answers))
	})
	reply, err := d.awaitReply(ctx, answers)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration")
	}
	return reply.Configuration, nil
}

// deliver hands a reply to whoever waits for it.
func (d *Driver) deliver(reply control.Reply) {
	answers, found := d.replyChannels[reply.Ticket]
	if !found {
		return
	}
	delete(d.replyChannels, reply.Ticket)
	answers <- reply
}
