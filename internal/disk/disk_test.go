package disk

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/ridgeswitch/ridgeswitch/pkg/twoslot"
)

// faultyFile is a file in memory whose methods return the configured errors.
type faultyFile struct {
	content  []byte
	writeErr error
	// partialBytes is the number of bytes that a failing write appends.
	partialBytes int
	syncErrs     []error
	truncateErr  error
}

func (f *faultyFile) Write(data []byte) (int, error) {
	if f.writeErr == nil {
		f.content = append(f.content, data...)
		return len(data), nil
	}
	f.content = append(f.content, data[:f.partialBytes]...)
	return f.partialBytes, f.writeErr
}

func (f *faultyFile) Sync() error {
	if len(f.syncErrs) == 0 {
		return nil
	}
	err := f.syncErrs[0]
	f.syncErrs = f.syncErrs[1:]
	return err
}

func (f *faultyFile) Truncate(size int64) error {
	if f.truncateErr == nil {
		f.content = f.content[:size]
	}
	return f.truncateErr
}

func (f *faultyFile) Close() error { return nil }

var _ = Describe("A data folder", func() {
	var (
		folder string
		opened *Disk
	)

	BeforeEach(func() {
		folder = filepath.Join(GinkgoT().TempDir(), "not", "there", "yet")
		var err error
		opened, err = Open(folder)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = opened.Close() })
	})

	It("keeps files that are written, replaced and appended to", func() {
		_, err := opened.ReadFile("state")
		Expect(err).To(MatchError(fs.ErrNotExist))
		Expect(opened.Append("state", []byte("one"))).To(Succeed())
		Expect(opened.Append("state", []byte(" two"))).To(Succeed())
		Expect(opened.ReadFile("state")).To(Equal([]byte("one two")))
		Expect(opened.WriteFile("state", []byte("three"))).To(Succeed())
		Expect(opened.Append("state", []byte("."))).To(Succeed())
		Expect(opened.ReadFile("state")).To(Equal([]byte("three.")))
	})

	It("keeps the contents of a store when it is closed and opened again", func() {
		store, _, err := twoslot.Open(opened, "shard")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Checkpoint([]byte("payload"))).To(Succeed())
		Expect(store.Append([]byte("record"))).To(Succeed())
		Expect(opened.Close()).To(Succeed())
		opened, err = Open(folder)
		Expect(err).NotTo(HaveOccurred())
		_, contents, err := twoslot.Open(opened, "shard")
		Expect(err).NotTo(HaveOccurred())
		Expect(contents).To(Equal(twoslot.Contents{Payload: []byte("payload"), Records: [][]byte{[]byte("record")}}))
	})

	It("cannot be opened again while it is locked", func() {
		_, err := Open(folder)
		Expect(err).To(MatchError(&LockedError{Folder: folder}))
		Expect(opened.Close()).To(Succeed())
		opened, err = Open(folder)
		Expect(err).NotTo(HaveOccurred())
	})

	It("is cleared of temporary files that a crash left when it is opened", func() {
		leftover := filepath.Join(folder, "state"+temporarySuffix)
		Expect(os.WriteFile(leftover, []byte("half"), fileMode)).To(Succeed())
		Expect(opened.Close()).To(Succeed())
		var err error
		opened, err = Open(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(leftover).NotTo(BeAnExistingFile())
	})

	It("rejects names of files outside it, and those of its lock file and temporary files", func() {
		for _, name := range []string{"", ".", "..", "../state", "a/b", "/state", lockName, "state.tmp"} {
			Expect(opened.WriteFile(name, nil)).To(MatchError(&NameError{Name: name}))
			Expect(opened.Append(name, nil)).To(MatchError(&NameError{Name: name}))
			_, err := opened.ReadFile(name)
			Expect(err).To(MatchError(&NameError{Name: name}))
		}
	})

	It("truncates a file, and reports a missing file or an invalid name", func() {
		Expect(opened.WriteFile("state", []byte("former"))).To(Succeed())
		Expect(opened.Truncate("state", 4)).To(Succeed())
		Expect(opened.Append("state", []byte("."))).To(Succeed())
		Expect(opened.ReadFile("state")).To(Equal([]byte("form.")))
		Expect(opened.Truncate("none", 0)).To(MatchError(fs.ErrNotExist))
		Expect(opened.Truncate("../state", 0)).To(MatchError(&NameError{Name: "../state"}))
	})

	It("reports a full disk and leaves the file as it was", func() {
		// On Linux, writes to /dev/full fail with ENOSPC. A link to it in place of the
		// temporary file tests WriteFile with a real error of the operating system.
		Expect(opened.WriteFile("state", []byte("former"))).To(Succeed())
		Expect(os.Symlink("/dev/full", filepath.Join(folder, "state"+temporarySuffix))).To(Succeed())
		Expect(opened.WriteFile("state", []byte("newer"))).To(MatchError(twoslot.ErrDiskFull))
		Expect(opened.ReadFile("state")).To(Equal([]byte("former")))
		Expect(opened.WriteFile("state", []byte("newer"))).To(Succeed())
	})
})

var _ = Describe("An append", func() {
	var target *faultyFile

	BeforeEach(func() {
		target = &faultyFile{content: []byte("former"), partialBytes: 2}
	})

	appendTo := func() error {
		return appendAndClose("log", target, int64(len("former")), []byte("newer"))
	}

	It("that does not fit on the disk is undone and reported as ErrDiskFull", func() {
		for _, full := range []error{unix.ENOSPC, unix.EDQUOT} {
			target.writeErr = &fs.PathError{Op: "write", Path: "log", Err: full}
			Expect(appendTo()).To(MatchError(twoslot.ErrDiskFull))
			Expect(target.content).To(Equal([]byte("former")))
		}
	})

	It("whose sync finds the disk full is undone and reported as ErrDiskFull", func() {
		target.syncErrs = []error{unix.ENOSPC}
		Expect(appendTo()).To(MatchError(twoslot.ErrDiskFull))
		Expect(target.content).To(Equal([]byte("former")))
	})

	It("that cannot be undone is not reported as ErrDiskFull", func() {
		target.writeErr = unix.ENOSPC
		target.truncateErr = unix.EIO
		err := appendTo()
		Expect(err).To(MatchError(unix.EIO))
		Expect(errors.Is(err, twoslot.ErrDiskFull)).To(BeFalse())

		target.truncateErr = nil
		target.syncErrs = []error{unix.EIO}
		err = appendTo()
		Expect(err).To(MatchError(unix.EIO))
		Expect(errors.Is(err, twoslot.ErrDiskFull)).To(BeFalse())
	})

	It("that fails for another reason returns the error of that reason", func() {
		target.syncErrs = []error{unix.EIO}
		err := appendTo()
		Expect(err).To(MatchError(unix.EIO))
		Expect(errors.Is(err, twoslot.ErrDiskFull)).To(BeFalse())
	})
})
