package inbound

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// memoryDivisor and connectionMemoryDivisor are the parts of a machine's memory that heads
	// and bodies, and connections, may take.
	memoryDivisor           = 5
	connectionMemoryDivisor = 10
	// connectionBytes is what an open connection takes beside its request: its buffers, its
	// goroutine and the server's state.
	connectionBytes = 16 << 10
	// descriptorDivisor and backendDescriptorDivisor are the parts of the descriptors that
	// clients, and the back ends of their requests, may take. The others are for other nodes and
	// files.
	descriptorDivisor        = 2
	backendDescriptorDivisor = 6
	// minConnections keeps the smallest machine reachable.
	minConnections = 16
)

// Machine is what a process may use.
type Machine struct {
	// MemoryBytes is the memory; 0 means that of the computer.
	MemoryBytes int64
	// Descriptors is the number of open files; 0 means the limit of the process.
	Descriptors int
}

// Limits bound what the clients of a process may make it hold.
type Limits struct {
	// Bytes bounds the charges for heads, bodies, what is built of them, and responses.
	Bytes int64
	// Connections bounds the connections of all ports.
	Connections int
	// BackendConnections bounds the requests of clients that are at back ends, each of which has
	// a connection; 0 means no limit.
	BackendConnections int
}

// LimitsOf returns the limits for a machine.
func LimitsOf(machine Machine) Limits {
	memory, descriptors := machine.MemoryBytes, machine.Descriptors
	if memory <= 0 {
		memory = computerMemory()
	}
	if descriptors <= 0 {
		descriptors = openFileLimit()
	}
	connections := min(int64(descriptors/descriptorDivisor), memory/connectionMemoryDivisor/connectionBytes)
	return Limits{
		Bytes:              memory / memoryDivisor,
		Connections:        int(max(connections, minConnections)),
		BackendConnections: max(descriptors/backendDescriptorDivisor, minConnections),
	}
}

// computerMemory returns the memory of the computer in bytes, or the largest number if it is not
// known.
func computerMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return math.MaxInt64
	}
	return int64(info.Totalram * uint64(info.Unit))
}

// openFileLimit returns how many files the process may open, or the largest number if it is not
// known.
func openFileLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
