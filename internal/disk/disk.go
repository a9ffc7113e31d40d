// Package disk implements twoslot.Disk in a data folder of the machine. A Disk owns the
// folder, which it locks against other processes until Close. Its methods make durable
// what they write before they return. They may be called concurrently for different
// files, and by one goroutine at a time for the same file.
package disk

import (
	"io/fs"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
	// temporarySuffix marks files that are not yet complete and renamed. Callers cannot use
	// names that end in it.
	temporarySuffix = ".tmp"
)

var _ twoslot.Disk = (*Disk)(nil)

// Disk keeps files in one folder, which it locks against other processes.
type Disk struct {
	folder string
	// directory is the open folder, which is synced after a file is created or renamed.
	directory *os.File
	// lock is the open lock file.
	lock *os.File
}

// Open locks a data folder, which it creates if there is none, and removes the
// temporary files that a crash has left. It returns a *LockedError if another process
// has locked the folder. Call Close on the Disk.
func Open(folder string) (*Disk, error) {
	if err := createFolder(folder); err != nil {
		return nil, err
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, err
	}
	directory, err := os.Open(folder)
	if err != nil {
		_ = lock.Close()
		return nil, errors.Wrapf(err, "disk: cannot open data folder %s", folder)
	}
	opened := &Disk{folder: folder, directory: directory, lock: lock}
	if err := opened.removeTemporary(); err != nil {
		_ = opened.Close()
		return nil, err
	}
	return opened, nil
}

// Close closes and unlocks the folder.
func (d *Disk) Close() error {
	directoryErr := d.directory.Close()
	if err := d.lock.Close(); err != nil {
		return err
	}
	return directoryErr
}

// ReadFile returns the content of a file, or an error that matches
// fs.ErrNotExist.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	path, err := d.path(name)
	if err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}

// CapacityBytes returns the size in bytes of the file system that contains the folder.
func (d *Disk) CapacityBytes() (int64, error) {
	var status unix.Statfs_t
	if err := unix.Statfs(d.folder, &status); err != nil {
		return 0, errors.Wrapf(err, "disk: cannot determine the size of the file system of %s", d.folder)
	}
	return int64(status.Blocks) * status.Bsize, nil
}

// Empty reports whether the folder contains nothing except the lock file and temporary
// files.
func (d *Disk) Empty() (bool, error) {
	entries, err := os.ReadDir(d.folder)
	if err != nil {
		return false, errors.Wrap(err, "disk: cannot list data folder")
	}
	for _, entry := range entries {
		if entry.Name() != lockName && filepath.Ext(entry.Name()) != temporarySuffix {
			return false, nil
		}
	}
	return true, nil
}

// createFolder creates the folder and its missing parents, which are durable when it returns
// nil.
func createFolder(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	} else if !errors.Is(err, fs.ErrNotExist) {
		return errors.Wrapf(err, "disk: cannot use data folder %s", folder)
	}
	parent := filepath.Dir(filepath.Clean(folder))
	if err := createFolder(parent); err != nil {
		return err
	}
	if err := os.Mkdir(folder, folderMode); err != nil && !errors.Is(err, fs.ErrExist) {
		return errors.Wrapf(err, "disk: cannot create data folder %s", folder)
	}
	return errors.Wrapf(syncFolder(parent), "disk: cannot sync folder %s", parent)
}

// syncFolder makes the entries of a folder durable.
func syncFolder(folder string) error {
	directory, err := os.Open(folder)
	if err != nil {
		return err
	}
	syncErr := directory.Sync()
	if err := directory.Close(); err != nil {
		return err
	}
	return syncErr
}

// lockFolder locks a folder against other processes. The lock ends when the returned file is
// closed, at the latest with the process.
func lockFolder(folder string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrapf(err, "disk: cannot write to data folder %s; check its permissions", folder)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, &LockedError{Folder: folder}
		}
		return nil, errors.Wrapf(err, "disk: cannot lock data folder %s", folder)
	}
	return lock, nil
}

// removeTemporary removes files that were written and not renamed before a crash.
func (d *Disk) removeTemporary() error {
	leftovers, err := filepath.Glob(filepath.Join(d.folder, "*"+temporarySuffix))
	if err != nil {
		return errors.Wrapf(err, "disk: cannot list the temporary files of data folder %s", d.folder)
	}
	for _, path := range leftovers {
		if err := os.Remove(path); err != nil {
			return errors.Wrap(err, "disk: cannot remove a temporary file that a crash left")
		}
	}
	return nil
}

// path returns the path of a file in the folder. It rejects names of files outside the folder,
// and those of the lock file and of temporary files.
func (d *Disk) path(name string) (string, error) {
	if name == "" || name != filepath.Base(name) || name == "." || name == ".." ||
		name == lockName || filepath.Ext(name) == temporarySuffix {
		return "", &NameError{Name: name}
	}
	return filepath.Join(d.folder, name), nil
}
