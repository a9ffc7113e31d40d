package dynamic_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

var _ = Describe("Parse", func() {
	DescribeTable("finds each fault by kind and field", func(document string, faults ...string) {
		configuration, err := dynamic.Parse([]byte(document))
		Expect(configuration).To(BeNil())
		Expect(faultsOf(err)).To(Equal(faults))
	},
		Entry("empty", "", "malformed "),
		Entry("truncated", `{"tenants":[`, "malformed "),
		Entry("trailing text", `{} {}`, "malformed "),
		Entry("not an object", `[]`, "malformed "),
		Entry("null", `null`, "malformed "),
		Entry("too many bytes", strings.Repeat(" ", dynamic.MaxDocumentBytes+1), "oversize "),
		Entry("unknown field", `{"tennants":[]}`, "unknown_field tennants"),
		Entry("unknown fields at any depth", `{"tenants":[{},{"limits":{"bursts":1},"key":1}],"x":{}}`,
			"unknown_field tenants[1].limits.bursts", "unknown_field tenants[1].key", "unknown_field x"),
		Entry("extension", `{"[ridgeswitch.v1.http]":{}}`, "unknown_field [ridgeswitch.v1.http]"),
		Entry("values of the wrong type", `{"tenants":[{"name":1,"walled":"yes","limits":{"burst":-1}}],"routes":{}}`,
			"malformed tenants[0].name", "malformed tenants[0].walled", "malformed tenants[0].limits.burst", "malformed routes"),
		Entry("null element", `{"tenants":[null]}`, "malformed tenants[0]"),
		Entry("field twice", `{"pools":[],"pools":[]}`, "duplicate pools"),
		Entry("field twice, by its proto name and its JSON name", `{"web_services":[],"webServices":[]}`, "duplicate web_services"),
		Entry("two destinations", `{"routes":[{"host":"h","pool":"p","web_service":"w"}]}`, "invalid routes[0].web_service"),
		Entry("a list of more than MaxRoutes elements", `{"routes":[{}`+strings.Repeat(",{}", dynamic.MaxRoutes)+`]}`, "oversize routes"),
		Entry("a lone surrogate", `{"tenants":[{"name":"\ud800"}]}`, "malformed tenants[0].name"),
		Entry("invalid UTF-8", "{\"tenants\":[{\"name\":\"\xff\"}]}", "malformed tenants[0].name"),
	)

	It("reports a bounded number of faults", func() {
		_, err := dynamic.Parse([]byte(`{"a":1` + strings.Repeat(`,"a":1`, dynamic.MaxFaults) + `}`))
		Expect(err).To(HaveLen(dynamic.MaxFaults))
	})

	It("reads JSON names and numbers in strings, and treats null as absence", func() {
		configuration, err := dynamic.Parse([]byte(`{"tenants":null,"webServices":[{"requestTimeoutMs":5}],"revision":"7"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(configuration.GetWebServices()[0].GetRequestTimeoutMs()).To(Equal(uint32(5)))
		Expect(configuration.GetRevision()).To(Equal(uint64(7)))
	})
})

// FuzzParse checks that Parse accepts exactly the documents that protojson accepts, within
// the size bounds, and that an accepted document can be validated and, once it is encoded
// again, parsed to an equal configuration.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, document []byte) {
		configuration, err := dynamic.Parse(document)
		reference := &config{}
		referenceErr := protojson.Unmarshal(document, reference)
		if (err == nil) != (referenceErr == nil) {
			t.Fatalf("Parse: %v; protojson: %v", err, referenceErr)
		}
		if err != nil {
			return
		}
		_ = dynamic.Validate(configuration)
		encoded, err := protojson.Marshal(configuration)
		if err != nil {
			t.Fatal(err)
		}
		again, err := dynamic.Parse(encoded)
		if err != nil || !proto.Equal(configuration, again) {
			t.Fatalf("the encoded configuration is not parsed to an equal one: %v", err)
		}
	})
}
