package storagelimit

import "math"

const (
	// diskPerCommand and memoryPerCommand are how many times the largest command fits the
	// disk of a machine, and its memory beyond what a node takes without configuration.
	// While a checkpoint is written the disk holds the former one, its log and the new one.
	// Memory holds the state as objects, in sections and as a snapshot, the log, and frames
	// for each member of the group.
	diskPerCommand   = 10
	memoryPerCommand = 20
	nodeMemoryBytes  = 64 << 20
	// diskPerLog is the share of the disk that the log behind a checkpoint may take before
	// the next checkpoint, whatever it holds.
	diskPerLog = 5
	// maxCommandBytes leaves room for a snapshot in one frame between nodes, and
	// minCommandBytes takes the configuration of a small deployment on any machine.
	maxCommandBytes = 14<<20 + 512<<10
	minCommandBytes = 512 << 10
	// maxLogBytes bounds the applied log that is kept for members that lag behind.
	maxLogBytes = 4 << 20
)

// Machine is what a machine gives to control, in bytes; 0 where it is not known.
type Machine struct {
	DiskBytes   int64
	MemoryBytes int64
}

// Limits bound control state and its log on a machine, in bytes.
type Limits struct {
	// Command is the largest command of the replicated log. An order that takes more is
	// refused before it enters the log.
	Command int
	// Log is how many bytes of applied commands a shard keeps in memory before it compacts
	// its log, and again how many it keeps beyond that for members that lag behind.
	Log int
	// CheckpointLog bounds the log behind a checkpoint on the disk: one that has become
	// larger leads to the next checkpoint.
	CheckpointLog int
	// Disk is the capacity of the disk; 0 where it is not known.
	Disk int64
}

// For returns the limits that follow from a machine.
func For(machine Machine) Limits {
	command := min(part(machine.DiskBytes, diskPerCommand), memoryForCommand(machine.MemoryBytes), maxCommandBytes)
	command = max(command, minCommandBytes)
	return Limits{
		Command:       int(command),
		Log:           int(min(command, maxLogBytes)),
		CheckpointLog: int(max(min(part(machine.DiskBytes, diskPerLog), math.MaxInt32), minCommandBytes)),
		Disk:          machine.DiskBytes,
	}
}

// memoryForCommand returns the largest command that the memory of a machine has room for.
func memoryForCommand(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return math.MaxInt64
	}
	return max(memoryBytes-nodeMemoryBytes, 0) / memoryPerCommand
}

// part returns a share of what a machine gives, or no bound where that is not known.
func part(bytes int64, parts int64) int64 {
	if bytes <= 0 {
		return math.MaxInt64
	}
	return bytes / parts
}
