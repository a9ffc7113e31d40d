// Package operations_test checks that the pages for operators describe every field
// that operators can write.
package operations_test

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

func TestOperations(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operations pages")
}

// table is the words, in the style of code, in the first column of a table.
type table []string

var (
	// heading begins a section on a message or an enumeration.
	heading = regexp.MustCompile(`^### \x60(\w+)\x60$`)
	// row is a line of a table, with its first cell.
	row = regexp.MustCompile(`^\| ([^|]*) \|`)
	// word is a word in the style of code.
	word = regexp.MustCompile(`\x60(\w+)\x60`)
)

// readPage returns the table below each heading of a page that is a name in the
// style of code, and all the tables above the first of them under the empty name.
func readPage(text string) map[string]table {
	tables := make(map[string]table)
	name := ""
	for _, line := range strings.Split(text, "\n") {
		if found := heading.FindStringSubmatch(line); found != nil {
			name = found[1]
			tables[name] = table{}
			continue
		}
		if found := row.FindStringSubmatch(line); found != nil {
			for _, written := range word.FindAllStringSubmatch(found[1], -1) {
				tables[name] = append(tables[name], written[1])
			}
		}
	}
	return tables
}

// schemaOf returns the fields of a message, and of every message that it holds, and
// the values of every enumeration.
func schemaOf(message protoreflect.MessageDescriptor) map[string]table {
	schema := make(map[string]table)
	var addMessage func(message protoreflect.MessageDescriptor)
	addEnum := func(enum protoreflect.EnumDescriptor) {
		values := table{}
		for i := range enum.Values().Len() {
			values = append(values, string(enum.Values().Get(i).Name()))
		}
		schema[string(enum.Name())] = values
	}
	addMessage = func(message protoreflect.MessageDescriptor) {
		name := string(message.Name())
		if _, known := schema[name]; known {
			return
		}
		schema[name] = table{}
		for i := range message.Fields().Len() {
			field := message.Fields().Get(i)
			schema[name] = append(schema[name], string(field.Name()))
			if field.Message() != nil {
				addMessage(field.Message())
			}
			if field.Enum() != nil {
				addEnum(field.Enum())
			}
		}
	}
	addMessage(message)
	return schema
}

// settingsFields are the names of all settings of a node.
func settingsFields() table {
	var names table
	settings := reflect.TypeFor[static.Settings]()
	for i := range settings.NumField() {
		name, _, _ := strings.Cut(settings.Field(i).Tag.Get("yaml"), ",")
		names = append(names, name)
	}
	return names
}

// differences lists what one side has and the other has not.
func differences(page, schema map[string]table) []string {
	var found []string
	for name, fields := range schema {
		described, present := page[name]
		if !present {
			found = append(found, "no section on "+name)
			continue
		}
		found = append(found, differencesIn(name, described, fields)...)
	}
	for name := range page {
		if _, known := schema[name]; !known && name != "" {
			found = append(found, "a section on "+name+", which is not in the schema")
		}
	}
	return found
}

func differencesIn(name string, described, fields table) []string {
	var found []string
	times := make(map[string]int)
	for _, field := range described {
		times[field]++
	}
	for _, field := range fields {
		if times[field] != 1 {
			found = append(found, name+"."+field+" is not described once")
		}
		delete(times, field)
	}
	for field := range times {
		found = append(found, name+"."+field+" is described and does not exist")
	}
	return found
}

var _ = Describe("The pages for operators", func() {
	read := func(path string) string {
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		return string(text)
	}

	It("describe every field of the configuration, and no other", func() {
		schema := schemaOf((&ridgeswitchv1.Configuration{}).ProtoReflect().Descriptor())
		Expect(differences(readPage(read("configuration.md")), schema)).To(BeEmpty())
	})

	It("describe every setting of a node, and no other", func() {
		page := read("deploy-and-start.md")
		Expect(differencesIn("settings", readPage(page)[""], settingsFields())).To(BeEmpty())
	})
})

var _ = Describe("The check of pages", func() {
	schema := map[string]table{"Pool": {"name", "model"}, "Kind": {"FAST", "SLOW"}}

	check := func(text string) []string { return differences(readPage(text), schema) }

	const whole = "# Page\n\n| `other` | no field |\n\n### `Pool`\n\n| Field | Meaning |\n|---|---|\n" +
		"| `name` | text with `code` |\n| `model` | text |\n\n### `Kind`\n\n| `FAST`, `SLOW` | text |\n"

	It("is satisfied by one that describes each field once", func() {
		Expect(check(whole)).To(BeEmpty())
	})

	DescribeTable("finds", func(old, replacement, expected string) {
		Expect(strings.Count(whole, old)).To(Equal(1))
		Expect(check(strings.Replace(whole, old, replacement, 1))).To(ConsistOf(expected))
	},
		Entry("a missing field", "| `model` | text |\n", "", "Pool.model is not described once"),
		Entry("a field that is only spoken of", "| `model` | text |", "| model | see `model` |", "Pool.model is not described once"),
		Entry("a field that is described twice", "| `model` | text |", "| `model` | text |\n| `model` | text |", "Pool.model is not described once"),
		Entry("a field that does not exist", "| `model` | text |", "| `model` | text |\n| `old` | text |", "Pool.old is described and does not exist"),
		Entry("a missing value", "`FAST`, ", "", "Kind.FAST is not described once"),
		Entry("a section too much", "# Page", "### `Gone`\n", "a section on Gone, which is not in the schema"),
	)

	It("finds a missing section", func() {
		Expect(check(whole[:strings.Index(whole, "### `Kind`")])).To(ConsistOf("no section on Kind"))
	})

	It("walks into messages, lists of them and enumerations", func() {
		schema := schemaOf((&ridgeswitchv1.Configuration{}).ProtoReflect().Descriptor())
		Expect(schema["Tenant"]).To(ContainElements("walled", "priority"))
		Expect(schema["WeightedDestination"]).To(ConsistOf("pool", "web_service", "weight"))
		Expect(schema["RequestKind"]).To(ContainElement("STREAMING"))
		Expect(settingsFields()).To(ContainElements("node", "seeds", "log_ring"))
	})
})
