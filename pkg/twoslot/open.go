package twoslot

import "errors"

// Contents is what a store contained when it was opened.
type Contents struct {
	// Payload is that of the newest checkpoint, nil if there was none.
	Payload []byte
	// Records were appended after it, oldest first.
	Records [][]byte
}

// Open reads the store of that name, or starts an empty one. Damage to what was
// acknowledged is an error that matches ErrCorrupt.
func Open(disk Disk, name string) (*Store, Contents, error) {
	files, err := readImage(disk, name)
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
		logStarted: logEnd != logNotStarted,
		logBytes:   len(files.logs[newest.generation%2].data),
		slotBytes:  files.slots[newest.generation%2].bytes,
		superseded: files.superseded(newest.generation),
	}
	if err := store.createLogs(files); err != nil {
		return nil, Contents{}, err
	}
	if err := store.repairTail(contents, logEnd); err != nil {
		return nil, Contents{}, err
	}
	return store, contents, nil
}

// createLogs makes sure that both logs of a store without a checkpoint exist before
// anything is acknowledged, so that one that is missing later was lost.
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
	if err := s.disk.WriteFile(logName(s.name, next), nil); err != nil {
		return s.writeError(err)
	}
	return nil
}

// repairTail brings the files into a state that can be appended to, or leaves that to
// the next Append while the disk is full.
func (s *Store) repairTail(contents Contents, logEnd logEndKind) error {
	switch {
	case !s.logStarted:
		s.logBytes = 0
		return ignoreDiskFull(s.startLog(logHeader(s.generation)))
	case logEnd == logTorn:
		// The torn tail must not stand between records. Rewriting the log in place could
		// lose it in the next crash; a new generation can't.
		s.salvaged = &contents
		return ignoreDiskFull(s.rewriteSalvaged())
	default:
		return s.reclaim()
	}
}

// ignoreDiskFull ignores the error of a write that can be done later.
func ignoreDiskFull(err error) error {
	if errors.Is(err, ErrDiskFull) {
		return nil
	}
	return err
}
