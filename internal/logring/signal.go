package logring

import (
	"os"
	"os/signal"
	"syscall"
)

// DumpOnPanic is to be deferred: if its goroutine panics, it dumps the ring and panics again
// with the same cause. A panic of another goroutine ends the process without a dump.
func DumpOnPanic(ring *Ring) {
	if cause := recover(); cause != nil {
		_ = ring.Dump()
		panic(cause)
	}
}

// DumpOnSignal dumps the ring on every SIGUSR1. The returned function stops this and ends the
// goroutine.
func DumpOnSignal(ring *Ring) func() {
	// By default the HTTP framework writes goroutine dumps and profiles to the temporary
	// folder on these signals.
	signal.Reset(syscall.SIGUSR1, syscall.SIGUSR2)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for range signals {
			_ = ring.Dump()
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}
