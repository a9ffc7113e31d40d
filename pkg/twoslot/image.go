package twoslot

import (
	"errors"
	"fmt"
	"io/fs"

	pkgerrors "github.com/pkg/errors"
)

// fileState tells what a file contains, as far as the file alone shows.
type fileState uint8

const (
	fileAbsent fileState = iota + 1
	fileIntact
	// fileUnreadable files were truncated by a crash, or damaged.
	fileUnreadable
)

// image is the files of a store as they were read, by the parity of their generations.
// It tells which generation is the newest that was durable.
type image struct {
	name  string
	slots [2]slotFile
	logs  [2]logFile
}

type slotFile struct {
	state fileState
	slot  slot
}

type logFile struct {
	state      fileState
	generation uint64
	data       []byte
}

func load(disk Disk, name string) (*image, error) {
	files := &image{name: name}
	for parity := range uint64(2) {
		data, state, err := read(disk, slotName(name, parity))
		if err != nil {
			return nil, err
		}
		files.slots[parity] = classifySlot(data, state, parity)
		data, state, err = read(disk, logName(name, parity))
		if err != nil {
			return nil, err
		}
		files.logs[parity] = classifyLog(data, state, parity)
	}
	return files, nil
}

func read(disk Disk, name string) ([]byte, fileState, error) {
	data, err := disk.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fileAbsent, nil
	}
	if err != nil {
		return nil, 0, pkgerrors.Wrapf(err, "twoslot: cannot read %s; check the disk and the rights of the data folder", name)
	}
	return data, fileUnreadable, nil
}

func classifySlot(data []byte, state fileState, parity uint64) slotFile {
	parsed, ok := parseSlot(data)
	if state == fileAbsent || !ok || parsed.generation%2 != parity || parsed.generation == 0 {
		return slotFile{state: state}
	}
	return slotFile{state: fileIntact, slot: parsed}
}

func classifyLog(data []byte, state fileState, parity uint64) logFile {
	generation, _, ok := readHeader(data, logMagic)
	if state == fileAbsent || !ok || generation%2 != parity {
		return logFile{state: state, data: data}
	}
	return logFile{state: fileIntact, generation: generation, data: data}
}

// newest returns the slot of the newest generation that was durable. It is the empty
// slot of generation 0 before the first checkpoint.
func (f *image) newest() (slot, error) {
	var newest slot
	for _, candidate := range f.slots {
		if candidate.state == fileIntact && candidate.slot.generation > newest.generation {
			newest = candidate.slot
		}
	}
	if newest.generation == 0 && !f.startsEmpty() {
		return slot{}, f.corrupt("no slot is readable")
	}
	if !f.nextNeverStarted(newest.generation) {
		return slot{}, f.corrupt(fmt.Sprintf("the slot behind generation %d was durable and is not readable", newest.generation))
	}
	return newest, nil
}

// startsEmpty tells whether the files are those of a store without a checkpoint. The
// log of generation 0 is written first, then the empty log 1.
func (f *image) startsEmpty() bool {
	first, second := f.logs[0], f.logs[1]
	if f.slots[0].state != fileAbsent || len(second.data) > 0 {
		return false
	}
	if first.state == fileIntact {
		return first.generation == 0
	}
	return f.slots[1].state == fileAbsent && second.state == fileAbsent && tornStart(first.data, logHeader(0))
}

// nextNeverStarted tells whether the other slot or log proves that no later generation
// was ever durable, as either is still that of the generation before.
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

// logEndKind tells what a crash left of the log of the newest generation.
type logEndKind uint8

const (
	logClean logEndKind = iota + 1
	logTorn
	// logMissing logs had not been started at the crash.
	logMissing
)

// records reads the log of a generation whose slot is durable.
func (f *image) records(generation uint64) ([][]byte, logEndKind, error) {
	log := f.logs[generation%2]
	if log.state != fileIntact {
		return nil, logMissing, f.checkMissing(generation, log)
	}
	if log.generation != generation {
		return nil, logMissing, nil
	}
	records, _, end := parseFrames(log.data[headerBytes:], generation)
	switch end {
	case endClean:
		return records, logClean, nil
	case endTorn:
		return records, logTorn, nil
	default:
		return nil, 0, f.corrupt(fmt.Sprintf("log of generation %d is damaged behind %d records", generation, len(records)))
	}
}

// checkMissing makes sure that the log was never started: one that was, and can't be
// read, may have contained acknowledged records.
func (f *image) checkMissing(generation uint64, log logFile) error {
	if log.state == fileAbsent && generation > 0 {
		return f.corrupt(fmt.Sprintf("log of generation %d has vanished", generation))
	}
	if !tornStart(log.data, logHeader(generation)) {
		return f.corrupt(fmt.Sprintf("log of generation %d has an unreadable start", generation))
	}
	return nil
}

func (f *image) corrupt(detail string) error {
	return &Error{Kind: KindCorrupt, Name: f.name, Detail: detail}
}
