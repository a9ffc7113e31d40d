// Package reload watches the settings file of a running node: it applies the settings
// when the file has changed, and on SIGHUP. A Watcher owns the signal handler; one
// goroutine calls Run.
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

// Target is what a Watcher reloads: how settings are read, and what applies them. Run
// calls its functions in its own goroutine.
type Target struct {
	// Read reads the settings that the file holds now.
	Read func() (*static.Settings, error)
	// Apply applies them to the node, all of them or none.
	Apply func(settings *static.Settings) error
	// Log gets an entry when settings can't be read or applied.
	Log *logrus.Entry
}

// Watcher notices changes of a settings file since NewWatcher.
type Watcher struct {
	path string
	// lastInfo describes the file at the last check, or is nil if there was none.
	lastInfo os.FileInfo
	// hangups gets each SIGHUP until Close.
	hangups chan os.Signal
}

// NewWatcher returns a watcher of a file; an empty path stands for settings that
// are in no file, of which nothing is reloaded. Call it before the settings are first read, so that no change is missed.
// From then on SIGHUP does not end the process, until Close.
func NewWatcher(path string) *Watcher {
	w := &Watcher{path: path, hangups: make(chan os.Signal, 1)}
	signal.Notify(w.hangups, syscall.SIGHUP)
	w.checkFile()
	return w
}

// Close stops the handling of SIGHUP.
func (w *Watcher) Close() { signal.Stop(w.hangups) }

// Run applies the settings on each SIGHUP, and whenever their file has changed, until
// the context ends. It returns at once if there is no file.
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

// reloadOnHangup applies the settings whether their file has changed or not. The present
// state of the file counts as applied, so that poll does not apply it again.
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

// checkFile records the present state of the file, and reports whether it differs from that
// of the last check, by identity, size and time of modification. A file that can't be read
// counts as unchanged: the settings in force stay.
func (w *Watcher) checkFile() (changed bool) {
	present, err := os.Stat(w.path)
	if err != nil {
		return false
	}
	last := w.lastInfo
	w.lastInfo = present
	return last == nil || !os.SameFile(last, present) || last.Size() != present.Size() || !last.ModTime().Equal(present.ModTime())
}

// reload reads and applies the settings. If they are faulty, it logs one entry with every
// fault, and the settings in force stay.
func (t Target) reload() {
	settings, err := t.Read()
	if err == nil {
		err = t.Apply(settings)
	}
	if err != nil {
		t.Log.WithError(err).Error("the changed settings are faulty and were not applied; correct them")
	}
}
