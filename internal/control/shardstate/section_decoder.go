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

// Decoder decodes a message from sections, and a new message from each update to them.
// Messages share what has not changed, so that callers must not write to one.
type Decoder struct {
	fields   []*decodedField
	settings protoreflect.Message
	// current is the message made last.
	current protoreflect.Message
}

// decodedField is the elements of one sectioned list.
type decodedField struct {
	sectionedField
	elements map[string]*decodedElement
	// changed are the elements replaced since the last message; reordered means that
	// their order may have changed.
	changed   []*decodedElement
	reordered bool
}

// decodedElement is an element and its position.
type decodedElement struct {
	predecessor string
	message     protoreflect.Message
	position    int
}

// NewDecoder returns a decoder for the relayed state of a shard.
func NewDecoder(shardID uint32) *Decoder {
	if shardID == ConfigurationShard {
		return newDecoder(&ridgeswitchv1.Configuration{}, configurationFields)
	}
	return newDecoder(&controlpb.ServiceState{}, serviceFields)
}

// newDecoder returns a decoder that begins with an empty message.
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

// Apply decodes the sections that an update changes, and no others. After an
// error the decoder is of no more use.
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

// fieldOf finds the list that a section belongs to, and its key there.
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
		// Read only when a group is formed anew.
		return nil
	}
	field, key := d.fieldOf(section.Name)
	if field == nil {
		return &sectionError{section: section.Name, reason: "is of no known kind; let all nodes run one version"}
	}
	predecessor, length := protowire.ConsumeString(section.Content)
	if length < 0 {
		return &sectionError{section: section.Name, reason: "is cut short; it is asked for again with the next revision"}
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

// assemble makes the message of the present sections.
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

// assemble gives the next message its list. An unchanged one is shared.
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

// inOrder follows the elements from the first one, which has none before it.
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
		return nil, &sectionError{section: f.prefix, reason: "elements are in no order; they are asked for again with the next revision"}
	}
	return values, nil
}
