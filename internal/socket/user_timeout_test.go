package socket_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/ridgeswitch/ridgeswitch/internal/socket"
)

func TestSocket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "socket")
}

var _ = Describe("A dialer with UserTimeout", func() {
	It("sets TCP_USER_TIMEOUT on its connections", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		dialer := &net.Dialer{Control: socket.UserTimeout(1500 * time.Millisecond)}
		connection, err := dialer.DialContext(GinkgoT().Context(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(connection.Close)
		raw, err := connection.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		var milliseconds int
		var optionErr error
		Expect(raw.Control(func(descriptor uintptr) {
			milliseconds, optionErr = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})).To(Succeed())
		Expect(optionErr).NotTo(HaveOccurred())
		Expect(milliseconds).To(Equal(1500))
	})
})
