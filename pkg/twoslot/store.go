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
	// logBytes is the size of that log in bytes, and slotBytes that of the slot.
	logBytes  int
	slotBytes int
	// superseded is what the generation before still takes of the disk.
	superseded superseded
	// salvaged is what was read before a torn tail, until a generation without that tail
	// is durable; nil otherwise.
	salvaged *Contents
	// broken is set by a write that may or may not be durable; it ends all writing.
	broken error
}

// Append makes records durable after those before. They are read back all or none. On
// ErrDiskFull and ErrTooLarge nothing changed and the store can still be used; after
// other errors it must be opened again.
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
	if err := s.disk.Append(logName(s.name, s.generation), frame); err != nil {
		return s.writeError(err)
	}
	s.logBytes += len(frame)
	return nil
}

// Checkpoint makes payload durable in place of the payload and all records before. On
// ErrDiskFull and ErrTooLarge nothing changed and the store can still be used; after
// other errors it must be opened again, and may then contain either.
func (s *Store) Checkpoint(payload []byte) error {
	return s.advance(payload, nil)
}

// superseded is the size of the files of a generation that a newer one has replaced.
type superseded struct {
	// logStarted tells whether the log has the header of that generation, which proves
	// that no generation after the newer one was started.
	logStarted bool
	logBytes   int
	slotBytes  int
}

// LogBytes returns the size in bytes of the log after the newest checkpoint.
func (s *Store) LogBytes() int {
	return s.logBytes
}

// DiskBytes returns how much of the disk the files of the store take, in bytes.
func (s *Store) DiskBytes() int {
	return s.slotBytes + s.logBytes + s.superseded.slotBytes + s.superseded.logBytes
}

// advance writes the next generation into the slot of the one before the present, and
// starts its log.
func (s *Store) advance(payload []byte, records [][]byte) error {
	if s.broken != nil {
		return s.broken
	}
	if contentBytes(records) > maxFrameContent || len(payload) > math.MaxInt-maxFrameContent {
		return &Error{Kind: KindTooLarge, Name: s.name}
	}
	next := s.generation + 1
	slot := encodeSlot(next, payload, records)
	if err := s.disk.WriteFile(slotName(s.name, next), slot); err != nil {
		return s.writeError(err)
	}
	s.superseded = superseded{logStarted: s.logStarted, logBytes: s.logBytes, slotBytes: s.slotBytes}
	s.generation = next
	s.salvaged = nil
	s.logStarted = false
	s.logBytes = 0
	s.slotBytes = len(slot)
	// The slot is durable, which is what the caller needs: when only the log does not
	// fit, the next Append starts it or returns that the disk is full.
	return ignoreDiskFull(s.startLog(logHeader(next)))
}

// rewriteSalvaged writes what was read before a torn tail to a new generation.
func (s *Store) rewriteSalvaged() error {
	if s.salvaged == nil {
		return nil
	}
	return s.advance(s.salvaged.Payload, s.salvaged.Records)
}

// startLog writes the log of the present generation, from its header on, in place of the
// log two generations older, if there is one.
func (s *Store) startLog(content []byte) error {
	if err := s.disk.WriteFile(logName(s.name, s.generation), content); err != nil {
		return s.writeError(err)
	}
	s.logStarted = true
	s.logBytes = len(content)
	return s.reclaim()
}

// reclaim frees what the generation before takes of the disk, but for the header of its
// log. The present slot is durable and its log started, so that the former state is never
// read again; the header is left as the proof that no later generation was started
// (image.nextNeverStarted). Where it doesn't stand, the slot is that proof and stays. On a
// disk that refuses to free space the files stay until the next checkpoint.
func (s *Store) reclaim() error {
	if !s.logStarted || !s.superseded.logStarted {
		return nil
	}
	previousParity := s.generation + 1 // The files of the generation before have its parity.
	if s.superseded.logBytes > headerBytes {
		if err := s.disk.Truncate(logName(s.name, previousParity), headerBytes); err != nil {
			return ignoreDiskFull(s.writeError(err))
		}
		s.superseded.logBytes = headerBytes
	}
	if s.superseded.slotBytes > 0 {
		if err := s.disk.Truncate(slotName(s.name, previousParity), 0); err != nil {
			return ignoreDiskFull(s.writeError(err))
		}
		s.superseded.slotBytes = 0
	}
	return nil
}

// writeError returns the typed error of a write. It breaks the store unless the disk is
// full, as nobody knows then whether the write is durable.
func (s *Store) writeError(err error) error {
	if errors.Is(err, ErrDiskFull) {
		return &Error{Kind: KindDiskFull, Name: s.name, Cause: err}
	}
	s.broken = &Error{Kind: KindBroken, Name: s.name, Cause: err}
	return s.broken
}

// slotName returns the name of the slot file that a generation of a store is written
// to.
func slotName(store string, generation uint64) string {
	return store + ".slot" + strconv.FormatUint(generation%2, 10)
}

// logName returns the name of the log file of a generation of a store.
func logName(store string, generation uint64) string {
	return store + ".log" + strconv.FormatUint(generation%2, 10)
}
