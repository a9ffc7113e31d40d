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
	// logStarted reports whether the log of that generation has its header.
	logStarted bool
	// logBytes and slotBytes are the sizes in bytes of the log and the slot of that
	// generation.
	logBytes  int
	slotBytes int
	// superseded describes the files of the previous generation.
	superseded superseded
	// salvaged is the content of a store whose log has a torn tail, until a new generation
	// with that content is durable; nil otherwise.
	salvaged *Contents
	// broken is the error of a failed write that may or may not be durable. Once it is set,
	// all writes return it.
	broken error
}

// Append appends records, which are durable when it returns nil. After a crash they are
// read back all or none. On ErrDiskFull and ErrTooLarge nothing changed and the store can
// still be used; after other errors it must be opened again.
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

// Checkpoint replaces the previous payload and all records by payload, which is durable
// when Checkpoint returns nil. On ErrDiskFull and ErrTooLarge nothing changed and the store
// can still be used; after other errors it must be opened again, and may then contain
// either the previous or the new content.
func (s *Store) Checkpoint(payload []byte) error {
	return s.advance(payload, nil)
}

// superseded describes the files of a generation that a newer one has replaced.
type superseded struct {
	// logStarted reports whether the log has the header of that generation, which proves
	// that no generation after the newer one was started.
	logStarted bool
	logBytes   int
	slotBytes  int
}

// LogBytes returns the size in bytes of the log after the newest checkpoint.
func (s *Store) LogBytes() int {
	return s.logBytes
}

// DiskBytes returns the total size in bytes of the files of the store.
func (s *Store) DiskBytes() int {
	return s.slotBytes + s.logBytes + s.superseded.slotBytes + s.superseded.logBytes
}

// advance writes the next generation into the slot of the previous one, and starts its
// log.
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
	// The slot is durable, and with it the payload and the records. If only the log does
	// not fit on the disk, the next Append starts the log or returns ErrDiskFull.
	return ignoreDiskFull(s.startLog(logHeader(next)))
}

// rewriteSalvaged writes the salvaged content, if there is any, to a new generation, which
// has no torn tail.
func (s *Store) rewriteSalvaged() error {
	if s.salvaged == nil {
		return nil
	}
	return s.advance(s.salvaged.Payload, s.salvaged.Records)
}

// startLog writes the log of the current generation; content begins with its header. It
// replaces the log two generations older, if there is one.
func (s *Store) startLog(content []byte) error {
	if err := s.disk.WriteFile(logName(s.name, s.generation), content); err != nil {
		return s.writeError(err)
	}
	s.logStarted = true
	s.logBytes = len(content)
	return s.reclaim()
}

// reclaim frees the disk space of the previous generation, except for the header of its log.
// Once the current slot is durable and its log started, the previous state is never read
// again. The header remains as the proof that no later generation was started
// (image.nextNeverStarted); if the log has no such header, the slot is that proof and both
// files remain. If the disk is too full to truncate files, they remain until the next
// checkpoint or Open.
func (s *Store) reclaim() error {
	if !s.logStarted || !s.superseded.logStarted {
		return nil
	}
	previousParity := s.generation + 1 // It has the parity, and so the files, of the previous generation.
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

// writeError returns the error of a write as an *Error. Unless the disk is full, it marks the
// store as broken, because it is unknown whether the write is durable.
func (s *Store) writeError(err error) error {
	if errors.Is(err, ErrDiskFull) {
		return &Error{Kind: KindDiskFull, Name: s.name, Cause: err}
	}
	s.broken = &Error{Kind: KindBroken, Name: s.name, Cause: err}
	return s.broken
}

// slotName returns the name of the slot file of a generation of a store.
func slotName(store string, generation uint64) string {
	return store + ".slot" + strconv.FormatUint(generation%2, 10)
}

// logName returns the name of the log file of a generation of a store.
func logName(store string, generation uint64) string {
	return store + ".log" + strconv.FormatUint(generation%2, 10)
}
