package operator

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// call is one remote call of the schema with the method that serves it.
type call struct {
	// name is the call's name within its service, such as "AddKey".
	name       protoreflect.Name
	newRequest func() proto.Message
	serve      func(ctx context.Context, request proto.Message) (proto.Message, error)
}

// newCall binds a call to a method of a resource's handler object.
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

// resource is the handler object of one service of the schema.
type resource interface {
	// service is the name of the service, such as "Tenants".
	service() protoreflect.Name
	calls() []call
}

// submit gives an order to control and turns its response into the result that
// operators get. When the time is up, the order may still take effect.
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

// problemError is a refusal that control decided.
type problemError struct {
	problem *ridgeswitchv1.Problem
}

func (e *problemError) Error() string {
	return e.problem.GetMessage()
}

func (e *problemError) Problem() *ridgeswitchv1.Problem {
	return e.problem
}
