package operatorcli

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator/schema"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// standardInput is the file name that means standard input.
const standardInput = "-"

// document is a JSON object that is being built: values by the names of their fields.
type document map[string]any

// buildRequest returns the request of a call with the values of the flags. It parses them as
// strictly as a node does, so that a wrong value is reported before anything is sent.
func buildRequest(command *cli.Command, call schema.Call, orderID string) (protoreflect.Message, error) {
	content := document{}
	for _, field := range flagFields(call.Method.Input()) {
		value, err := fieldValue(command, call, field, orderID)
		if err != nil {
			return nil, err
		}
		if value != nil {
			content.set(field.path, value)
		}
	}
	data, err := json.Marshal(content)
	if err != nil {
		return nil, usageError("the request can't be encoded: " + err.Error())
	}
	request := dynamicpb.NewMessage(call.Method.Input())
	if err := dynamic.ParseMessage(data, request); err != nil {
		return nil, usageError(err.Error())
	}
	return request, nil
}

// fieldValue returns the JSON value of one field, or nil if its flag is not given.
func fieldValue(command *cli.Command, call schema.Call, field flagField, orderID string) (any, error) {
	if field.isSwitch() {
		return switchValue(command, field.flag), nil
	}
	text := command.String(field.flag)
	switch {
	case field.flag == flagOrderID:
		return orderID, nil
	case field.isFile():
		return fileValue(command, text)
	case field.isBytes():
		return bytesValue(command, text)
	case field.isDigest():
		return digestValue(command, text)
	case text == "" && isSegment(call, field):
		return nil, usageError("--" + field.flag + " is missing; give it")
	case text == "":
		return nil, nil
	default:
		return text, nil
	}
}

// switchValue returns true if a flag that takes no value is set, and nil otherwise.
func switchValue(command *cli.Command, flag string) any {
	if command.Bool(flag) {
		return true
	}
	return nil
}

// fileValue returns the JSON text in a file.
func fileValue(command *cli.Command, path string) (any, error) {
	if path == "" {
		return nil, usageError("--" + flagFile + " is missing; name the file to read")
	}
	data, err := readInput(command, path)
	if err != nil {
		return nil, err
	}
	if !json.Valid(data) {
		return nil, usageError(path + " holds no JSON; correct the file")
	}
	return json.RawMessage(data), nil
}

// bytesValue returns the content of a file in base64, the JSON encoding of bytes, or nil if no
// file is named.
func bytesValue(command *cli.Command, path string) (any, error) {
	if path == "" {
		return nil, nil
	}
	data, err := readInput(command, path)
	if err != nil {
		return nil, err
	}
	return base64.StdEncoding.EncodeToString(data), nil
}

// digestValue returns the given digest, or the digest of the secret that --secret gives. An
// error is returned unless exactly one of the two is given.
func digestValue(command *cli.Command, digest string) (any, error) {
	secret := command.String(flagSecret)
	if (digest == "") == (secret == "") {
		return nil, usageError("give either --" + flagSecret + " or --" + string(digestField))
	}
	if digest != "" {
		return digest, nil
	}
	if secret == standardInput {
		data, err := readInput(command, secret)
		if err != nil {
			return nil, err
		}
		secret = strings.TrimRight(string(data), "\r\n")
	}
	if secret == "" {
		return nil, usageError("the secret is empty; give one")
	}
	return dynamic.KeyDigest(secret), nil
}

// readInput reads a file or standard input. Input larger than the largest configuration is an
// error.
func readInput(command *cli.Command, path string) ([]byte, error) {
	source := command.Root().Reader
	if path != standardInput {
		file, err := os.Open(path)
		if err != nil {
			return nil, usageError(err.Error() + "; name a readable file")
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	data, err := io.ReadAll(io.LimitReader(source, dynamic.MaxDocumentBytes+1))
	if err != nil {
		return nil, usageError(err.Error() + "; name a readable file")
	}
	if len(data) > dynamic.MaxDocumentBytes {
		return nil, usageError(path + " is larger than any configuration may be; reduce it")
	}
	return data, nil
}

// set sets the value at a path of fields and creates the nested objects on the way.
func (d document) set(path []protoreflect.FieldDescriptor, value any) {
	name := string(path[0].Name())
	if len(path) == 1 {
		d[name] = value
		return
	}
	nested, found := d[name].(document)
	if !found {
		nested = document{}
		d[name] = nested
	}
	nested.set(path[1:], value)
}
