package inbound

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing/iotest"
	"time"

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

var _ = Describe("A back end's response", func() {
	const limit = 4 * mebibyte
	var budget *Budget
	BeforeEach(func() { budget = NewBudget(Limits{Bytes: 8 * mebibyte, Connections: 100}) })
	read := func(request *http.Request, size int, declared int64) (int, bool) {
		body, complete, err := ReadResponse(request, strings.NewReader(text(size)), declared, limit)
		Expect(err).NotTo(HaveOccurred())
		return len(body), complete
	}

	DescribeTable("is read whole up to the limit", func(size int) {
		budget = NewBudget(Limits{Bytes: 32 * mebibyte, Connections: 100})
		for _, declared := range []int64{int64(size), -1} {
			request, connection := requestWithin(budget, http.MethodGet)
			length, complete := read(request, size, declared)
			Expect(length).To(Equal(size))
			Expect(complete).To(BeTrue())
			Expect(budget.Stats().HeldBytes).To(BeNumerically(">", size))
			connection.SetState(http.StateIdle)
			Expect(budget.Stats().HeldBytes).To(BeZero())
		}
	}, Entry(nil, 0), Entry(nil, 800), Entry(nil, 16<<10), Entry(nil, 1<<20+7), Entry(nil, limit-1))

	It("is left to be relayed beyond the limit", func() {
		request, _ := requestWithin(budget, http.MethodGet)
		length, complete := read(request, limit+5, -1)
		Expect(complete).To(BeFalse())
		Expect(length).To(BeNumerically("<=", limit+5))
		length, complete = read(request, limit+1, limit+1)
		Expect(complete).To(BeFalse())
		Expect(length).To(BeZero())
	})
	It("is left to be relayed without room, and leaves three quarters of the budget to requests", func() {
		first, _ := requestWithin(budget, http.MethodGet)
		_, complete := read(first, mebibyte, mebibyte)
		Expect(complete).To(BeTrue())
		for _, declared := range []int64{2 * mebibyte, -1} {
			second, _ := requestWithin(budget, http.MethodGet)
			_, complete = read(second, 2*mebibyte, declared)
			Expect(complete).To(BeFalse())
		}
		Expect(budget.Stats().HeldBytes).To(BeNumerically("<=", 2*mebibyte))
		third, _ := requestWithin(budget, http.MethodPost)
		Expect(Charge(third, 5*mebibyte)).To(Succeed())
	})
	It("loses nothing of a body that is left to be relayed", func() {
		body := strings.NewReader(strings.Repeat("0123456789", mebibyte))
		request, _ := requestWithin(budget, http.MethodGet)
		begun, complete, err := ReadResponse(request, body, -1, limit)
		Expect(err).NotTo(HaveOccurred())
		Expect(complete).To(BeFalse())
		rest, err := io.ReadAll(body)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(append(begun, rest...), []byte(strings.Repeat("0123456789", mebibyte)))).To(BeTrue())
	})
	It("is not charged if it can't be read", func() {
		request, _ := requestWithin(budget, http.MethodGet)
		_, _, err := ReadResponse(request, iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader(text(100)))), 100, limit)
		Expect(err).To(MatchError(iotest.ErrTimeout))
		Expect(budget.Stats().HeldBytes).To(BeZero())
	})
	It("to a HEAD request has no body to be charged", func() {
		request, _ := requestWithin(budget, http.MethodHead)
		length, complete := read(request, 0, 3*mebibyte)
		Expect(length).To(BeZero())
		Expect(complete).To(BeTrue())
		Expect(budget.Stats().HeldBytes).To(BeNumerically("<", mebibyte))
	})
	It("that a client leaves unread makes room for another client's request only while it is relayed", func() {
		request, connection := requestWithin(budget, http.MethodGet)
		connection.writingSince.Store(time.Now().Add(-time.Minute).UnixNano())
		CloseStalledRelay(request)
		Expect(connection.evicted).To(BeFalse())
		BeginRelay(request)
		CloseStalledRelay(request)
		Expect(connection.evicted).To(BeTrue())
	})
	It("that a client still reads is not closed", func() {
		request, connection := requestWithin(budget, http.MethodGet)
		BeginRelay(request)
		connection.writingSince.Store(time.Now().UnixNano())
		CloseStalledRelay(request)
		Expect(connection.evicted).To(BeFalse())
	})
})
