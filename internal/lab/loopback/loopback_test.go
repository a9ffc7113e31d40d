package loopback

import (
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoopback(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loopback suite")
}

var _ = Describe("Allotted ports", func() {
	It("differ, and lie between FirstPort and LastPort", func() {
		allotted := make(map[int]bool)
		for range 500 {
			port, err := Port()
			Expect(err).NotTo(HaveOccurred())
			Expect(port).To(And(BeNumerically(">=", FirstPort), BeNumerically("<=", LastPort)))
			Expect(allotted).NotTo(HaveKey(port))
			allotted[port] = true
		}
	})

	It("are not in use at any address of the machine", func() {
		first, err := NewAllotter(1).Port()
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9), Port: first})
		Expect(err).NotTo(HaveOccurred())
		defer func() { Expect(listener.Close()).To(Succeed()) }()
		Expect(NewAllotter(1).Port()).NotTo(Equal(first))
	})

	It("run out with a typed error", func() {
		allotter := NewAllotter(1)
		allotter.remaining = 0
		_, err := allotter.Port()
		Expect(err).To(MatchError(ErrNoPort))
	})

	It("are returned as addresses", func() {
		address, err := Address("127.0.0.9")
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
	})
})
