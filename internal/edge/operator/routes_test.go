package operator

import (
	"context"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/reflect/protoreflect"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// fakeResource is a resource that serves one call, with names that the test chooses.
type fakeResource struct {
	serviceName, callName protoreflect.Name
}

func (r fakeResource) service() protoreflect.Name { return r.serviceName }

func (r fakeResource) calls() []call {
	return []call{newCall(r.callName, func(context.Context, *ridgeswitchv1.GetStatusRequest) (*ridgeswitchv1.NodeStatus, error) {
		return nil, nil
	})}
}

var _ = Describe("Routes", func() {
	It("include every call of the schema and no other", func() {
		complete := resources(nil)
		Expect(routes(complete)).To(HaveLen(len(schemaCalls())))
		_, err := routes(complete[1:])
		Expect(err).To(MatchError(ContainSubstring("serve each once")))
		_, err = routes(append(complete, fakeResource{"Nodes", "GetMore"}))
		Expect(err).To(MatchError(ContainSubstring("serve each once")))
		_, err = routes(append(complete[:4], fakeResource{"Nodes", "GetMore"}))
		Expect(err).To(MatchError(ContainSubstring("GetStatus is not served")))
	})
})

func schemaCalls() map[protoreflect.FullName]call {
	return servedCalls(resources(nil))
}

var _ = Describe("The limit of calls", func() {
	It("rejects a call beyond the limit, and accepts one after a running call has ended", func() {
		entered, leave := make(chan struct{}), make(chan struct{})
		handler := limitCalls(1)(func(http.ResponseWriter, *http.Request) {
			entered <- struct{}{}
			<-leave
		})
		serve := func() *httptest.ResponseRecorder {
			recorder := httptest.NewRecorder()
			handler(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
			return recorder
		}
		first := make(chan *httptest.ResponseRecorder)
		for range 2 {
			go func() { first <- serve() }()
			<-entered
			refused := serve()
			Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(refused.Header().Get("Retry-After")).To(Equal("1"))
			Expect(refused.Body.String()).To(ContainSubstring(`"kind":"unavailable"`))
			leave <- struct{}{}
			Expect((<-first).Code).To(Equal(http.StatusOK))
		}
	})
})
