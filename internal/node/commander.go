package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/clock"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
)

const (
	// replicaCallTimeout bounds one control call to a replica.
	replicaCallTimeout = 2 * time.Second
	// maxReplicaCalls limits the number of concurrent control calls.
	maxReplicaCalls = 256
)

// errTooManyCalls means that a control call was not made because maxReplicaCalls were running.
var errTooManyCalls = errors.New("too many control calls to replicas are under way")

// commander implements driver.Commander: it requests reports from replicas and sends them
// commands, each call in its own goroutine. Nothing waits for these goroutines: each
// call has a time limit, and the driver ignores results after it has stopped.
type commander struct {
	replicas ReplicaCommander
	driver   *driver.Driver
	log      *logrus.Entry
	// slots contains one element for each running call.
	slots chan struct{}
}

func newCommander(replicas ReplicaCommander, log *logrus.Entry) *commander {
	return &commander{
		replicas: replicas,
		log:      log,
		slots:    make(chan struct{}, maxReplicaCalls),
	}
}

// Command implements driver.Commander.
func (c *commander) Command(command control.Command) {
	go func() { c.driver.CommandDone(command, c.send(command)) }()
}

// send sends a command and returns its outcome. Before sending, it checks the command lease
// (command.Deadline) again, on the clock that includes suspended time. The call is cancelled when
// the lease ends. The client checks that time once more right before the first byte, since the
// timer of a process that was paused may be late.
func (c *commander) send(command control.Command) control.CommandOutcome {
	if !c.acquireSlot() {
		return control.CommandNotSent
	}
	defer c.releaseSlot()
	remaining := command.Deadline - clock.SinceBoot()
	if remaining <= 0 {
		return control.CommandNotSent
	}
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	ctx = outbound.WithSendBy(ctx, time.Now().Add(remaining))
	outcome, err := c.replicas.LoadWeights(ctx, command)
	log := c.log.WithField("replica", command.Address).WithField("weight_version", command.WeightVersion).
		WithField("outcome", outcome.String())
	if err != nil {
		log.WithError(err).Warn("a weights command was not accepted; it is repeated while this node commands the replica")
		return outcome
	}
	log.Info("a weights command was accepted")
	return outcome
}

// RequestReport implements driver.Commander. The values of a report count as measured when
// the request was sent, less the age of the report.
func (c *commander) RequestReport(request control.ReportRequest) {
	go func() {
		report, err := c.report(request)
		if err != nil {
			c.driver.ReplicaReportFailed(request.Address)
			return
		}
		c.driver.SetReplicaReport(report)
	}()
}

// report requests the report of a replica and sets its Address and MeasuredAt.
func (c *commander) report(request control.ReportRequest) (control.ReplicaReport, error) {
	if !c.acquireSlot() {
		return control.ReplicaReport{}, errTooManyCalls
	}
	defer c.releaseSlot()
	ctx, cancel := context.WithTimeout(context.Background(), replicaCallTimeout)
	defer cancel()
	sentAt := clock.SinceBoot()
	report, err := c.replicas.Report(ctx, request.Address, request.Instance)
	if err != nil {
		return control.ReplicaReport{}, err
	}
	report.Address = request.Address
	report.MeasuredAt = sentAt - report.Age
	return report, nil
}

// acquireSlot reserves one of the maxReplicaCalls slots. It returns false if all are in use.
func (c *commander) acquireSlot() bool {
	select {
	case c.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (c *commander) releaseSlot() { <-c.slots }
