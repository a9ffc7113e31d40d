// Package twoslot keeps a payload durable on a disk that may crash at any moment.
//
// A store has two slots, written in turn, and a log for each of them:
//
//	generation 0          no slot     log 0
//	generation 1, 3, ...  slot 1      log 1
//	generation 2, 4, ...  slot 0      log 0
//
// A checkpoint writes the next generation's payload into the slot that does not
// contain the present one, then starts that generation's log. The present slot and
// log stay intact until the next slot is durable and its log started, so a crash at any
// byte leaves one generation intact. Then they are truncated to the header of the log: the
// files hold one generation, and two only while a checkpoint is written.
//
// The log of a generation is started, with a header, only after its slot is durable. (The
// file of log 1 exists from the start, but empty, which proves nothing.) A started log
// whose slot cannot be read therefore proves that a durable slot was damaged, and
// distinguishes that from a checkpoint that a crash interrupted: the former is an error,
// the latter an older generation with its complete log.
//
// Appended records are framed with checksums over the generation. A frame that a crash
// interrupted (its end is missing, or is zeros where the disk had extended the file)
// was never acknowledged and is dropped; any other difference is damage, and an error
// rather than older state.
//
// # Parts
//
// Open reads all files into an image, which tells the newest durable generation and the
// records of its log, or that acknowledged data is damaged. Store then owns the files of
// its name: it appends and checkpoints. format.go states the bytes, parse.go reads them.
//
// A Store is not safe for concurrent use, and calls its Disk from the goroutine of the
// caller.
package twoslot
