package dynamic_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// The golden results were made by an earlier release, and are never made anew: a
// document must lead to the same configuration, the same faults, and an order of the
// same digest, or a resend to a node of another release would be another order. The
// result of a new document is added by one run with writeGolden set.
const (
	goldenFolder = "testdata/golden"
	goldenOrders = "testdata/golden_orders.json"
	writeGolden  = "RIDGESWITCH_WRITE_GOLDEN"
)

// goldenResult is what became of a document. Its keys are those of the golden files.
type goldenResult struct {
	Configuration json.RawMessage `json:"configuration,omitempty"`
	ParseFaults   []goldenFault   `json:"parse_faults,omitempty"`
	Faults        []goldenFault   `json:"faults,omitempty"`
}

type goldenFault struct {
	Kind    string `json:"kind"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// goldenOrder is the order that a request leads to.
type goldenOrder struct {
	Name  string          `json:"name"`
	Order json.RawMessage `json:"order"`
}

func jsonOf(message proto.Message) json.RawMessage {
	data, err := protojson.Marshal(message)
	Expect(err).NotTo(HaveOccurred())
	var compact bytes.Buffer
	Expect(json.Compact(&compact, data)).To(Succeed())
	return compact.Bytes()
}

func goldenFaults(err error) []goldenFault {
	var single *dynamic.Error
	var list dynamic.Errors
	switch {
	case err == nil:
		return nil
	case errors.As(err, &list):
	case errors.As(err, &single):
		list = dynamic.Errors{single}
	default:
		Fail("an untyped error: " + err.Error())
	}
	var faults []goldenFault
	for _, fault := range list {
		faults = append(faults, goldenFault{Kind: string(fault.Kind), Field: fault.Field, Message: fault.Message})
	}
	return faults
}

func resultOf(document []byte) goldenResult {
	configuration, err := dynamic.Parse(document)
	if err != nil {
		return goldenResult{ParseFaults: goldenFaults(err)}
	}
	return goldenResult{Configuration: jsonOf(configuration), Faults: goldenFaults(dynamic.Validate(configuration))}
}

// expectGolden compares a result with the golden one of that path.
func expectGolden(path string, result any) {
	data, err := json.MarshalIndent(result, "", "  ")
	Expect(err).NotTo(HaveOccurred())
	data = append(data, '\n')
	if _, err := os.Stat(path); os.IsNotExist(err) && os.Getenv(writeGolden) != "" {
		Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	}
	golden, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	ExpectWithOffset(1, string(data)).To(Equal(string(golden)))
}

// ordersOf returns an order of each kind.
func ordersOf(configuration *ridgeswitchv1.Configuration) []goldenOrder {
	header := &ridgeswitchv1.OrderHeader{OrderId: "order-1", BaseRevision: 7}
	key := &ridgeswitchv1.Key{Name: "desk", Sha256: dynamic.KeyDigest("secret")}
	wall := &ridgeswitchv1.SetTenantWallRequest{Order: header, Tenant: "registry"}
	var orders []goldenOrder
	add := func(name string, order *controlpb.Order, err error) {
		Expect(err).NotTo(HaveOccurred())
		orders = append(orders, goldenOrder{Name: name, Order: jsonOf(order)})
	}
	addRequest := func(name string, request proto.Message) {
		order, err := dynamic.OrderFromRequest(request)
		add(name, order, err)
	}
	addRequest("apply", &ridgeswitchv1.ApplyConfigurationRequest{Order: header, Configuration: configuration})
	addRequest("add key", &ridgeswitchv1.AddKeyRequest{Order: header, Tenant: "registry", Key: key})
	addRequest("revoke key", &ridgeswitchv1.RevokeKeyRequest{Order: header, Tenant: "registry", Key: "desk"})
	addRequest("evacuate zone", &ridgeswitchv1.EvacuateZoneRequest{Order: header, Zone: "d", Reason: "power work"})
	addRequest("restore zone", &ridgeswitchv1.RestoreZoneRequest{Order: header, Zone: "d"})
	addRequest("name weights", &ridgeswitchv1.NameWeightsRequest{Order: header, Pool: "summaries", WeightVersion: "w2"})
	order, err := dynamic.WallOrder(wall, true)
	add("wall", order, err)
	order, err = dynamic.WallOrder(wall, false)
	add("unwall", order, err)
	order, err = dynamic.RaiseWeightsOrder("order-2", "summaries", 12)
	add("raise weights", order, err)
	document := proto.CloneOf(configuration)
	document.Evacuations = nil
	order, err = dynamic.DocumentOrder(document, &ridgeswitchv1.Source{Version: 3, BaseVersion: 2, Document: []byte("text")})
	add("document", order, err)
	return orders
}

var _ = Describe("A document of an earlier release", func() {
	documents, err := filepath.Glob(filepath.Join(goldenFolder, "*.json"))
	if err != nil || len(documents) == 0 {
		panic("no golden documents")
	}
	for _, path := range documents {
		It("leads to the same result: "+filepath.Base(path), func() {
			document, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			expectGolden(strings.TrimSuffix(path, ".json")+".result", resultOf(document))
		})
	}

	It("leads to orders of the same digests", func() {
		document, err := os.ReadFile(filepath.Join(goldenFolder, "every_field.json"))
		Expect(err).NotTo(HaveOccurred())
		configuration, err := dynamic.Parse(document)
		Expect(err).NotTo(HaveOccurred())
		expectGolden(goldenOrders, ordersOf(configuration))
	})
})
