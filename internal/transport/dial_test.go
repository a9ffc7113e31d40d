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

	It("are short until the peer has been silent for a while, and a refusal is no silence", func() {
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

	It("pause longer after each failure, up to a bound", func() {
		options := Options{MinBackoff: 20 * time.Millisecond, MaxBackoff: 50 * time.Millisecond}.withDefaults()
		attempts := newDialAttempts(&options)
		Expect([]time.Duration{attempts.failed(timeoutErr), attempts.failed(nil), attempts.failed(refusedErr)}).
			To(Equal([]time.Duration{20 * time.Millisecond, 40 * time.Millisecond, 50 * time.Millisecond}))
	})

	It("reach a peer that was silent at first long before the kernel would try again", func() {
		var mutex sync.Mutex
		var timeouts []time.Duration
		second := start(secondHost, Options{})
		// The last attempt is a real one, which the time-out bounds as well.
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

	It("do not take longer at first than they may", func() {
		Expect(Options{DialTimeout: 100 * time.Millisecond}.withDefaults().FirstDialTimeout).To(Equal(100 * time.Millisecond))
	})
})
