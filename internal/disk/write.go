package disk

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// file contains the methods of *os.File that writing needs.
type file interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// WriteFile replaces a file: after a crash it contains either the previous content or all
// of data. Both occupy disk space until the previous content is replaced.
func (d *Disk) WriteFile(name string, data []byte) error {
	path, err := d.path(name)
	if err != nil {
		return err
	}
	temporary := path + temporarySuffix
	if err := writeTemporary(temporary, data); err != nil {
		_ = os.Remove(temporary)
		return writeError(name, err)
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = os.Remove(temporary)
		return writeError(name, err)
	}
	// If the sync fails, it is unknown whether the rename is durable. ErrDiskFull would mean
	// that the file is unchanged, so even a full disk is not reported as ErrDiskFull here.
	return errors.Wrapf(d.directory.Sync(), "disk: cannot sync the data folder after writing %s", name)
}

// writeTemporary creates or truncates a file, writes data to it and syncs it.
func writeTemporary(path string, data []byte) error {
	opened, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if err := writeAndSync(opened, data); err != nil {
		_ = opened.Close()
		return err
	}
	return opened.Close()
}

// Append appends to a file, which it creates if there is none. After a crash the file may
// contain only a part of data.
func (d *Disk) Append(name string, data []byte) error {
	path, err := d.path(name)
	if err != nil {
		return err
	}
	opened, created, err := openAppend(path)
	if err != nil {
		return writeError(name, err)
	}
	info, err := opened.Stat()
	if err != nil {
		_ = opened.Close()
		return errors.Wrapf(err, "disk: cannot append to %s", name)
	}
	if err := appendAndClose(name, opened, info.Size(), data); err != nil {
		return err
	}
	if !created {
		return nil
	}
	return errors.Wrapf(d.directory.Sync(), "disk: cannot sync the data folder after creating %s", name)
}

// Truncate shortens a file that is longer than size bytes.
func (d *Disk) Truncate(name string, size int) error {
	path, err := d.path(name)
	if err != nil {
		return err
	}
	opened, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrapf(err, "disk: cannot truncate %s", name)
	}
	if err := truncateAndSync(opened, int64(size)); err != nil {
		_ = opened.Close()
		return writeError(name, err)
	}
	return errors.Wrapf(opened.Close(), "disk: cannot close %s", name)
}

func truncateAndSync(opened file, size int64) error {
	if err := opened.Truncate(size); err != nil {
		return err
	}
	return opened.Sync()
}

// openAppend opens a file to append to, and creates it if there is none.
func openAppend(path string) (opened *os.File, created bool, err error) {
	opened, err = os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
	if !errors.Is(err, os.ErrNotExist) {
		return opened, false, err
	}
	opened, err = os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	return opened, true, err
}

// appendAndClose appends data to a file of the given size, syncs it and closes it. After a
// failed write it truncates the file to that size. Only if the truncation is durable may a
// full disk be reported as ErrDiskFull, which means that the file is unchanged.
func appendAndClose(name string, opened file, size int64, data []byte) error {
	err := writeAndSync(opened, data)
	if err == nil {
		return errors.Wrapf(opened.Close(), "disk: cannot close %s", name)
	}
	defer func() { _ = opened.Close() }()
	if truncateErr := truncateAndSync(opened, size); truncateErr != nil {
		return errors.Wrapf(truncateErr, "disk: cannot undo a failed write to %s (%v)", name, err)
	}
	return writeError(name, err)
}

func writeAndSync(opened file, data []byte) error {
	if _, err := opened.Write(data); err != nil {
		return err
	}
	return opened.Sync()
}

// writeError wraps the error of a write. The errors of a full disk and of an exceeded quota
// match twoslot.ErrDiskFull.
func writeError(name string, err error) error {
	if errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) {
		return &twoslot.Error{Kind: twoslot.KindDiskFull, Name: name, Cause: err}
	}
	return errors.Wrapf(err, "disk: cannot write %s", name)
}
