package inbound

import (
	"context"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// requestWithin returns a request on a connection of its own within a budget, and that connection.
func requestWithin(budget *Budget, method string) (*http.Request, *Connection) {
	ours, theirs := net.Pipe()
	DeferCleanup(ours.Close)
	DeferCleanup(theirs.Close)
	listener := NewListener(nil, budget, 1, func() PortLimits { return PortLimits{} })
	connection := listener.admit(ours)
	Expect(connection).NotTo(BeNil())
	connection.SetState(http.StateActive)
	request, err := http.NewRequestWithContext(context.WithValue(context.Background(), contextKey{}, connection), method, "http://a/", http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	return request, connection
}

var _ = Describe("What is built of a request's content", func() {
	nothing := func() error { return nil }
	var budget *Budget
	BeforeEach(func() { budget = NewBudget(Limits{Bytes: 8 * mebibyte, Connections: 100}) })

	It("is charged until the request has ended", func() {
		request, connection := requestWithin(budget, http.MethodPost)
		Expect(Parse(request, mebibyte, nothing)).To(Succeed())
		Expect(budget.Stats().HeldBytes).To(BeEquivalentTo(mebibyte))
		connection.SetState(http.StateIdle)
		Expect(budget.Stats().HeldBytes).To(BeZero())
	})
	It("is refused if other requests leave no room", func() {
		first, _ := requestWithin(budget, http.MethodPost)
		Expect(Charge(first, 6*mebibyte)).To(Succeed())
		second, connection := requestWithin(budget, http.MethodPost)
		Expect(Charge(second, 2*mebibyte)).To(MatchError(ErrOverloaded))
		Expect(connection.held).To(BeZero())
	})
	It("is refused for good if there is never room", func() {
		request, _ := requestWithin(budget, http.MethodPost)
		var tooLarge *TooLargeError
		Expect(errors.As(Parse(request, 7*mebibyte+1, func() error { panic("parsed") }), &tooLarge)).To(BeTrue())
		Expect(tooLarge.MaxBytes).To(BeEquivalentTo(7 * mebibyte))
		Expect(Charge(request, 7*mebibyte)).To(Succeed())
	})
	It("is built for one request at a time", func() {
		running, finish := make(chan struct{}), make(chan struct{})
		first, _ := requestWithin(budget, http.MethodPost)
		go func() {
			_ = Parse(first, 1, func() error {
				close(running)
				<-finish
				return nil
			})
		}()
		<-running
		second, _ := requestWithin(budget, http.MethodPost)
		ended, end := context.WithCancel(second.Context())
		end()
		Expect(Parse(second.WithContext(ended), 1, nothing)).To(MatchError(ErrOverloaded))
		close(finish)
		Expect(Parse(second, 1, nothing)).To(Succeed())
	})
	It("passes on the error of the parser, and is not charged without a listener", func() {
		fault := errors.New("fault")
		request, _ := requestWithin(budget, http.MethodPost)
		Expect(Parse(request, 1, func() error { return fault })).To(MatchError(fault))
		Expect(Parse(&http.Request{}, 1<<40, nothing)).To(Succeed())
	})
})
