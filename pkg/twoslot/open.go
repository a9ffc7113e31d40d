package twoslot

import (
	"errors"
	"fmt"
	"io/fs"

	pkgerrors "github.com/pkg/errors"
)

// Contents is what a store held when it was opened.
type Contents struct {
	// Payload is that of the newest checkpoint, nil if there was none.
	Payload []byte
	// Records were appended behind it, oldest first.
	Records [][]byte
}

// fileState tells what a file holds, as far as that can be told without the
// others.
type fileState uint8

const (
	fileAbsent fileState = iota + 1
	fileIntact
	// fileUnreadable files were cut short by a crash, or damaged.
	fileUnreadable
)

// image is the files of a store, by the parity of their generations.
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

// Open reads the store of that name, or starts an empty one. Damage to what
// was acknowledged is an error that matches ErrCorrupt.
func Open(disk Disk, name string) (*Store, Contents, error) {
	files, err := load(disk, name)
	if err != nil {
		return nil, Contents{}, err
	}
	newest, err := files.newest()
	if err != nil {
		return nil, Contents{}, err
	}
	records, logEnd, err := files.records(newest.generation)
	if err != nil {
		return nil, Contents{}, err
	}
	contents := Contents{Payload: newest.payload, Records: append(newest.records, records...)}
	store := &Store{
		disk:       disk,
		name:       name,
		generation: newest.generation,
		logStarted: logEnd != logMissing,
		logBytes:   len(files.logs[newest.generation%2].data),
	}
	if err := store.createLogs(files); err != nil {
		return nil, Contents{}, err
	}
	if err := store.repairTail(contents, logEnd); err != nil {
		return nil, Contents{}, err
	}
	return store, contents, nil
}

// createLogs makes sure that both logs exist before anything is acknowledged, so
// that one which is missing later was lost.
func (s *Store) createLogs(files *image) error {
	if s.generation > 0 {
		return nil
	}
	if !s.logStarted {
		if err := s.startLog(logHeader(s.generation)); err != nil {
			return err
		}
	}
	next := s.generation + 1
	if files.logs[next].state != fileAbsent {
		return nil
	}
	if err := s.disk.WriteFile(s.logName(next), nil); err != nil {
		return s.writeError(err)
	}
	return nil
}

// repairTail brings the files into a state that can be appended to, or leaves that
// to the next Append while the disk is full.
func (s *Store) repairTail(contents Contents, logEnd logEndKind) error {
	switch {
	case !s.logStarted:
		s.logBytes = 0
		return ignoreDiskFull(s.startLog(logHeader(s.generation)))
	case logEnd == logTorn:
		// The torn tail must not stand between records. Rewriting the log in
		// place could lose it in the next crash; a new generation cannot.
		s.salvaged = &contents
		return ignoreDiskFull(s.rewriteSalvaged())
	default:
		return nil
	}
}

// ignoreDiskFull drops the error of a write that can be done later.
func ignoreDiskFull(err error) error {
	if errors.Is(err, ErrDiskFull) {
		return nil
	}
	return err
}

func load(disk Disk, name string) (*image, error) {
	files := &image{name: name}
	names := &Store{name: name}
	for parity := range uint64(2) {
		data, state, err := read(disk, names.slotName(parity))
		if err != nil {
			return nil, err
		}
		files.slots[parity] = classifySlot(data, state, parity)
		data, state, err = read(disk, names.logName(parity))
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

// newest returns the slot of the newest generation that was durable. It is
// the empty slot of generation 0 before the first checkpoint.
func (f *image) newest() (slot, error) {
	newest := f.newestIntact()
	if newest.generation == 0 && !f.startsEmpty() {
		return slot{}, f.corrupt("no slot is readable")
	}
	if !f.nextNeverStarted(newest.generation) {
		return slot{}, f.corrupt(fmt.Sprintf("the slot behind generation %d was durable and is not readable", newest.generation))
	}
	return newest, nil
}

func (f *image) newestIntact() slot {
	var newest slot
	for _, candidate := range f.slots {
		if candidate.state == fileIntact && candidate.slot.generation > newest.generation {
			newest = candidate.slot
		}
	}
	return newest
}

// startsEmpty tells whether the files are those of a store without checkpoint.
// The log of generation 0 is written first, then the empty log 1.
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

// nextNeverStarted tells whether the other slot or log proves that no later
// generation was ever durable, as either still holds the generation before.
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
	// logMissing logs were not started when the crash came.
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

// checkMissing makes sure that the log was never started: one that was, and
// cannot be read, may have held acknowledged records.
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
