package sim

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// Operators read the configuration and its document at any node, at any time. What
// they read must be no older than what was acknowledged before they asked; a node
// that can't be sure of that must say so.

// readEvery is the mean time between two reads.
const readEvery = 400 * time.Millisecond

// readPatience is how long operators wait for what they read.
const readPatience = 9 * time.Second

// reading is what an operator read: a configuration, a document, or neither.
type reading struct {
	revision uint64
	version  uint64
	// answered tells that the node answered, and refused that it was not sure.
	answered bool
	refused  bool
}

// scheduleReads plans reads over the whole run.
func (w *simulation) scheduleReads() {
	instant := time.Duration(firstOrderAt)
	for instant < w.settings.Virtual-readPatience {
		w.at(instant, w.readAnywhere)
		instant += time.Duration(w.readPlan.Int64N(int64(2 * readEvery)))
	}
}

// readAnywhere reads the configuration, or the document, at some node.
func (w *simulation) readAnywhere() {
	reader := w.nodes[w.readPlan.IntN(len(w.nodes))]
	if w.readPlan.IntN(2) == 0 {
		w.readConfigurationAt(reader)
		return
	}
	w.readDocumentAt(reader)
}

// readConfigurationAt reads the configuration at a node. What it gets is known once
// the patience is over.
func (w *simulation) readConfigurationAt(reader *node) *reading {
	if !reader.up {
		return &reading{}
	}
	least := max(w.checks.acknowledged, w.checks.shown)
	return w.read(reader, reader.machine.ReadConfiguration, func(read *reading) {
		if read.revision < least {
			w.violate("read_never_older", "%s shows revision %d although %d was acknowledged or shown before", reader.info.ID, read.revision, least)
		}
		w.checks.shown = max(w.checks.shown, read.revision)
	})
}

// readDocumentAt reads the document at a node.
func (w *simulation) readDocumentAt(reader *node) *reading {
	if !reader.up {
		return &reading{}
	}
	least := w.newestDocument().GetVersion()
	return w.read(reader, reader.machine.ReadSource, func(read *reading) {
		if read.version < least {
			w.violate("read_never_older", "%s shows version %d although %d was acknowledged before", reader.info.ID, read.version, least)
		}
	})
}

// read asks a node, and checks what it answers in time.
func (w *simulation) read(reader *node, ask func(now time.Duration, ticket uint64) control.Output, check func(*reading)) *reading {
	read := &reading{}
	w.counts.Reads++
	reader.nextTicket++
	ticket := reader.nextTicket
	reader.reads[ticket] = func(reply control.Reply) {
		reply = reader.shown(reply)
		read.answered, read.refused = true, reply.Err != nil
		read.revision = reply.Configuration.GetRevision()
		read.version = reply.Source.GetVersion()
		if read.refused {
			w.counts.ReadsRefused++
			return
		}
		check(read)
	}
	reader.post(reader.life, func(now time.Duration) control.Output {
		if w.broken(BreakReadsOwnView) {
			return control.Output{Replies: []control.Reply{{Ticket: ticket}}}
		}
		return ask(now, ticket)
	})
	w.after(readPatience, func() {
		if _, open := reader.reads[ticket]; !read.answered && open {
			delete(reader.reads, ticket)
			reader.post(reader.life, func(now time.Duration) control.Output { return reader.machine.Cancel(now, ticket) })
		}
	})
	return read
}

// shown is the answer as the operator gets it.
func (n *node) shown(reply control.Reply) control.Reply {
	if !n.world.broken(BreakReadsOwnView) {
		return reply
	}
	held := n.machine.Configuration()
	return control.Reply{Configuration: held, Source: &ridgeswitchv1.Source{Version: held.GetSource().GetVersion()}}
}
