// Package twoslot stores a payload, and the records appended after it, on a disk that may
// crash at any moment.
//
// A store has two slots, written alternately, and a log for each of them:
//
//	generation 0          no slot     log 0
//	generation 1, 3, ...  slot 1      log 1
//	generation 2, 4, ...  slot 0      log 0
//
// A checkpoint writes the next generation's payload into the slot that does not
// contain the current one, then starts that generation's log. The current slot and log
// stay intact until the next slot is durable and its log started, so a crash at any byte
// leaves one generation intact. Then the older slot is truncated to zero bytes and the older
// log to its header: the files contain one generation, and two only while a checkpoint is
// written.
//
// The log of a generation is started, by writing its header, only after its slot is
// durable. (The file of log 1 is created empty with the store; an empty log is not a started
// one.) If a log was started and its slot cannot be read, a durable slot was therefore
// damaged, and Open returns an error. If the log was not started, a crash interrupted the
// checkpoint, and Open returns the older generation with its complete log.
//
// Appended records are framed with checksums that cover the generation. A frame that a
// crash interrupted (its end is missing, or is zeros where the disk had extended the file)
// was never acknowledged, and Open drops it. Any other difference is damage, for which Open
// returns an error rather than older state.
//
// # Parts
//
// Open reads all files into an image, which determines the newest durable generation and
// the records of its log, or detects that acknowledged data is damaged. A Store then owns
// the files of its name, appends records and writes checkpoints. format.go defines and
// writes the file formats, parse.go reads them.
//
// A Store is not safe for concurrent use, and calls its Disk from the goroutine of the
// caller.
package twoslot
