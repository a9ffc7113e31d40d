// Package schema lists the remote calls of the control interface as the schema in
// api/ridgeswitch/v1 defines them. Both the server and the command line derive their calls from it.
// The package has no state.
package schema

import (
	"net/url"
	"regexp"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// OrderField is the field of a request that contains its order header.
const OrderField protoreflect.Name = "order"

// segmentPattern matches the request fields in a path of the schema, such as {tenant}.
var segmentPattern = regexp.MustCompile(`\{([a-z0-9_]+)\}`)

// Call is one remote call.
type Call struct {
	Method protoreflect.MethodDescriptor
	// Binding is the http option: the HTTP method, the path, and the verb on the command
	// line.
	Binding *ridgeswitchv1.HttpBinding
}

// Calls returns the calls of all services of the schema, in the order of the schema. It returns an
// error if a call has no complete http option, or if a segment of its path is not a plain field of
// its request.
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

// newCall returns the call of a method after checking its http option.
func newCall(method protoreflect.MethodDescriptor) (Call, error) {
	binding, _ := proto.GetExtension(method.Options(), ridgeswitchv1.E_Http).(*ridgeswitchv1.HttpBinding)
	call := Call{Method: method, Binding: binding}
	if binding.GetMethod() == "" || binding.GetPath() == "" || binding.GetVerb() == "" {
		return Call{}, errors.Errorf("call %s: its http option lacks the method, the path or the verb; add it", method.FullName())
	}
	for _, name := range call.Segments() {
		if PlainField(method.Input(), name) == nil {
			return Call{}, errors.Errorf("call %s: path segment {%s} must be a plain field of the request", method.FullName(), name)
		}
	}
	return call, nil
}

// Segments returns the names of the request fields in the path, in their order there.
func (c Call) Segments() []string {
	var names []string
	for _, match := range segmentPattern.FindAllStringSubmatch(c.Binding.GetPath(), -1) {
		names = append(names, match[1])
	}
	return names
}

// RoutePattern returns the path in the syntax of go-zero's router.
func (c Call) RoutePattern() string {
	return segmentPattern.ReplaceAllString(c.Binding.GetPath(), ":$1")
}

// URLPath returns the escaped path of a request.
func (c Call) URLPath(request protoreflect.Message) string {
	return segmentPattern.ReplaceAllStringFunc(c.Binding.GetPath(), func(segment string) string {
		name := segment[1 : len(segment)-1]
		return url.PathEscape(request.Get(PlainField(request.Descriptor(), name)).String())
	})
}

// PlainField returns the field with a name if it is neither repeated nor a map nor a message, and
// otherwise nil.
func PlainField(descriptor protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	field := descriptor.Fields().ByName(protoreflect.Name(name))
	if field == nil || field.IsList() || field.IsMap() || field.Message() != nil {
		return nil
	}
	return field
}
