package twoslot

import (
	"errors"
	"fmt"
	"io/fs"

	pkgerrors "github.com/pkg/errors"
)

// fileState classifies a file by its own content, without regard to the other files.
type fileState uint8

const (
	fileAbsent fileState = iota + 1
	// fileIntact files have an intact header with a generation that belongs in the file;
	// slot files also have an intact body.
	fileIntact
	// fileUnreadable files are empty, torn by a crash, or damaged.
	fileUnreadable
)

// image contains the files of a store as they were read, indexed by the parity of their
// generations. It determines the newest durable generation.
type image struct {
	name  string
	slots [2]slotFile
	logs  [2]logFile
}

// slotFile is a slot file as it was read. The field slot is valid only if the file is intact.
type slotFile struct {
	state fileState
	slot  slot
	// bytes is the size of the file.
	bytes int
}

// logFile is a log file as it was read. The field generation is valid only if the file is
// intact.
type logFile struct {
	state      fileState
	generation uint64
	data       []byte
}

// readImage reads the files of a store.
func readImage(disk Disk, name string) (*image, error) {
	files := &image{name: name}
	for parity := range uint64(2) {
		data, present, err := readFile(disk, slotName(name, parity))
		if err != nil {
			return nil, err
		}
		files.slots[parity] = classifySlot(data, present, parity)
		data, present, err = readFile(disk, logName(name, parity))
		if err != nil {
			return nil, err
		}
		files.logs[parity] = classifyLog(data, present, parity)
	}
	return files, nil
}

// readFile returns the content of a file, and whether the file exists.
func readFile(disk Disk, name string) (data []byte, present bool, err error) {
	data, err = disk.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, pkgerrors.Wrapf(err, "twoslot: cannot read %s; check the disk and the permissions of the data folder", name)
	}
	return data, true, nil
}

// classifySlot parses a slot file. It rejects generation 0, which has no slot.
func classifySlot(data []byte, present bool, parity uint64) slotFile {
	if !present {
		return slotFile{state: fileAbsent}
	}
	parsed, ok := parseSlot(data)
	if !ok || parsed.generation%2 != parity || parsed.generation == 0 {
		return slotFile{state: fileUnreadable, bytes: len(data)}
	}
	return slotFile{state: fileIntact, slot: parsed, bytes: len(data)}
}

// classifyLog parses the header of a log file. image.records parses the frames once the
// newest generation is known.
func classifyLog(data []byte, present bool, parity uint64) logFile {
	if !present {
		return logFile{state: fileAbsent}
	}
	generation, _, ok := readHeader(data, logMagic)
	if !ok || generation%2 != parity {
		// The data may be a header that a crash tore, for which checkNeverStarted examines
		// it.
		return logFile{state: fileUnreadable, data: data}
	}
	return logFile{state: fileIntact, generation: generation, data: data}
}

// newest returns the slot of the newest durable generation, or an error that matches
// ErrCorrupt. Before the first checkpoint it returns an empty slot of generation 0.
func (f *image) newest() (slot, error) {
	var newest slot
	for _, candidate := range f.slots {
		if candidate.state == fileIntact && candidate.slot.generation > newest.generation {
			newest = candidate.slot
		}
	}
	if newest.generation == 0 && !f.neverCheckpointed() {
		return slot{}, f.corrupt("no slot file can be read, and the files are not those of a store without a checkpoint")
	}
	if !f.nextNeverStarted(newest.generation) {
		return slot{}, f.corrupt(fmt.Sprintf("the slot of the generation after %d was durable and cannot be read", newest.generation))
	}
	return newest, nil
}

// neverCheckpointed reports whether the files are those of a store without a checkpoint. In
// a new store, the log of generation 0 is written first, then the empty log 1.
func (f *image) neverCheckpointed() bool {
	first, second := f.logs[0], f.logs[1]
	if f.slots[0].state != fileAbsent || len(second.data) > 0 {
		return false
	}
	if first.state == fileIntact {
		return first.generation == 0
	}
	return f.slots[1].state == fileAbsent && second.state == fileAbsent && tornStart(first.data, logHeader(0))
}

// nextNeverStarted reports whether the slot or the log of the previous generation is still
// intact. Either proves that no generation after the given one was started, since a new
// generation replaces both: first the slot, then, once the new slot is durable, the log.
// It is always true for generation 0, which newest checks with neverCheckpointed.
func (f *image) nextNeverStarted(generation uint64) bool {
	if generation == 0 {
		return true
	}
	other := f.slots[(generation+1)%2]
	if other.state == fileIntact {
		return true
	}
	previous := f.logs[(generation+1)%2]
	return previous.state == fileIntact && previous.generation == generation-1
}

// superseded describes the files of the generation before the given one. A slot file there
// that is unreadable and not empty was left by a crash during the next checkpoint.
func (f *image) superseded(generation uint64) superseded {
	if generation == 0 {
		return superseded{}
	}
	log := f.logs[(generation+1)%2]
	return superseded{
		logStarted: log.state == fileIntact && log.generation == generation-1,
		logBytes:   len(log.data),
		slotBytes:  f.slots[(generation+1)%2].bytes,
	}
}

// logEndKind describes how the log of the newest generation ends.
type logEndKind uint8

const (
	logClean logEndKind = iota + 1
	logTorn
	// logNotStarted logs were never started, so no record was appended in their
	// generation.
	logNotStarted
)

// records returns the records in the log of a generation whose slot is durable, and how the
// log ends.
func (f *image) records(generation uint64) ([][]byte, logEndKind, error) {
	log := f.logs[generation%2]
	if log.state != fileIntact {
		return nil, logNotStarted, f.checkNeverStarted(generation, log)
	}
	if log.generation != generation {
		return nil, logNotStarted, nil
	}
	records, _, end := parseFrames(log.data[headerBytes:], generation)
	switch end {
	case endClean:
		return records, logClean, nil
	case endTorn:
		return records, logTorn, nil
	default:
		return nil, 0, f.corrupt(fmt.Sprintf("log of generation %d is damaged after %d intact records", generation, len(records)))
	}
}

// checkNeverStarted returns an error unless the file shows that the log was never started.
// A log that was started and cannot be read may have contained acknowledged records.
func (f *image) checkNeverStarted(generation uint64, log logFile) error {
	if log.state == fileAbsent && generation > 0 {
		return f.corrupt(fmt.Sprintf("log file of generation %d is missing", generation))
	}
	if !tornStart(log.data, logHeader(generation)) {
		return f.corrupt(fmt.Sprintf("log of generation %d has an unreadable header", generation))
	}
	return nil
}

func (f *image) corrupt(detail string) error {
	return &Error{Kind: KindCorrupt, Name: f.name, Detail: detail}
}
