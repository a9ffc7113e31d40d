package dynamic_test

import (
	"fmt"
	"runtime"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

// parsedDocuments are requests that apply configurations of one kind of entry.
var parsedDocuments = map[string]func(number int) string{
	"routes": func(number int) string {
		return fmt.Sprintf(`{"host":"h%d","path_prefix":"/","web_service":"w","public":true}`, number)
	},
	"tenants": func(number int) string {
		return fmt.Sprintf(`{"name":"t%d","keys":[{"name":"k","sha256":"%064x"}],"limits":{"requestsPerSecond":1,"burst":1,"concurrentRequests":1,"queuedRequests":1,"queueTimeoutMs":1}}`, number, number)
	},
}

// heldBytes returns how much memory is in use.
func heldBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

var _ = Describe("the memory of parsed documents", func() {
	It("is not underestimated", func() {
		for field, entry := range parsedDocuments {
			entries := make([]string, 10_000)
			for number := range entries {
				entries[number] = entry(number)
			}
			text := []byte(`{"order":{"order_id":"o"},"configuration":{"web_services":[{"name":"w","service":"w","request_timeout_ms":1}],"` +
				field + `":[` + strings.Join(entries, ",") + `]}}`)
			before := heldBytes()
			request := &ridgeswitchv1.ApplyConfigurationRequest{}
			Expect(dynamic.ParseMessage(text, request)).To(Succeed())
			order, err := dynamic.OrderFromRequest(request)
			Expect(err).NotTo(HaveOccurred())
			taken := heldBytes() - before
			runtime.KeepAlive(request)
			runtime.KeepAlive(order)
			GinkgoWriter.Printf("%s: %d bytes of text, %d taken, %d estimated\n", field, len(text), taken, dynamic.ParsedBytes(text))
			Expect(dynamic.ParsedBytes(text)).To(BeNumerically(">", taken), field)
		}
	})
	It("is that of the text if it is no JSON", func() {
		Expect(dynamic.ParsedBytes([]byte(strings.Repeat("[", 1000)))).To(BeNumerically("<", 10_000))
	})
	It("grows with the entries of lists", func() {
		text := func(element string) []byte {
			return []byte("[" + strings.Repeat(element+",", 100_000) + element + "]")
		}
		Expect(dynamic.ParsedBytes(text("{}"))).To(BeNumerically(">", 100_000*900))
		Expect(dynamic.ParsedBytes(text(`""`))).To(BeNumerically(">", 100_000*192))
	})
})
