package twoslot

import "errors"

// Contents is what a store contained when it was opened.
type Contents struct {
	// Payload is the payload of the newest checkpoint, empty if there was none.
	Payload []byte
	// Records are the records appended after that checkpoint, oldest first.
	Records [][]byte
}

// Open opens the store of that name, or creates an empty one if the disk has none. If
// acknowledged data is damaged, it returns an error that matches ErrCorrupt.
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

// createLogs creates the missing log files of a store without a checkpoint. Both exist
// before any record is acknowledged, so a log file that is missing later was lost.
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

// repairTail prepares the files for appending: it starts a log that was not started,
// rewrites a torn log, and frees the files of the previous generation otherwise. If the disk
// is full, the next Append starts or rewrites the log.
func (s *Store) repairTail(contents Contents, logEnd logEndKind) error {
	switch {
	case !s.logStarted:
		s.logBytes = 0
		return ignoreDiskFull(s.startLog(logHeader(s.generation)))
	case logEnd == logTorn:
		// No record may be appended after the torn tail. Rewriting the log in place could
		// lose its records in another crash; writing them to a new generation cannot.
		s.salvaged = &contents
		return ignoreDiskFull(s.rewriteSalvaged())
	default:
		return s.reclaim()
	}
}

// ignoreDiskFull discards the error of a write that did not fit and can be repeated later.
func ignoreDiskFull(err error) error {
	if errors.Is(err, ErrDiskFull) {
		return nil
	}
	return err
}
