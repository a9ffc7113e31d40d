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

// ErrStopped is returned for an order or a read if the driver has stopped.
var ErrStopped = errors.New("the node is stopping; send the identical order to another node")

// NewOrderID returns a unique identity for an order that came without one. If the operator
// sends such an order again, it gets another identity and may be carried out twice, so that
// carrying it out twice must have the same effect as once.
func (d *Driver) NewOrderID() string {
	return d.machine.OrderIDPrefix() + strconv.FormatUint(d.orderIDs.Add(1), 10)
}

// Submit passes an order to the machine and waits for its answer. An error means that the
// outcome is unknown: the identical order may be sent again, to any node.
func (d *Driver) Submit(ctx context.Context, order *controlpb.Order) (*controlpb.Answer, error) {
	reply, err := d.request(ctx, func(now time.Duration, ticket uint64) control.Output {
		return d.machine.Submit(now, ticket, order)
	})
	if err != nil {
		return nil, errors.Wrap(err, "send the identical order again")
	}
	return reply.Answer, nil
}

// Source reads the source document of the configuration in force, as a quorum of the nodes
// with disks confirms it. It returns nil if the configuration was not made from a document.
func (d *Driver) Source(ctx context.Context) (*ridgeswitchv1.Source, error) {
	select {
	case d.sourceReads <- struct{}{}:
		defer func() { <-d.sourceReads }()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "read the source document, as others do; try again, at another node")
	}
	reply, err := d.request(ctx, d.machine.ReadSource)
	if err != nil {
		return nil, errors.Wrap(err, "read the source document; try again, at another node")
	}
	if reply.Source.GetVersion() == 0 {
		return nil, nil
	}
	return reply.Source, nil
}

// ReadConfiguration reads the configuration in force, as a quorum of the nodes with disks
// confirms it; read only. If no quorum confirms it or this node has not received the newest
// revision in time, the error wraps requests.ErrNoQuorum or requests.ErrBehind.
func (d *Driver) ReadConfiguration(ctx context.Context) (*ridgeswitchv1.Configuration, error) {
	reply, err := d.request(ctx, d.machine.ReadConfiguration)
	if err != nil {
		return nil, errors.Wrap(err, "read the configuration")
	}
	return reply.Configuration, nil
}

// request passes a request to the machine and waits for its reply. If the context ends
// first, the request is cancelled at the machine, since no caller waits for the reply.
func (d *Driver) request(ctx context.Context, input func(now time.Duration, ticket uint64) control.Output) (control.Reply, error) {
	channel := make(chan control.Reply, 1)
	d.post(func(now time.Duration) control.Output { return input(now, d.replies.register(channel)) })
	select {
	case reply := <-channel:
		return reply, reply.Err
	case <-ctx.Done():
		d.post(func(now time.Duration) control.Output {
			if ticket, waiting := d.replies.remove(channel); waiting {
				return d.machine.Cancel(now, ticket)
			}
			return control.Output{}
		})
		return control.Reply{}, errors.Wrap(ctx.Err(), "not answered in time")
	case <-d.done:
		return control.Reply{}, ErrStopped
	}
}
