// Package socket sets options of TCP sockets that package net does not offer. It keeps no
// state and may be used concurrently.
package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer's Control function for connections that fail when sent
// bytes stay without the other machine's acknowledgement for the limit (TCP_USER_TIMEOUT,
// RFC 5482). Without it, bytes sent to a machine that vanished count as written until the
// kernel gives up after many minutes.
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
