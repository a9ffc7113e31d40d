package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator/schema"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// readRequest sets the fields of a request message from the body, the path segments and the query
// of a call.
func readRequest(w http.ResponseWriter, r *http.Request, segments map[string]string, request proto.Message) error {
	if err := readBody(w, r, request); err != nil {
		return err
	}
	for name, value := range segments {
		field := request.ProtoReflect().Descriptor().Fields().ByName(protoreflect.Name(name))
		if err := bindText(request.ProtoReflect(), field, name, value); err != nil {
			return err
		}
	}
	return bindQuery(request.ProtoReflect(), r.URL.RawQuery)
}

// readBody parses the JSON of a request message. An empty body leaves the message empty.
func readBody(w http.ResponseWriter, r *http.Request, request proto.Message) error {
	data, err := inbound.ReadBody(w, r, maxBodyBytes)
	if err != nil {
		return contentError(err)
	}
	if len(data) == 0 {
		return nil
	}
	return contentError(inbound.Parse(r, dynamic.ParsedBytes(data), func() error { return dynamic.ParseMessage(data, request) }))
}

// contentError returns the error for operators of a body that can't be read, is too large, or has
// faults. An error that is one for operators already is returned as it is.
func contentError(err error) error {
	var carrier problemCarrier
	var aboveLimit *http.MaxBytesError
	var aboveMemory *inbound.TooLargeError
	switch {
	case err == nil, errors.As(err, &carrier):
		return err
	case errors.As(err, &aboveLimit):
		return &dynamic.Error{Kind: dynamic.KindOversize, Message: fmt.Sprintf("body above %d bytes; reduce it", aboveLimit.Limit)}
	case errors.As(err, &aboveMemory):
		return &dynamic.Error{Kind: dynamic.KindOversize, Message: err.Error()}
	case errors.Is(err, inbound.ErrOverloaded):
		return &UnavailableError{Kind: KindOverloaded, Message: err.Error()}
	default:
		return &dynamic.Error{Kind: dynamic.KindMalformed, Message: "body can't be read: " + err.Error() + "; send the call again"}
	}
}

// bindQuery sets, for each query parameter, the plain field of that name in the request or in its
// order header. It sets them in the order of their names.
func bindQuery(request protoreflect.Message, rawQuery string) error {
	query, err := url.ParseQuery(rawQuery)
	if err != nil {
		return &dynamic.Error{Kind: dynamic.KindMalformed, Message: "query can't be read: " + err.Error() + "; correct its escapes"}
	}
	names := make([]string, 0, len(query))
	for name := range query {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range query[name] {
			if err := bindParameter(request, name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// bindParameter sets the field that a query parameter names.
func bindParameter(request protoreflect.Message, name, value string) error {
	if field := schema.PlainField(request.Descriptor(), name); field != nil {
		return bindText(request, field, name, value)
	}
	order := request.Descriptor().Fields().ByName(schema.OrderField)
	if order != nil {
		if field := schema.PlainField(order.Message(), name); field != nil {
			return bindText(request.Mutable(order).Message(), field, string(schema.OrderField)+"."+name, value)
		}
	}
	return &dynamic.Error{
		Kind:    dynamic.KindUnknownField,
		Field:   name,
		Message: "the call has no such query parameter; remove it or correct its name",
	}
}

// bindText sets a field from text. It returns an error if the field already has another value.
func bindText(message protoreflect.Message, field protoreflect.FieldDescriptor, path, text string) error {
	value, err := parseText(field, text)
	if err != nil {
		return &dynamic.Error{
			Kind:    dynamic.KindMalformed,
			Field:   path,
			Message: fmt.Sprintf("%q is no %s; correct it", text, field.Kind()),
		}
	}
	if message.Has(field) && !message.Get(field).Equal(value) {
		return &dynamic.Error{
			Kind:    dynamic.KindInvalid,
			Field:   path,
			Message: "has different values in the path, query and body; give one",
		}
	}
	message.Set(field, value)
	return nil
}

// parseText parses a field's value from text. Values other than strings and booleans are parsed as
// protojson parses them from a JSON string.
func parseText(field protoreflect.FieldDescriptor, text string) (protoreflect.Value, error) {
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), nil
	case protoreflect.BoolKind:
		value, err := strconv.ParseBool(text)
		return protoreflect.ValueOfBool(value), err
	}
	document, err := json.Marshal(map[string]string{string(field.Name()): text})
	if err != nil {
		return protoreflect.Value{}, err
	}
	message := dynamicpb.NewMessage(field.ContainingMessage())
	if err := protojson.Unmarshal(document, message); err != nil {
		return protoreflect.Value{}, err
	}
	return message.Get(field), nil
}
