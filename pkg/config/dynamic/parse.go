package dynamic

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/jsontext"
)

// Parse reads a configuration from JSON. It returns an *Error when the text is
// too large or is not JSON, and Errors with every unknown field, repeated field
// and value of the wrong type, up to MaxFaults, otherwise. The result is not validated.
func Parse(data []byte) (*ridgeswitchv1.Configuration, error) {
	configuration := &ridgeswitchv1.Configuration{}
	if err := ParseMessage(data, configuration); err != nil {
		return nil, err
	}
	return configuration, nil
}

// ParseMessage reads any message of the schema from JSON as strictly as Parse
// reads a configuration.
func ParseMessage(data []byte, message proto.Message) error {
	if len(data) > MaxDocumentBytes {
		return &Error{
			Kind:    KindOversize,
			Message: fmt.Sprintf("document of %d bytes; reduce it to at most %d", len(data), MaxDocumentBytes),
		}
	}
	if err := checkSyntax(data); err != nil {
		return err
	}
	walker := &walker{}
	walker.message("", data, message.ProtoReflect().Descriptor())
	if len(walker.faults) > 0 {
		return walker.faults
	}
	if err := protojson.Unmarshal(data, message); err != nil {
		return &Error{Kind: KindMalformed, Message: err.Error() + "; correct the document"}
	}
	return nil
}

// checkSyntax returns nil if a document is JSON, and otherwise an *Error with the position of
// a syntax error.
func checkSyntax(data []byte) error {
	err := jsontext.Check(data)
	if err == nil {
		return nil
	}
	message := err.Error()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		message = fmt.Sprintf("%s at byte %d", message, syntax.Offset)
	}
	return &Error{Kind: KindMalformed, Message: message + "; write the document as JSON"}
}

// walker compares a JSON document with a message descriptor and collects all faults with the
// paths of their fields, which protojson does not report.
type walker struct {
	collector
}

// message checks one JSON object against the fields of a message.
func (w *walker) message(path string, data []byte, descriptor protoreflect.MessageDescriptor) {
	seen := make(map[protoreflect.FullName]bool)
	err := jsontext.Members(data, func(name string, value []byte) error {
		w.member(path, name, value, descriptor, seen)
		return nil
	})
	if err != nil {
		w.add(KindMalformed, path, "must be a JSON object with fields of %s", descriptor.Name())
	}
}

// member checks one name and value of an object.
func (w *walker) member(path, name string, value []byte,
	descriptor protoreflect.MessageDescriptor, seen map[protoreflect.FullName]bool,
) {
	field := fieldByName(descriptor, name)
	if field == nil {
		w.add(KindUnknownField, joinPath(path, name), "%s has no such field; remove it or correct its name", descriptor.Name())
		return
	}
	fieldPath := joinPath(path, string(field.Name()))
	if seen[field.FullName()] {
		w.add(KindDuplicate, fieldPath, "given more than once; keep one")
		return
	}
	seen[field.FullName()] = true
	if string(value) == "null" {
		return
	}
	w.alternative(fieldPath, field, seen)
	if field.IsList() {
		w.array(fieldPath, value, field)
		return
	}
	w.value(fieldPath, value, field)
}

// alternative checks that no other field of the same oneof is given.
func (w *walker) alternative(path string, field protoreflect.FieldDescriptor, seen map[protoreflect.FullName]bool) {
	oneof := field.ContainingOneof()
	if oneof == nil {
		return
	}
	if seen[oneof.FullName()] {
		w.add(KindInvalid, path, "another %s is given too; keep one", oneof.Name())
	}
	seen[oneof.FullName()] = true
}

// errTooManyEntries ends the visit of a list.
var errTooManyEntries = errors.New("the list has too many entries")

// array checks every element of a repeated field. It reports a list of more entries than the
// field may have and stops there, before the list takes up memory.
func (w *walker) array(path string, data []byte, field protoreflect.FieldDescriptor) {
	limit := maxEntries(field)
	err := jsontext.Elements(data, func(position int, element []byte) error {
		if position == limit {
			w.add(KindOversize, path, "has more than %d entries; reduce it", limit)
			return errTooManyEntries
		}
		w.value(path+"["+strconv.Itoa(position)+"]", element, field)
		return nil
	})
	if errors.Is(err, jsontext.ErrNotList) {
		w.add(KindMalformed, path, "must be a JSON array")
	}
}

// maxEntries returns how many entries a repeated field may have before any other check.
func maxEntries(field protoreflect.FieldDescriptor) int {
	switch field.FullName() {
	case tenantsField:
		return MaxTenants
	case keysField:
		return MaxKeysPerTenant
	default:
		return MaxRoutes
	}
}

// tenantsField and keysField are the repeated fields with bounds of their own.
var (
	tenantsField = (&ridgeswitchv1.Configuration{}).ProtoReflect().Descriptor().Fields().ByName("tenants").FullName()
	keysField    = (&ridgeswitchv1.Tenant{}).ProtoReflect().Descriptor().Fields().ByName("keys").FullName()
)

// value checks one value that is not a list.
func (w *walker) value(path string, data []byte, field protoreflect.FieldDescriptor) {
	if field.Message() != nil {
		w.message(path, data, field.Message())
		return
	}
	if field.Kind() == protoreflect.StringKind && isPlainString(data) {
		return
	}
	if err := checkScalar(data, field); err != nil {
		w.add(KindMalformed, path, "must be a JSON value of type %s", field.Kind())
	}
}

// isPlainString reports whether a JSON value is a string without escapes. Such a value is
// valid for a string field without a call of checkScalar.
func isPlainString(data []byte) bool {
	return data[0] == '"' && !bytes.ContainsRune(data, '\\') && utf8.Valid(data)
}

// checkScalar parses a single value with protojson, so that it accepts exactly the values
// that protojson accepts in the complete document.
func checkScalar(data []byte, field protoreflect.FieldDescriptor) error {
	if field.IsList() {
		data = []byte("[" + string(data) + "]")
	}
	document := fmt.Appendf(nil, "{%q:%s}", field.Name(), data)
	return protojson.Unmarshal(document, dynamicpb.NewMessage(field.ContainingMessage()))
}

// fieldByName finds a field by its proto name or its JSON name.
func fieldByName(descriptor protoreflect.MessageDescriptor, name string) protoreflect.FieldDescriptor {
	if field := descriptor.Fields().ByJSONName(name); field != nil {
		return field
	}
	return descriptor.Fields().ByTextName(name)
}

// joinPath returns the path of a field of the message at a path. The path of the document
// itself is empty.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
