package operator

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator/schema"
)

// routes returns the routes of all calls of the schema. It returns an error if a call of the schema
// has no resource that serves it, or if a resource serves a call that the schema does not have.
func routes(handlers []resource) ([]rest.Route, error) {
	described, err := schema.Calls()
	if err != nil {
		return nil, err
	}
	served := servedCalls(handlers)
	if len(described) != len(served) {
		return nil, errors.Errorf("%d calls are served and the schema has %d; serve each once", len(served), len(described))
	}
	built := make([]rest.Route, 0, len(described))
	for _, description := range described {
		target, found := served[description.Method.FullName()]
		if !found {
			return nil, errors.Errorf("call %s is not served; add it to its resource", description.Method.FullName())
		}
		built = append(built, rest.Route{
			Method:  description.Binding.GetMethod(),
			Path:    description.RoutePattern(),
			Handler: target.handle,
		})
	}
	return built, nil
}

// servedCalls returns the calls of all resources by their full names.
func servedCalls(handlers []resource) map[protoreflect.FullName]call {
	schemaPackage := ridgeswitchv1.File_api_ridgeswitch_v1_ridgeswitch_proto.Package()
	served := make(map[protoreflect.FullName]call)
	for _, handler := range handlers {
		service := schemaPackage.Append(handler.service())
		for _, target := range handler.calls() {
			served[service.Append(target.name)] = target
		}
	}
	return served
}

// handle serves one HTTP request of a call.
func (c call) handle(w http.ResponseWriter, r *http.Request) {
	request := c.newRequest()
	if err := readRequest(w, r, pathvar.Vars(r), request); err != nil {
		writeRejection(w, rejectionOf(err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	response, err := c.serve(ctx, request)
	if err != nil {
		writeRejection(w, rejectionOf(err))
		return
	}
	status := statusOf(response)
	if status == http.StatusAccepted {
		setRetryAfter(w, DefaultRetryAfter)
	}
	writeCharged(w, r, status, response)
}

// statusOf returns 202 for a pending order, and 200 for everything else.
func statusOf(response proto.Message) int {
	result, isOrder := response.(*ridgeswitchv1.OrderResult)
	pending := isOrder && result.GetOutcome() == ridgeswitchv1.OrderResult_PENDING
	return lo.Ternary(pending, http.StatusAccepted, http.StatusOK)
}
