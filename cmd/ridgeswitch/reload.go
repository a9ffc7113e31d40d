package main

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/node"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

// settingsPollEvery is how often the settings file is looked at. A change of the
// file need not come with a signal.
const settingsPollEvery = time.Second

// reloader hands changed settings to a running node.
type reloader struct {
	command *cli.Command
	node    *node.Node
	logger  *logrus.Logger
	log     *logrus.Entry
	// seen is what the file was like when it was last read.
	seen fileState
}

// fileState tells versions of a file apart.
type fileState struct {
	modified time.Time
	size     int64
}

// stateOf is the zero state for a file that can't be looked at, which keeps what
// is in force.
func stateOf(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

// run looks at the settings on each hangup, and whenever their file has changed, until
// the context ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	path := r.command.String(static.FlagSettings)
	if path == "" {
		return
	}
	ticker := time.NewTicker(settingsPollEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.seen = stateOf(path)
			r.reload()
		case <-ticker.C:
			r.reloadIfChanged(path)
		}
	}
}

func (r *reloader) reloadIfChanged(path string) {
	present := stateOf(path)
	if present == r.seen || present == (fileState{}) {
		return
	}
	r.seen = present
	r.reload()
}

func (r *reloader) reload() {
	settings, err := static.FromCommand(r.command)
	if err != nil {
		r.log.WithError(err).Error("cannot read the changed settings; those in force stay")
		return
	}
	if level, err := logrus.ParseLevel(settings.LogLevel); err == nil {
		r.logger.SetLevel(level)
	}
	r.node.Reload(settings)
}
