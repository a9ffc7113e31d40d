// Package reload hands the settings in a file to a running node whenever they
// have changed, with a signal or without one.
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

// PollEvery is how often the settings file is looked at. A change of the file
// need not come with a signal.
const PollEvery = time.Second

// Target is what changed settings are for.
type Target struct {
	// Read reads the settings that the file holds now.
	Read func() (*static.Settings, error)
	// Apply hands them to the node, which takes all of them or none.
	Apply func(settings *static.Settings) error
	// Log is told of settings that can't be read or taken.
	Log *logrus.Entry
}

// Watcher looks at a settings file. It notices what changes from the moment on
// at which it was made.
type Watcher struct {
	path     string
	lastInfo os.FileInfo
	hangups  chan os.Signal
}

// NewWatcher returns a watcher of a file; an empty path stands for settings that
// are in no file. It is to be made before the settings are first read, so that no
// change is missed. From now on a hangup does not end the process any more.
func NewWatcher(path string) *Watcher {
	w := &Watcher{path: path, hangups: make(chan os.Signal, 1)}
	signal.Notify(w.hangups, syscall.SIGHUP)
	w.changed()
	return w
}

// Close lets go of the signal.
func (w *Watcher) Close() { signal.Stop(w.hangups) }

// Run hands settings over on each hangup, and whenever their file has changed,
// until the context ends.
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

// reloadOnHangup hands the settings over whether their file seems to have changed or not.
func (w *Watcher) reloadOnHangup(target Target) {
	w.changed()
	target.reload()
}

// poll hands the settings over if their file has changed.
func (w *Watcher) poll(target Target) {
	if w.changed() {
		target.reload()
	}
}

// changed reports whether the file is another than when it was last looked at. A
// file that can't be looked at counts as unchanged: what is in force stays.
func (w *Watcher) changed() bool {
	present, err := os.Stat(w.path)
	if err != nil {
		return false
	}
	last := w.lastInfo
	w.lastInfo = present
	return last == nil || !os.SameFile(last, present) || last.Size() != present.Size() || !last.ModTime().Equal(present.ModTime())
}

// reload reads the settings and hands them over. What is faulty is logged, in
// one entry with every fault, and changes nothing.
func (t Target) reload() {
	settings, err := t.Read()
	if err == nil {
		err = t.Apply(settings)
	}
	if err != nil {
		t.Log.WithError(err).Error("the changed settings are faulty and were not taken over; correct them")
	}
}
