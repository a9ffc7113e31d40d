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

// resendPause is the wait before an order without a final outcome is sent again,
// whatever time the node named.
const resendPause = 100 * time.Millisecond

// statusTimeout bounds the wait for a node's status, so that a frozen node
// delays no other.
const statusTimeout = time.Second

// Target is a node that takes orders.
type Target struct {
	Node           string
	ControlAddress string
}

// Order is an order with the call that carries it.
type Order struct {
	// Call is the remote call in the schema.
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
	// goes to another; zero stands for the client's own bound. It is set before
	// the first order.
	AttemptTimeout time.Duration

	client *Client
	now    func() time.Duration

	// lock guards records.
	lock    sync.Mutex
	records []checker.Order
}

// NewRecorder returns a recorder whose times come from now.
func NewRecorder(now func() time.Duration) *Recorder {
	return &Recorder{client: NewClient(), now: now}
}

// Submit sends an order to one node, once, and returns what became of it.
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

// outcomeOf returns the outcome of a submission by the reply, its result, or the error
// that came in place of both.
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

// UndecidedError reports that no node decided an order in time.
type UndecidedError struct {
	OrderID string
	Last    checker.Outcome
	Kind    string
}

// Error names the remedy.
func (err *UndecidedError) Error() string {
	return "order " + err.OrderID + " got no verdict (last: " + string(err.Last) + " " + err.Kind +
		"); resend the identical order to any node"
}

// SubmitUntilDecided sends an order to the targets in turn until one gives a final outcome: it is
// acknowledged or refused. A context that ends before gives *UndecidedError.
func (recorder *Recorder) SubmitUntilDecided(ctx context.Context, targets []Target, order Order) (checker.Order, error) {
	if len(targets) == 0 {
		return checker.Order{}, errors.New("no node is left to take the order; start one")
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
		return nil, errors.Errorf("%s refused to show its configuration: %s", target.Node, reply.Problem.GetKind())
	}
	return configuration, nil
}

// Status reads what a node says of itself.
func (recorder *Recorder) Status(ctx context.Context, target Target) (*ridgeswitchv1.NodeStatus, error) {
	status := &ridgeswitchv1.NodeStatus{}
	return status, recorder.call(ctx, target, "GetStatus", &ridgeswitchv1.GetStatusRequest{}, status)
}

// Weights reads how far a node knows the roll-out of a pool to have come.
func (recorder *Recorder) Weights(ctx context.Context, target Target, pool string) (*ridgeswitchv1.WeightsStatus, error) {
	status := &ridgeswitchv1.WeightsStatus{}
	return status, recorder.call(ctx, target, "GetWeights", &ridgeswitchv1.GetWeightsRequest{Pool: pool}, status)
}

// call makes a call that reads.
func (recorder *Recorder) call(ctx context.Context, target Target, call protoreflect.Name, request, response proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, err := recorder.client.Call(ctx, target.ControlAddress, call, request, response)
	if err != nil {
		return err
	}
	if reply.Problem != nil {
		return errors.Errorf("%s refused %s: %s", target.Node, call, reply.Problem.GetKind())
	}
	return nil
}

// Records returns every submission so far.
func (recorder *Recorder) Records() []checker.Order {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	return append([]checker.Order(nil), recorder.records...)
}
