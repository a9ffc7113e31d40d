package static

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/samber/lo"
	"go.yaml.in/yaml/v3"
)

// Load reads settings from a YAML or JSON file and fills in the defaults. It
// returns Errors with every unknown field, repeated field and value of the wrong
// type. The result is not checked: see Settings.Check.
func Load(path string) (*Settings, error) {
	settings, err := readFile(path)
	if err != nil {
		return nil, err
	}
	settings.FillDefaults()
	return settings, nil
}

// readFile reads settings as Load does, without the defaults.
func readFile(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Errors{{Kind: KindUnreadable, Message: err.Error() + "; name a readable settings file"}}
	}
	settings := &Settings{}
	if faults := settings.read(data); len(faults) > 0 {
		return nil, faults
	}
	return settings, nil
}

// Parse reads settings from YAML or JSON text as Load does from a file.
func Parse(data []byte) (*Settings, error) {
	settings := &Settings{}
	if faults := settings.read(data); len(faults) > 0 {
		return nil, faults
	}
	settings.FillDefaults()
	return settings, nil
}

// read sets every field that a document contains.
func (s *Settings) read(data []byte) Errors {
	if len(data) > maxFileBytes {
		return Errors{{
			Kind:    KindUnreadable,
			Message: fmt.Sprintf("settings of %d bytes; reduce them to at most %d", len(data), maxFileBytes),
		}}
	}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return Errors{{Kind: KindUnreadable, Message: err.Error() + "; write the settings as YAML or JSON"}}
	}
	if len(document.Content) == 0 {
		return nil
	}
	root := document.Content[0]
	if root.Kind != yaml.MappingNode {
		return Errors{{Kind: KindUnreadable, Message: "settings must be a mapping of names to values"}}
	}
	return s.readMapping(root)
}

// readMapping sets the field of every pair in a mapping, whose content alternates between
// names and values.
func (s *Settings) readMapping(mapping *yaml.Node) Errors {
	var faults Errors
	fields := s.fields()
	seen := make(map[string]bool)
	for _, pair := range lo.Chunk(mapping.Content, 2) {
		name := pair[0].Value
		if seen[name] {
			faults = append(faults, &Error{Kind: KindDuplicate, Field: name, Message: "given more than once; keep one"})
			continue
		}
		seen[name] = true
		if fault := readField(fields, name, pair[1]); fault != nil {
			faults = append(faults, fault)
		}
	}
	return faults
}

// fields returns a pointer to every field, keyed by the field's name in the file.
func (s *Settings) fields() map[string]any {
	value := reflect.ValueOf(s).Elem()
	fields := make(map[string]any, value.NumField())
	for i := range value.NumField() {
		name := settingName(value.Type().Field(i))
		fields[name] = value.Field(i).Addr().Interface()
	}
	return fields
}

// settingName returns the name of a field in the file.
func settingName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// readField decodes the value of one pair into the field of that name.
func readField(fields map[string]any, name string, value *yaml.Node) *Error {
	field, known := fields[name]
	if !known {
		return &Error{Kind: KindUnknownField, Field: name, Message: "there is no such setting; remove it or correct its name"}
	}
	if err := value.Decode(field); err != nil {
		expected := reflect.TypeOf(field).Elem()
		return &Error{
			Kind:    KindMalformed,
			Field:   name,
			Message: fmt.Sprintf("line %d: must be a value of type %s", value.Line, expected),
		}
	}
	return nil
}
