package shardstate

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// settingsSection is the name of the section with all fields that aren't sectioned lists.
const settingsSection = "settings"

// sectionedField is a repeated field that is relayed as one section for each element, so
// that a change of one element is sent without the others.
type sectionedField struct {
	name protoreflect.Name
	// prefix precedes the element's key in the name of its section.
	prefix string
	// keys are the element's fields whose concatenated values are unique in the list.
	// That is unambiguous because the value of the first one contains no slash, and the
	// value of a further one begins with a slash or is empty.
	keys []protoreflect.Name
	// copy replaces the list of the message to by a shallow copy of the list of the
	// message from. Reflection would take milliseconds for a large list.
	copy func(to, from proto.Message)
}

// copyOf returns the copy function of the list that elements returns a pointer to.
func copyOf[M proto.Message, E proto.Message](elements func(M) *[]E) func(to, from proto.Message) {
	return func(to, from proto.Message) {
		*elements(to.(M)) = slices.Clone(*elements(from.(M)))
	}
}

// configurationFields are the sectioned lists of a Configuration.
var configurationFields = []sectionedField{
	{name: "tenants", prefix: "tenant/", keys: keyedBy("name"), copy: copyOf(tenantsOf)},
	{name: "pools", prefix: "pool/", keys: keyedBy("name"), copy: copyOf(poolsOf)},
	{name: "web_services", prefix: "web-service/", keys: keyedBy("name"), copy: copyOf(webServicesOf)},
	{name: "stores", prefix: "store/", keys: keyedBy("name"), copy: copyOf(storesOf)},
	{name: "routes", prefix: "route/", keys: keyedBy("host", "path_prefix"), copy: copyOf(routesOf)},
	{name: "evacuations", prefix: "evacuation/", keys: keyedBy("zone"), copy: copyOf(evacuationsOf)},
}

// serviceFields are the sectioned lists of a ServiceState.
var serviceFields = []sectionedField{
	{name: "replicas", prefix: "replica/", keys: keyedBy("address"), copy: copyOf(replicasOf)},
}

func tenantsOf(c *ridgeswitchv1.Configuration) *[]*ridgeswitchv1.Tenant { return &c.Tenants }

func poolsOf(c *ridgeswitchv1.Configuration) *[]*ridgeswitchv1.Pool { return &c.Pools }

func webServicesOf(c *ridgeswitchv1.Configuration) *[]*ridgeswitchv1.WebService {
	return &c.WebServices
}

func storesOf(c *ridgeswitchv1.Configuration) *[]*ridgeswitchv1.Store { return &c.Stores }

func routesOf(c *ridgeswitchv1.Configuration) *[]*ridgeswitchv1.Route { return &c.Routes }

func evacuationsOf(c *ridgeswitchv1.Configuration) *[]*ridgeswitchv1.ZoneEvacuation {
	return &c.Evacuations
}

func replicasOf(s *controlpb.ServiceState) *[]*controlpb.ReplicaState { return &s.Replicas }

// descriptor returns the descriptor of the list in a message.
func (f sectionedField) descriptor(message protoreflect.Message) protoreflect.FieldDescriptor {
	return message.Descriptor().Fields().ByName(f.name)
}

func keyedBy(fields ...protoreflect.Name) []protoreflect.Name { return fields }

// keyOf concatenates the values of an element's key fields.
func (f sectionedField) keyOf(element protoreflect.Message) string {
	fields := element.Descriptor().Fields()
	key := ""
	for _, name := range f.keys {
		key += element.Get(fields.ByName(name)).String()
	}
	return key
}

// sectionError reports a section that cannot be encoded or decoded.
type sectionError struct {
	section string
	reason  string
}

// Error returns the section, the reason and the remedy.
func (e *sectionError) Error() string {
	return fmt.Sprintf("section %q %s", e.section, e.reason)
}

// encodeSections splits a message into sections. Equal messages result in equal sections.
// It fails if the key of an element is empty or not unique in its list.
func encodeSections(message proto.Message, sectioned []sectionedField) ([]relaytree.Section, error) {
	source := message.ProtoReflect()
	settings, err := encodeSettings(source, sectioned)
	if err != nil {
		return nil, err
	}
	sections := []relaytree.Section{{Name: settingsSection, Content: settings}}
	for _, field := range sectioned {
		elements, err := encodeElements(source, field)
		if err != nil {
			return nil, err
		}
		sections = append(sections, elements...)
	}
	return sections, nil
}

func encodeSettings(source protoreflect.Message, fields []sectionedField) ([]byte, error) {
	sectioned := map[protoreflect.Name]bool{}
	for _, field := range fields {
		sectioned[field.name] = true
	}
	rest := source.New()
	source.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if !sectioned[field.Name()] {
			rest.Set(field, value)
		}
		return true
	})
	rest.SetUnknown(source.GetUnknown())
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(rest.Interface())
	return content, errors.Wrap(err, "encode the settings section")
}

// encodeElements encodes each element of a list as a section. Its content begins with the
// key of the preceding element, which is empty for the first one. That preserves the order
// of the list, and adding or removing an element changes at most one other section.
func encodeElements(source protoreflect.Message, field sectionedField) ([]relaytree.Section, error) {
	elements := source.Get(field.descriptor(source)).List()
	sections := make([]relaytree.Section, 0, elements.Len())
	keys := make(map[string]struct{}, elements.Len())
	predecessor := ""
	for i := range elements.Len() {
		element := elements.Get(i).Message()
		key := field.keyOf(element)
		if _, duplicate := keys[key]; duplicate || key == "" {
			return nil, &sectionError{section: field.prefix + key, reason: "has an empty or duplicate key; the validation of orders must refuse such a state"}
		}
		keys[key] = struct{}{}
		content := protowire.AppendString(nil, predecessor)
		content, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(content, element.Interface())
		if err != nil {
			return nil, errors.Wrapf(err, "encode section %q", field.prefix+key)
		}
		sections = append(sections, relaytree.Section{Name: field.prefix + key, Content: content})
		predecessor = key
	}
	return sections, nil
}
