package shardstate

import (
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// Decoder decodes a message from sections, and a new message from each update of them.
// Successive messages share unchanged elements, so that callers must not modify a message.
type Decoder struct {
	fields   []*decodedField
	settings protoreflect.Message
	// current is the newest decoded message.
	current protoreflect.Message
}

// decodedField contains the decoded elements of one sectioned list.
type decodedField struct {
	sectionedField
	elements map[string]*decodedElement
	// changed are the elements that were decoded since the newest message; reordered
	// means that the order of the list may have changed since then.
	changed   []*decodedElement
	reordered bool
}

// decodedElement is an element of a list.
type decodedElement struct {
	// predecessor is the key of the preceding element; empty for the first one.
	predecessor string
	message     protoreflect.Message
	// position is the index in the list of the newest message.
	position int
}

// NewDecoder returns a decoder for the relayed state of a shard.
func NewDecoder(shardID uint32) *Decoder {
	if shardID == ConfigurationShard {
		return newDecoder(&ridgeswitchv1.Configuration{}, configurationFields)
	}
	return newDecoder(&controlpb.ServiceState{}, serviceFields)
}

// newDecoder returns a decoder for messages of the type of an empty message.
func newDecoder(empty proto.Message, fields []sectionedField) *Decoder {
	decoder := &Decoder{
		settings: empty.ProtoReflect().New(),
		current:  empty.ProtoReflect().New(),
	}
	for _, field := range fields {
		decoder.fields = append(decoder.fields, &decodedField{
			sectionedField: field,
			elements:       map[string]*decodedElement{},
		})
	}
	return decoder
}

// Apply decodes the sections that an update contains, and no others. After an error the
// decoder must not be used again.
func (d *Decoder) Apply(update relaytree.Update) (proto.Message, error) {
	for _, name := range update.Removed {
		if field, key := d.fieldOf(name); field != nil {
			field.remove(key)
		}
	}
	for _, section := range update.Sections {
		if err := d.set(section); err != nil {
			return nil, err
		}
	}
	next, err := d.assemble()
	if err != nil {
		return nil, err
	}
	d.current = next
	return next.Interface(), nil
}

// fieldOf returns the list that a section belongs to and the key of its element, or nil if
// the section belongs to none.
func (d *Decoder) fieldOf(name string) (field *decodedField, key string) {
	for _, field := range d.fields {
		if key, found := strings.CutPrefix(name, field.prefix); found {
			return field, key
		}
	}
	return nil, ""
}

// set decodes one section.
func (d *Decoder) set(section relaytree.Section) error {
	if section.Name == settingsSection {
		settings := d.settings.New()
		if err := proto.Unmarshal(section.Content, settings.Interface()); err != nil {
			return errors.Wrap(err, "decode the settings section")
		}
		d.settings = settings
		return nil
	}
	if isAnswerSection(section.Name) {
		// Answers are read by DecodeAnswers, when a group has lost the majority of its
		// disks and is formed anew from a relayed state.
		return nil
	}
	field, key := d.fieldOf(section.Name)
	if field == nil {
		return &sectionError{section: section.Name, reason: "is of an unknown kind; run the same release on all nodes"}
	}
	predecessor, length := protowire.ConsumeString(section.Content)
	if length < 0 {
		return &sectionError{section: section.Name, reason: "is truncated; the next update is decoded from the complete state"}
	}
	message := d.current.NewField(field.descriptor(d.current)).List().NewElement().Message()
	if err := proto.Unmarshal(section.Content[length:], message.Interface()); err != nil {
		return errors.Wrapf(err, "decode section %q", section.Name)
	}
	field.set(key, predecessor, message)
	return nil
}

func (f *decodedField) set(key, predecessor string, message protoreflect.Message) {
	element := f.elements[key]
	if element == nil {
		element = &decodedElement{}
		f.elements[key] = element
		f.reordered = true
	}
	f.reordered = f.reordered || element.predecessor != predecessor
	element.predecessor = predecessor
	element.message = message
	f.changed = append(f.changed, element)
}

func (f *decodedField) remove(key string) {
	delete(f.elements, key)
	f.reordered = true
}

// assemble builds the message that the sections encode.
func (d *Decoder) assemble() (protoreflect.Message, error) {
	next := d.settings.New()
	next.SetUnknown(d.settings.GetUnknown())
	d.settings.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		next.Set(field, value)
		return true
	})
	for _, sectioned := range d.fields {
		if err := sectioned.assemble(next, d.current); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// assemble sets the list of the next message. It shares an unchanged list with the
// current message.
func (f *decodedField) assemble(next, current protoreflect.Message) error {
	field := f.descriptor(next)
	switch {
	case f.reordered:
		ordered, err := f.inOrder()
		if err != nil {
			return err
		}
		elements := next.Mutable(field).List()
		for _, element := range ordered {
			elements.Append(element)
		}
	case len(f.changed) > 0:
		f.copy(next.Interface(), current.Interface())
		elements := next.Mutable(field).List()
		for _, element := range f.changed {
			elements.Set(element.position, protoreflect.ValueOfMessage(element.message))
		}
	case current.Has(field):
		next.Set(field, current.Get(field))
	}
	f.changed, f.reordered = nil, false
	return nil
}

// inOrder returns the elements in the order of the list, which it finds by following the
// predecessors from the first element on.
func (f *decodedField) inOrder() ([]protoreflect.Value, error) {
	following := make(map[string]string, len(f.elements))
	for key, element := range f.elements {
		following[element.predecessor] = key
	}
	values := make([]protoreflect.Value, 0, len(f.elements))
	for key := following[""]; key != "" && len(values) < len(f.elements); key = following[key] {
		element := f.elements[key]
		element.position = len(values)
		values = append(values, protoreflect.ValueOfMessage(element.message))
	}
	if len(values) != len(f.elements) {
		return nil, &sectionError{section: f.prefix, reason: "has elements whose predecessors form no list; the next update is decoded from the complete state"}
	}
	return values, nil
}
