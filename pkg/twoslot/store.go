package twoslot

import (
	"errors"
	"math"
	"strconv"
)

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	disk       Disk
	name       string
	generation uint64
	// logStarted tells whether the log of the generation has its header.
	logStarted bool
	logBytes   int
	// salvaged is what was read in front of a torn tail, until a generation
	// without that tail is durable.
	salvaged *Contents
	// broken is set by a write of which nobody knows how it ended.
	broken error
}

// Append makes records durable behind those before. They are read back all or
// none. On ErrDiskFull and ErrTooLarge nothing changed and the store can be
// used on; after other errors it must be opened again.
func (s *Store) Append(records ...[]byte) error {
	if s.broken != nil {
		return s.broken
	}
	if len(records) == 0 {
		return nil
	}
	if contentBytes(records) > maxFrameContent {
		return &Error{Kind: KindTooLarge, Name: s.name}
	}
	if err := s.rewriteSalvaged(); err != nil {
		return err
	}
	if !s.logStarted {
		return s.startLog(appendFrame(logHeader(s.generation), s.generation, records))
	}
	frame := appendFrame(nil, s.generation, records)
	if err := s.disk.Append(s.logName(s.generation), frame); err != nil {
		return s.writeError(err)
	}
	s.logBytes += len(frame)
	return nil
}

// Checkpoint makes payload durable in place of the payload and all records
// before. On ErrDiskFull and ErrTooLarge nothing changed and the store can be
// used on; after other errors it must be opened again, and may then hold
// either.
func (s *Store) Checkpoint(payload []byte) error {
	return s.advance(payload, nil)
}

// LogBytes returns the size of the log behind the newest checkpoint.
func (s *Store) LogBytes() int {
	return s.logBytes
}

// advance writes the next generation into the slot of the one before the
// present, and starts its log.
func (s *Store) advance(payload []byte, records [][]byte) error {
	if s.broken != nil {
		return s.broken
	}
	if contentBytes(records) > maxFrameContent || len(payload) > math.MaxInt-maxFrameContent {
		return &Error{Kind: KindTooLarge, Name: s.name}
	}
	next := s.generation + 1
	if err := s.disk.WriteFile(s.slotName(next), encodeSlot(next, payload, records)); err != nil {
		return s.writeError(err)
	}
	s.generation = next
	s.salvaged = nil
	s.logStarted = false
	s.logBytes = 0
	// The slot is durable, which is what was asked for: when only the log
	// does not fit, the next Append starts it or answers that the disk is
	// full.
	return ignoreDiskFull(s.startLog(logHeader(next)))
}

// rewriteSalvaged writes what stands in front of a torn tail to a new generation.
func (s *Store) rewriteSalvaged() error {
	if s.salvaged == nil {
		return nil
	}
	return s.advance(s.salvaged.Payload, s.salvaged.Records)
}

// startLog replaces the log of the generation before the last.
func (s *Store) startLog(content []byte) error {
	if err := s.disk.WriteFile(s.logName(s.generation), content); err != nil {
		return s.writeError(err)
	}
	s.logStarted = true
	s.logBytes = len(content)
	return nil
}

// writeError types the error of a write.
func (s *Store) writeError(err error) error {
	if errors.Is(err, ErrDiskFull) {
		return &Error{Kind: KindDiskFull, Name: s.name, Cause: err}
	}
	s.broken = &Error{Kind: KindBroken, Name: s.name, Cause: err}
	return s.broken
}

func (s *Store) slotName(generation uint64) string {
	return s.name + ".slot" + strconv.FormatUint(generation%2, 10)
}

func (s *Store) logName(generation uint64) string {
	return s.name + ".log" + strconv.FormatUint(generation%2, 10)
}
