package operatorcli

import (
	"crypto/rand"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator/schema"
)

// The flags that do not come from the fields of a request.
const (
	flagNode    = "node"
	flagTimeout = "timeout"
	flagOutput  = "output"
	flagOrderID = "order-id"
	flagBase    = "base-revision"
	flagFile    = "file"
	flagSecret  = "secret"
)

const (
	// defaultNode is the control address of a node on the local machine in the examples.
	defaultNode = "127.0.0.1:7300"
	// defaultTimeout bounds the wait for one node's response.
	defaultTimeout = 15 * time.Second
	// digestField is the name of fields that hold the digest of a secret.
	digestField protoreflect.Name = "sha256"
	// nameField is the name of fields that identify the message that contains them.
	nameField protoreflect.Name = "name"
)

// clientFlags returns the flags that every verb has. --output exists only if the response can
// be printed as a table.
func clientFlags(response protoreflect.MessageDescriptor) []cli.Flag {
	flags := []cli.Flag{
		&cli.StringSliceFlag{
			Name:    flagNode,
			Usage:   "control `ADDRESS` of a node; repeat it to name the nodes to try next",
			Value:   []string{defaultNode},
			Sources: cli.EnvVars("RIDGESWITCH_NODE"),
		},
		&cli.DurationFlag{Name: flagTimeout, Usage: "longest wait for one node's answer", Value: defaultTimeout},
	}
	if isTabular(response) {
		flags = append(flags, &cli.StringFlag{Name: flagOutput, Usage: "json or table", Value: outputJSON})
	}
	return flags
}

// requestFlags returns the flags for the fields of a request.
func requestFlags(request protoreflect.MessageDescriptor) []cli.Flag {
	var flags []cli.Flag
	for _, field := range flagFields(request) {
		if field.isSwitch() {
			flags = append(flags, &cli.BoolFlag{Name: field.flag, Usage: field.usage()})
			continue
		}
		flags = append(flags, &cli.StringFlag{Name: field.flag, Usage: field.usage()})
		if field.isDigest() {
			flags = append(flags, &cli.StringFlag{
				Name:  flagSecret,
				Usage: "the secret itself, or - to read it from standard input; only its SHA-256 is sent",
			})
		}
	}
	return flags
}

// flagField is a field of a request that is set by a flag.
type flagField struct {
	flag string
	// path contains the fields from the request down to this field, the field itself last.
	path []protoreflect.FieldDescriptor
}

// last returns the field itself, without the messages that contain it.
func (f flagField) last() protoreflect.FieldDescriptor {
	return f.path[len(f.path)-1]
}

// isFile reports whether the flag names a file with the JSON of the field.
func (f flagField) isFile() bool {
	return f.last().Message() != nil
}

// isBytes reports whether the flag names a file with the content of the field.
func (f flagField) isBytes() bool {
	return f.last().Kind() == protoreflect.BytesKind
}

// isSwitch reports whether the flag takes no value.
func (f flagField) isSwitch() bool {
	return f.last().Kind() == protoreflect.BoolKind
}

// isDigest reports whether the field holds the digest of a secret.
func (f flagField) isDigest() bool {
	return f.last().Name() == digestField
}

// usage returns the help text of the flag.
func (f flagField) usage() string {
	switch {
	case f.isFile():
		return "`FILE` with the " + string(f.last().Message().Name()) + " as JSON; - reads standard input"
	case f.isBytes():
		return "`FILE` with the " + string(f.last().Name()) + "; - reads standard input"
	case f.flag == flagOrderID:
		return "identity of the order; made up when it is not given"
	case f.flag == flagBase:
		return "revision that the order is based on; a whole configuration needs it unless it is the first"
	default:
		names := make([]string, 0, len(f.path))
		for _, field := range f.path {
			names = append(names, string(field.Name()))
		}
		return "field " + strings.Join(names, ".") + " of the request"
	}
}

// flagFields returns the fields of a request that are set by flags. Each field of a nested
// message has a flag of its own, except that a configuration is read from a file as a whole.
func flagFields(request protoreflect.MessageDescriptor) []flagField {
	var fields []flagField
	for i := range request.Fields().Len() {
		field := request.Fields().Get(i)
		switch {
		case field.Message() == nil:
			fields = append(fields, flagField{flag: flagName(field.Name()), path: []protoreflect.FieldDescriptor{field}})
		case field.Message().FullName() == configurationName():
			fields = append(fields, flagField{flag: flagFile, path: []protoreflect.FieldDescriptor{field}})
		default:
			fields = append(fields, nestedFields(field)...)
		}
	}
	return fields
}

// nestedFields returns the fields of a nested message. The flag of a field called name is the
// name of the message.
func nestedFields(parent protoreflect.FieldDescriptor) []flagField {
	var fields []flagField
	nested := parent.Message().Fields()
	for i := range nested.Len() {
		field := nested.Get(i)
		name := field.Name()
		if name == nameField {
			name = parent.Name()
		}
		fields = append(fields, flagField{flag: flagName(name), path: []protoreflect.FieldDescriptor{parent, field}})
	}
	return fields
}

func configurationName() protoreflect.FullName {
	return (&ridgeswitchv1.Configuration{}).ProtoReflect().Descriptor().FullName()
}

// flagName returns the name of the flag for a field: the field's name with hyphens in place of
// underscores.
func flagName(name protoreflect.Name) string {
	return strings.ReplaceAll(string(name), "_", "-")
}

// orderIDOf returns the order ID: the value of --order-id, or a random ID if the flag is not
// given. It is empty for a call that is not an order.
func orderIDOf(command *cli.Command, request protoreflect.MessageDescriptor) string {
	if !isOrder(request) {
		return ""
	}
	if given := command.String(flagOrderID); given != "" {
		return given
	}
	return rand.Text()
}

// isSegment reports whether a field is a segment of the URL path of a call.
func isSegment(call schema.Call, field flagField) bool {
	for _, name := range call.Segments() {
		if len(field.path) == 1 && string(field.last().Name()) == name {
			return true
		}
	}
	return false
}
