package platform_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin/platform"
)

const initial = `{"services":[{"name":"cases","replicas":[
	{"address":"a:1","zone":"z1","state":"running"},{"address":"b:1","zone":"z2","state":"running"}]}]}`

func parseInitial() platform.Endpoints {
	list, err := platform.ParseEndpoints([]byte(initial))
	Expect(err).NotTo(HaveOccurred())
	return list
}

var _ = Describe("LaggingEndpoints", func() {
	drain := platform.Change{Service: "cases", Address: "a:1", State: platform.StateDraining}
	remove := platform.Change{Service: "cases", Address: "b:1", State: platform.StateRemoved}
	add := platform.Change{Service: "cases", Address: "c:1", Zone: "z3", State: platform.StateRunning}

	It("makes changes visible after the lag, and records when they were first served", func() {
		list := platform.NewLaggingEndpoints(parseInitial(), time.Second)
		for _, change := range []platform.Change{drain, remove, add} {
			Expect(list.Change(5*time.Second, change)).To(Succeed())
		}
		Expect(list.Serve(5900 * time.Millisecond)).To(Equal(parseInitial()))
		Expect(list.History()[0].Served).To(BeFalse())
		Expect(list.Serve(6200 * time.Millisecond).Services[0].Replicas).To(Equal([]platform.Replica{
			{Address: "a:1", Zone: "z1", State: platform.StateDraining},
			{Address: "c:1", Zone: "z3", State: platform.StateRunning},
		}))
		list.Serve(9 * time.Second)
		Expect(list.History()[0]).To(Equal(platform.Record{
			Change: drain, Made: 5 * time.Second, Visible: 6 * time.Second,
			FirstServed: 6200 * time.Millisecond, Served: true,
		}))
	})

	It("rejects an unknown state and an empty address", func() {
		list := platform.NewLaggingEndpoints(parseInitial(), 0)
		Expect(list.Change(0, platform.Change{Service: "cases", Address: "a:1", State: "gone"})).NotTo(Succeed())
		_, err := platform.ParseEndpoints([]byte(`{"services":[{"name":"x","replicas":[{"address":"","state":"running"}]}]}`))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Server", func() {
	It("serves the list, applies all changes of a request or none, and serves the history", func() {
		handler := platform.New("", parseInitial(), 0).Handler()
		call := func(method, path, body string) *httptest.ResponseRecorder {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewBufferString(body)))
			return recorder
		}
		bad := `{"changes":[{"service":"cases","address":"a:1","state":"draining"},{"service":"cases","address":"b:1","state":"odd"}]}`
		Expect(call("POST", "/lab/services", bad).Code).To(Equal(http.StatusBadRequest))
		Expect(call("GET", "/v1/services", "").Body.String()).To(MatchJSON(initial))
		good := `{"changes":[{"service":"cases","address":"a:1","state":"draining"}]}`
		Expect(call("POST", "/lab/services", good).Code).To(Equal(http.StatusNoContent))
		Expect(call("GET", "/v1/services", "").Body.String()).To(ContainSubstring(`"state":"draining"`))
		var record platform.HistoryRecord
		Expect(json.Unmarshal(call("GET", "/lab/history", "").Body.Bytes(), &record)).To(Succeed())
		Expect(record.State).To(Equal(platform.StateDraining))
		Expect(record.FirstServedUnixNano).To(BeNumerically(">=", record.VisibleUnixNano))
	})
})
