package operatorcli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"
)

// The values of --output.
const (
	outputJSON  = "json"
	outputTable = "table"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// printer prints the response of a verb.
type printer struct {
	response protoreflect.MessageDescriptor
	// table selects the output as tables; otherwise the output is JSON.
	table bool
	// out receives the response, and messages all other output.
	out      io.Writer
	messages io.Writer
}

// newPrinter returns a printer for the format that --output names.
func newPrinter(command *cli.Command, response protoreflect.MessageDescriptor) (*printer, error) {
	p := &printer{response: response, out: command.Root().Writer, messages: command.Root().ErrWriter}
	if !isTabular(response) {
		return p, nil
	}
	switch output := command.String(flagOutput); output {
	case outputJSON:
		return p, nil
	case outputTable:
		p.table = true
		return p, nil
	default:
		return nil, usageError("--" + flagOutput + " " + output + ": use " + outputJSON + " or " + outputTable)
	}
}

// printMessage prints a line that is not part of the response.
func (p *printer) printMessage(text string) {
	_, _ = fmt.Fprintln(p.messages, text)
}

// print prints a response, whose body is JSON, in the format of the printer.
func (p *printer) print(body []byte) error {
	if p.table {
		return p.printTable(body)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, bytes.TrimSpace(body), "", "  "); err != nil {
		return errors.Wrap(err, "the node's answer is no JSON; check that --node is a control address")
	}
	indented.WriteByte('\n')
	_, err := indented.WriteTo(p.out)
	return err
}

// printTable prints the fields that are not messages, one per line, and then a table for each
// list of messages.
func (p *printer) printTable(body []byte) error {
	message := dynamicpb.NewMessage(p.response)
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(body, message); err != nil {
		return errors.Wrap(err, "the node's answer does not fit the schema; use --output json")
	}
	writer := tabwriter.NewWriter(p.out, 0, 0, columnGap, ' ', 0)
	for _, field := range fieldsOf(p.response) {
		if field.Message() == nil {
			_, _ = fmt.Fprintf(writer, "%s\t%s\n", field.Name(), cell(message, field))
		}
	}
	for _, field := range fieldsOf(p.response) {
		if field.Message() != nil {
			writeRows(writer, field, message.Get(field).List())
		}
	}
	return writer.Flush()
}

// writeRows writes one table with a row for each element of a list.
func writeRows(writer io.Writer, field protoreflect.FieldDescriptor, rows protoreflect.List) {
	columns := fieldsOf(field.Message())
	headings := make([]string, 0, len(columns))
	for _, column := range columns {
		headings = append(headings, strings.ToUpper(string(column.Name())))
	}
	_, _ = fmt.Fprintf(writer, "\n%s\n%s\n", field.Name(), strings.Join(headings, "\t"))
	for i := range rows.Len() {
		cells := make([]string, 0, len(columns))
		for _, column := range columns {
			cells = append(cells, cell(rows.Get(i).Message(), column))
		}
		_, _ = fmt.Fprintln(writer, strings.Join(cells, "\t"))
	}
}

// cell returns the text of one field, or a dash if the text is empty.
func cell(message protoreflect.Message, field protoreflect.FieldDescriptor) string {
	value := message.Get(field)
	texts := []string{value.String()}
	if field.IsList() {
		texts = texts[:0]
		for i := range value.List().Len() {
			texts = append(texts, value.List().Get(i).String())
		}
	}
	if text := strings.Join(texts, ","); text != "" {
		return text
	}
	return "-"
}

// isTabular reports whether a response can be printed as tables: it contains lists of messages,
// no other nested messages, and the listed messages contain none.
func isTabular(response protoreflect.MessageDescriptor) bool {
	hasRows := false
	for _, field := range fieldsOf(response) {
		if field.Message() == nil {
			continue
		}
		if !field.IsList() || !isFlat(field.Message()) {
			return false
		}
		hasRows = true
	}
	return hasRows
}

// isFlat reports whether a message has no nested messages.
func isFlat(descriptor protoreflect.MessageDescriptor) bool {
	for _, field := range fieldsOf(descriptor) {
		if field.Message() != nil {
			return false
		}
	}
	return true
}

// fieldsOf returns the fields of a message in the order of the schema.
func fieldsOf(descriptor protoreflect.MessageDescriptor) []protoreflect.FieldDescriptor {
	fields := make([]protoreflect.FieldDescriptor, 0, descriptor.Fields().Len())
	for i := range descriptor.Fields().Len() {
		fields = append(fields, descriptor.Fields().Get(i))
	}
	return fields
}
