package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/clock"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
)

const (
	// replicaCallTimeout bounds one control call to a replica.
	replicaCallTimeout = 2 * time.Second
	// maxReplicaCalls bounds the control calls that run at once.
	maxReplicaCalls = 256
)

// commander carries out what control wants of replicas: reports and commands.
type commander struct {
	holder string
	client *replica.CommandClient
	driver *control.Driver
	log    *logrus.Entry
	slots  chan struct{}

	mutex sync.Mutex
	// asking are the replicas whose report is under way.
	asking map[string]struct{}
}

func newCommander(holder string, client *replica.CommandClient, log *logrus.Entry) *commander {
	return &commander{
		holder: holder,
		client: client,
		log:    log,
		slots:  make(chan struct{}, maxReplicaCalls),
		asking: map[string]struct{}{},
	}
}

// Command implements control.Commander. The call runs beside control. The right
// to command is checked again at the moment of sending, on the clock that counts
// suspended time, and the call itself ends with that right.
func (c *commander) Command(command control.Command) {
	select {
	case c.slots <- struct{}{}:
	default:
		// Control orders again.
		return
	}
	go func() {
		defer func() { <-c.slots }()
		c.send(command)
	}()
}

func (c *commander) send(command control.Command) {
	remaining := command.Deadline - clock.SinceBoot()
	if remaining <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	err := c.client.LoadWeights(ctx, command.Address, replica.WeightsCommand{
		WeightVersion: command.WeightVersion,
		Epoch:         command.Epoch,
		Holder:        c.holder,
	})
	if err != nil {
		c.log.WithError(err).WithField("replica", command.Address).Warn("a weights command was not taken; it is repeated while this node commands the replica")
	}
}

// askReports starts a report call to each watched replica that has none under
// way.
func (c *commander) askReports(ctx context.Context) {
	for _, address := range c.driver.WatchedReplicas() {
		if c.begin(address) {
			go c.askReport(ctx, address)
		}
	}
}

func (c *commander) begin(address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, found := c.asking[address]; found || len(c.asking) >= maxReplicaCalls {
		return false
	}
	c.asking[address] = struct{}{}
	return true
}

func (c *commander) end(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.asking, address)
}

// askReport hands a replica's report to control. Its numbers count as measured
// no later than the question was sent, less the age that the replica states.
func (c *commander) askReport(ctx context.Context, address string) {
	defer c.end(address)
	bounded, cancel := context.WithTimeout(ctx, replicaCallTimeout)
	defer cancel()
	askedAt := clock.SinceBoot()
	report, err := c.client.Report(bounded, address)
	if err != nil {
		return
	}
	c.driver.SetReplicaReport(control.ReplicaReport{
		Address:        address,
		Incarnation:    report.Incarnation,
		WeightVersion:  report.WeightVersion,
		ActiveRequests: int(report.ActiveRequests),
		MeasuredAt:     askedAt - report.Age(),
	})
}
