package transport

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Attempts to connect", func() {
	timeoutErr := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	refusedErr := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

	It("have the short time-out until their time-outs add up to DialTimeout, and a refused connection does not count", func() {
		options := Options{FirstDialTimeout: 400 * time.Millisecond, DialTimeout: time.Second}.withDefaults()
		attempts := newDialAttempts(&options)
		timeouts := []time.Duration{attempts.timeout}
		for _, err := range []error{timeoutErr, refusedErr, timeoutErr, timeoutErr, timeoutErr} {
			attempts.failed(err)
			timeouts = append(timeouts, attempts.timeout)
		}
		const short, long = 400 * time.Millisecond, time.Second
		Expect(timeouts).To(Equal([]time.Duration{short, short, short, short, long, long}))
		attempts.succeeded()
		attempts.failed(timeoutErr)
		Expect(attempts.timeout).To(Equal(short))
	})

	It("are followed by a backoff that doubles after each failure, up to MaxBackoff", func() {
		options := Options{MinBackoff: 20 * time.Millisecond, MaxBackoff: 50 * time.Millisecond}.withDefaults()
		attempts := newDialAttempts(&options)
		Expect([]time.Duration{attempts.failed(timeoutErr), attempts.failed(nil), attempts.failed(refusedErr)}).
			To(Equal([]time.Duration{20 * time.Millisecond, 40 * time.Millisecond, 50 * time.Millisecond}))
	})

	It("reach a peer after several attempts timed out, and pass their time-outs to the dialer", func() {
		var mutex sync.Mutex
		var timeouts []time.Duration
		second := start(secondHost, Options{})
		// Only the fourth attempt dials; testTimeout bounds it in place of its time-out.
		const short, long = time.Second, 2 * time.Second
		first := start(firstHost, Options{FirstDialTimeout: short, DialTimeout: long})
		real := first.dial
		first.dial = func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
			mutex.Lock()
			defer mutex.Unlock()
			timeouts = append(timeouts, timeout)
			if len(timeouts) <= 3 {
				return nil, timeoutErr
			}
			return real(ctx, address, testTimeout)
		}
		first.Send(second.Address(), []byte("news"))
		Expect(second.next()).To(Equal([]byte("news")))
		mutex.Lock()
		defer mutex.Unlock()
		Expect(timeouts).To(Equal([]time.Duration{short, short, long, long}))
	})

	It("have a first time-out no longer than DialTimeout", func() {
		Expect(Options{DialTimeout: 100 * time.Millisecond}.withDefaults().FirstDialTimeout).To(Equal(100 * time.Millisecond))
	})
})
