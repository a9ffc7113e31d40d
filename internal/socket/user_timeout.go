// Package socket sets options of TCP sockets that package net does not offer. It keeps no
// state and may be used concurrently.
package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a Control function for a net.Dialer. Connections of this dialer fail
// when sent bytes are not acknowledged by the other machine within the limit
// (TCP_USER_TIMEOUT, RFC 5482). Without this option, the loss of the other machine is
// noticed only when the kernel stops retransmitting after many minutes; until then, writes
// succeed.
func UserTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
