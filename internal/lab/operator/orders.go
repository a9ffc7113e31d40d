package operator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
)

// resendPause is the wait before an order without a final outcome is sent again. The
// Retry-After header of the response is ignored.
const resendPause = 100 * time.Millisecond

// statusTimeout bounds the wait for a status call to one node, so that a frozen node
// does not delay the calls to other nodes.
const statusTimeout = time.Second

// Target is a node that takes orders.
type Target struct {
	Node           string
	ControlAddress string
}

// Order is an order with the call that carries it.
type Order struct {
	// Call is the name of the remote call in the schema.
	Call    protoreflect.Name
	Request OrderRequest
	Change  checker.Change
	// Invalid is set if the content breaks a rule on purpose.
	Invalid bool
}

// OrderRequest is a request message that carries an order.
type OrderRequest interface {
	proto.Message
	GetOrder() *ridgeswitchv1.OrderHeader
}

// Recorder submits orders and records every submission. It is safe for concurrent use.
type Recorder struct {
	// AttemptTimeout is how long an operator waits for one node before the order
	// goes to another; zero means only the client's callTimeout applies. It must be
	// set before the first order is submitted.
	AttemptTimeout time.Duration

	client *Client
	now    func() time.Duration

	// lock guards records.
	lock    sync.Mutex
	records []checker.Order
}

// NewRecorder returns a recorder that takes the times of its records from now.
func NewRecorder(now func() time.Duration) *Recorder {
	return &Recorder{client: NewClient(), now: now}
}

// Submit sends an order to one node, once, and returns the record of the submission.
func (recorder *Recorder) Submit(ctx context.Context, target Target, order Order) checker.Order {
	record := checker.Order{
		OrderID:      order.Request.GetOrder().GetOrderId(),
		BaseRevision: order.Request.GetOrder().GetBaseRevision(),
		Node:         target.Node,
		Change:       order.Change,
		Invalid:      order.Invalid,
		Sent:         recorder.now(),
	}
	result := &ridgeswitchv1.OrderResult{}
	if recorder.AttemptTimeout > 0 {
		attempt, cancel := context.WithTimeout(ctx, recorder.AttemptTimeout)
		defer cancel()
		ctx = attempt
	}
	reply, err := recorder.client.Call(ctx, target.ControlAddress, order.Call, order.Request, result)
	record.Answered = recorder.now()
	record.Outcome = outcomeOf(reply, result, err)
	record.Revision = result.GetRevision()
	record.ProblemKind = reply.Problem.GetKind()
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	recorder.records = append(recorder.records, record)
	return record
}

// outcomeOf returns the outcome of a submission, given the reply and its result, or the
// error of the call.
func outcomeOf(reply Reply, result *ridgeswitchv1.OrderResult, err error) checker.Outcome {
	switch {
	case err != nil:
		return checker.OutcomeLost
	case reply.Status == http.StatusServiceUnavailable, reply.Status == http.StatusGatewayTimeout,
		reply.Status == http.StatusTooManyRequests:
		return checker.OutcomeUnavailable
	case reply.Status >= http.StatusInternalServerError:
		return checker.OutcomeLost
	case reply.Status >= http.StatusBadRequest:
		return checker.OutcomeRefused
	case result.GetOutcome() == ridgeswitchv1.OrderResult_ACKNOWLEDGED:
		return checker.OutcomeAcknowledged
	default:
		return checker.OutcomePending
	}
}

// UndecidedError reports that no node acknowledged or refused an order in time.
type UndecidedError struct {
	OrderID string
	Last    checker.Outcome
	Kind    string
}

// Error returns the last outcome and the remedy.
func (err *UndecidedError) Error() string {
	return "order " + err.OrderID + " was neither acknowledged nor refused in time (last: " + string(err.Last) + " " + err.Kind +
		"); resend the identical order to any node"
}

// SubmitUntilDecided sends an order to the targets in turn until one of them acknowledges
// or refuses it. If the context ends first, it returns an *UndecidedError.
func (recorder *Recorder) SubmitUntilDecided(ctx context.Context, targets []Target, order Order) (checker.Order, error) {
	if len(targets) == 0 {
		return checker.Order{}, errors.New("no live node to submit the order to; start one")
	}
	var last checker.Order
	for number := 0; ctx.Err() == nil; number++ {
		last = recorder.Submit(ctx, targets[number%len(targets)], order)
		if last.Outcome == checker.OutcomeAcknowledged || last.Outcome == checker.OutcomeRefused {
			return last, nil
		}
		pause.For(ctx, resendPause)
	}
	return last, &UndecidedError{OrderID: last.OrderID, Last: last.Outcome, Kind: last.ProblemKind}
}

// Configuration reads the configuration that a node serves.
func (recorder *Recorder) Configuration(ctx context.Context, target Target) (*ridgeswitchv1.Configuration, error) {
	configuration := &ridgeswitchv1.Configuration{}
	request := &ridgeswitchv1.GetConfigurationRequest{Local: true}
	reply, err := recorder.client.Call(ctx, target.ControlAddress, "GetConfiguration", request, configuration)
	if err != nil {
		return nil, err
	}
	if reply.Problem != nil {
		return nil, errors.Errorf("node %s refused GetConfiguration: %s", target.Node, reply.Problem.GetKind())
	}
	return configuration, nil
}

// Status reads the status that a node reports of itself.
func (recorder *Recorder) Status(ctx context.Context, target Target) (*ridgeswitchv1.NodeStatus, error) {
	status := &ridgeswitchv1.NodeStatus{}
	return status, recorder.call(ctx, target, "GetStatus", &ridgeswitchv1.GetStatusRequest{}, status)
}

// Weights reads the progress of the weight roll-out of a pool, as one node knows it.
func (recorder *Recorder) Weights(ctx context.Context, target Target, pool string) (*ridgeswitchv1.WeightsStatus, error) {
	status := &ridgeswitchv1.WeightsStatus{}
	return status, recorder.call(ctx, target, "GetWeights", &ridgeswitchv1.GetWeightsRequest{Pool: pool}, status)
}

// call makes a read-only call within statusTimeout.
func (recorder *Recorder) call(ctx context.Context, target Target, call protoreflect.Name, request, response proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := recorder.client.Call(ctx, target.ControlAddress, call, request, response)
	if err != nil {
		return err
	}
	if reply.Problem != nil {
		return errors.Errorf("node %s refused %s: %s", target.Node, call, reply.Problem.GetKind())
	}
	return nil
}

// Records returns the records of all submissions so far.
func (recorder *Recorder) Records() []checker.Order {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	return append([]checker.Order(nil), recorder.records...)
}
