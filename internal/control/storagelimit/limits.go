package storagelimit

import "math"

const (
	// commandsPerDisk and commandsPerMemory are how many times the largest command fits into
	// the disk of a machine, and into its memory without nodeMemoryBytes. While a checkpoint
	// is written, the disk contains the previous checkpoint, the log after it and the new
	// checkpoint. Memory contains the state as objects, as sections and as a snapshot, the
	// log, and frames for each member of the group.
	commandsPerDisk   = 10
	commandsPerMemory = 20
	// nodeMemoryBytes is the memory that a node takes without a configuration.
	nodeMemoryBytes = 64 << 20
	// checkpointLogsPerDisk is how many times the largest log after a checkpoint fits into
	// the disk, however large the checkpoint is. A log of that size leads to the next
	// checkpoint.
	checkpointLogsPerDisk = 5
	// maxCommandBytes leaves room for a snapshot in one frame between nodes.
	// minCommandBytes is enough for the configuration of a small deployment, and is allowed
	// on any machine.
	maxCommandBytes = 14<<20 + 512<<10
	minCommandBytes = 512 << 10
	// maxLogBytes bounds the applied log that is kept for members that lag behind.
	maxLogBytes = 4 << 20
)

// Resources contains the resources that a machine provides for control state, in bytes; 0 where
// a resource is not known.
type Resources struct {
	DiskBytes   int64
	MemoryBytes int64
}

// Limits are the bounds on control state and its log on a machine, in bytes.
type Limits struct {
	// Command is the size of the largest command of the replicated log. An order that needs
	// a larger command is refused before it enters the log.
	Command int
	// Log is the size of the applied commands that a shard keeps in memory before it
	// compacts its log, and also the size of the older commands that it keeps after that for
	// members that lag behind.
	Log int
	// CheckpointLog is the size of the log after a checkpoint on the disk at which the next
	// checkpoint is written.
	CheckpointLog int
	// Disk is the capacity of the disk; 0 if it is not known.
	Disk int64
}

// For returns the limits for a machine.
func For(machine Resources) Limits {
	command := min(part(machine.DiskBytes, commandsPerDisk), memoryForCommand(machine.MemoryBytes), maxCommandBytes)
	command = max(command, minCommandBytes)
	return Limits{
		Command:       int(command),
		Log:           int(min(command, maxLogBytes)),
		CheckpointLog: int(max(min(part(machine.DiskBytes, checkpointLogsPerDisk), math.MaxInt32), minCommandBytes)),
		Disk:          machine.DiskBytes,
	}
}

// memoryForCommand returns the largest command that the memory of a machine has room for.
func memoryForCommand(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return math.MaxInt64
	}
	return max(memoryBytes-nodeMemoryBytes, 0) / commandsPerMemory
}

// part divides the bytes of a resource by a number of parts. It returns math.MaxInt64, which
// is no bound, if the resource is not known.
func part(bytes int64, parts int64) int64 {
	if bytes <= 0 {
		return math.MaxInt64
	}
	return bytes / parts
}
