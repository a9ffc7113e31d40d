// Package schema lists the remote calls of the control interface as the schema
// in api/ridgeswitch/v1 describes them. The server and the command line both
// derive what they do from it. The package keeps no state.
package schema

import (
	"net/url"
	"regexp"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// OrderField is the field of a request that holds its order header.
const OrderField protoreflect.Name = "order"

// segmentPattern finds the request fields in a path of the schema.
var segmentPattern = regexp.MustCompile(`\{([a-z0-9_]+)\}`)

// Call is one remote call.
type Call struct {
	Method protoreflect.MethodDescriptor
	// Binding is the http option: the HTTP method, the path, and the operators' verb.
	Binding *ridgeswitchv1.HttpBinding
}

// Calls lists the calls of all services of the schema in its order. A call
// without an http option, or with a path segment that is no plain field of its
// request, is an error.
func Calls() ([]Call, error) {
	var calls []Call
	services := ridgeswitchv1.File_api_ridgeswitch_v1_ridgeswitch_proto.Services()
	for i := range services.Len() {
		methods := services.Get(i).Methods()
		for j := range methods.Len() {
			call, err := newCall(methods.Get(j))
			if err != nil {
				return nil, err
			}
			calls = append(calls, call)
		}
	}
	return calls, nil
}

// newCall reads and checks the http option of a method.
func newCall(method protoreflect.MethodDescriptor) (Call, error) {
	binding, _ := proto.GetExtension(method.Options(), ridgeswitchv1.E_Http).(*ridgeswitchv1.HttpBinding)
	call := Call{Method: method, Binding: binding}
	if binding.GetMethod() == "" || binding.GetPath() == "" || binding.GetVerb() == "" {
		return Call{}, errors.Errorf("call %s: complete its http option", method.FullName())
	}
	for _, name := range call.Segments() {
		if PlainField(method.Input(), name) == nil {
			return Call{}, errors.Errorf("call %s: path segment {%s} must be a plain field of the request", method.FullName(), name)
		}
	}
	return call, nil
}

// Segments names the request fields that the path holds, in its order.
func (c Call) Segments() []string {
	var names []string
	for _, match := range segmentPattern.FindAllStringSubmatch(c.Binding.GetPath(), -1) {
		names = append(names, match[1])
	}
	return names
}

// RoutePattern is the path as go-zero's router takes it.
func (c Call) RoutePattern() string {
	return segmentPattern.ReplaceAllString(c.Binding.GetPath(), ":$1")
}

// URLPath is the escaped path of one request.
func (c Call) URLPath(request protoreflect.Message) string {
	return segmentPattern.ReplaceAllStringFunc(c.Binding.GetPath(), func(segment string) string {
		name := segment[1 : len(segment)-1]
		return url.PathEscape(request.Get(PlainField(request.Descriptor(), name)).String())
	})
}

// PlainField finds a field that holds a single value and no message; nil when
// there is none.
func PlainField(descriptor protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	field := descriptor.Fields().ByName(protoreflect.Name(name))
	if field == nil || field.IsList() || field.IsMap() || field.Message() != nil {
		return nil
	}
	return field
}
