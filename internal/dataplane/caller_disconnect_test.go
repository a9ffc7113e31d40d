package dataplane_test

import (
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
)

var _ = Describe("A queued request", func() {
	DescribeTable("is removed from the queue when its caller disconnects, and is not sent", func(body string) {
		arrived, proceed := make(chan struct{}, 4), make(chan struct{})
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			arrived <- struct{}{}
			<-proceed
			respondWith("ok")(writer, request)
		})
		f := newFixture(backend.address())
		release := sync.OnceFunc(func() { close(proceed) })
		DeferCleanup(release)
		f.limits = &ridgeswitchv1.Limits{ConcurrentRequests: 1, QueuedRequests: 1, QueueTimeoutMs: 60000}
		f.publish()
		first := make(chan outcome, 1)
		go func() { first <- f.generate() }()
		Eventually(arrived).WithTimeout(waitTimeout).Should(Receive())

		connection := f.connect()
		connection.write(promptHead("Request-Id: left", "Content-Length: 10") + body)
		Eventually(f.server.Waiting).WithTimeout(waitTimeout).Should(Equal(1))
		Expect(connection.Close()).To(Succeed())
		Eventually(f.server.Waiting).WithTimeout(waitTimeout / 2).Should(BeZero())
		release()
		var responded outcome
		Eventually(first).WithTimeout(waitTimeout).Should(Receive(&responded))
		Expect(responded.status).To(Equal(http.StatusOK))
		Expect(f.generate().status).To(Equal(http.StatusOK))
		for _, request := range backend.requests() {
			Expect(request.Header.Get("Request-Id")).NotTo(Equal("left"))
		}
	},
		Entry("after the whole body", "the prompt"),
		Entry("after a part of the body", "the"),
	)

	It("is refused before a slot is free if its body is too large", func() {
		arrived, proceed := make(chan struct{}, 2), make(chan struct{})
		backend := newReplica(func(writer http.ResponseWriter, request *http.Request) {
			arrived <- struct{}{}
			<-proceed
			respondWith("ok")(writer, request)
		})
		f := newFixtureWith(func(options *dataplane.Options) { options.MaxBodyBytes = 16 }, backend.address())
		release := sync.OnceFunc(func() { close(proceed) })
		DeferCleanup(release)
		f.limits = &ridgeswitchv1.Limits{ConcurrentRequests: 1, QueuedRequests: 1, QueueTimeoutMs: 60000}
		f.publish()
		first := make(chan outcome, 1)
		go func() { first <- f.generate() }()
		Eventually(arrived).WithTimeout(waitTimeout).Should(Receive())
		connection := f.connect()
		connection.write(promptHead("Content-Length: 17") + "the prompt is lon")
		response, _ := connection.readResponse()
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(f.server.Waiting()).To(BeZero())
		release()
		var responded outcome
		Eventually(first).WithTimeout(waitTimeout).Should(Receive(&responded))
		Expect(responded.status).To(Equal(http.StatusOK))
	})
})
