package operator

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// call is a remote call of the schema and the function that serves it.
type call struct {
	// name is the call's name within its service, such as "AddKey".
	name       protoreflect.Name
	newRequest func() proto.Message
	serve      func(ctx context.Context, request proto.Message) (proto.Message, error)
}

// newCall returns a call that serve handles, with the request type that serve takes.
func newCall[Request any, Response proto.Message, Pointer interface {
	*Request
	proto.Message
}](name protoreflect.Name, serve func(context.Context, Pointer) (Response, error)) call {
	return call{
		name:       name,
		newRequest: func() proto.Message { return Pointer(new(Request)) },
		serve: func(ctx context.Context, request proto.Message) (proto.Message, error) {
			return serve(ctx, request.(Pointer))
		},
	}
}

// resource serves the calls of one service of the schema.
type resource interface {
	// service returns the name of the service, such as "Tenants".
	service() protoreflect.Name
	calls() []call
}

// submit submits an order to control and converts the response into the result for the operator.
// After a time-out the result is PENDING, since the order may still take effect.
func submit(ctx context.Context, control Control, order *controlpb.Order) (*ridgeswitchv1.OrderResult, error) {
	answer, err := control.Submit(ctx, order)
	if err != nil {
		var carrier problemCarrier
		if !errors.As(err, &carrier) && isTimeout(err) {
			return &ridgeswitchv1.OrderResult{Outcome: ridgeswitchv1.OrderResult_PENDING}, nil
		}
		return nil, err
	}
	if problem := answer.GetProblem(); problem != nil {
		return nil, &problemError{problem: problem}
	}
	result := &ridgeswitchv1.OrderResult{
		Outcome:  ridgeswitchv1.OrderResult_PENDING,
		Revision: answer.GetRevision(),
	}
	if answer.GetConfirmed() {
		result.Outcome = ridgeswitchv1.OrderResult_ACKNOWLEDGED
	}
	return result, nil
}

// problemError is a rejection of an order by control.
type problemError struct {
	problem *ridgeswitchv1.Problem
}

func (e *problemError) Error() string {
	return e.problem.GetMessage()
}

func (e *problemError) Problem() *ridgeswitchv1.Problem {
	return e.problem
}
