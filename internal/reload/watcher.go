// Package reload watches the settings file of a running node. It applies the settings when
// the file has changed, and on SIGHUP. A Watcher owns the signal handler; its methods are
// called from one goroutine at a time.
package reload

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

// PollEvery is the interval of checks of the settings file.
const PollEvery = time.Second

// Target has the functions that a Watcher calls to read and apply settings. Run calls them
// in the goroutine in which Run itself was called.
type Target struct {
	// Read returns the present settings of the file.
	Read func() (*static.Settings, error)
	// Apply applies the settings to the node. If it returns an error, it has applied none.
	Apply func(settings *static.Settings) error
	// Log receives an entry when settings can't be read or applied.
	Log *logrus.Entry
}

// Watcher detects changes of a settings file that are made after NewWatcher is called.
type Watcher struct {
	path string
	// lastInfo describes the file at the last check, or is nil if there was none.
	lastInfo os.FileInfo
	// hangups receives SIGHUP until Close; signals that arrive while one is pending are merged.
	hangups chan os.Signal
}

// NewWatcher returns a watcher of a file. An empty path means that the settings are not in a
// file, and Run then returns at once. Call NewWatcher before the settings are first read, so
// that no change is missed. From then on, until Close, SIGHUP does not end the process.
func NewWatcher(path string) *Watcher {
	w := &Watcher{path: path, hangups: make(chan os.Signal, 1)}
	signal.Notify(w.hangups, syscall.SIGHUP)
	w.checkFile()
	return w
}

// Close stops the handling of SIGHUP.
func (w *Watcher) Close() { signal.Stop(w.hangups) }

// Run applies the settings on each SIGHUP, and whenever their file has changed, until
// the context ends. It returns at once if the path is empty.
func (w *Watcher) Run(ctx context.Context, target Target) {
	if w.path == "" {
		return
	}
	ticker := time.NewTicker(PollEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangups:
			w.reloadOnHangup(target)
		case <-ticker.C:
			w.poll(target)
		}
	}
}

// reloadOnHangup applies the settings, even if their file is unchanged. It records the
// present state of the file, so that poll does not apply the same content again.
func (w *Watcher) reloadOnHangup(target Target) {
	w.checkFile()
	target.reload()
}

// poll applies the settings if their file has changed.
func (w *Watcher) poll(target Target) {
	if w.checkFile() {
		target.reload()
	}
}

// checkFile records the present state of the file, and reports whether its identity, size or
// modification time differs from the last check. A file whose state can't be read counts as
// unchanged, so that the settings in force stay.
func (w *Watcher) checkFile() (changed bool) {
	present, err := os.Stat(w.path)
	if err != nil {
		return false
	}
	last := w.lastInfo
	w.lastInfo = present
	return last == nil || !os.SameFile(last, present) || last.Size() != present.Size() || !last.ModTime().Equal(present.ModTime())
}

// reload reads and applies the settings. If that fails, it logs one entry with the error,
// which contains every fault of the settings, and the settings in force stay.
func (t Target) reload() {
	settings, err := t.Read()
	if err == nil {
		err = t.Apply(settings)
	}
	if err != nil {
		t.Log.WithError(err).Error("the changed settings are faulty and were not applied; correct them")
	}
}
