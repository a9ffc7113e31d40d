package sim

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

// Operators read the configuration and its document at any node, at any time. The
// result must be no older than what was acknowledged before the read began; a node
// that cannot rule out a newer one must refuse.

// readEvery is the mean time between two reads.
const readEvery = 400 * time.Millisecond

// readTimeout is how long operators wait for what they read.
const readTimeout = 9 * time.Second

// readResult is what an operator read: a configuration, a document, or neither.
type readResult struct {
	revision uint64
	version  uint64
	// replied is set once the node has replied, refused if it was not sure to be
	// up to date.
	replied bool
	refused bool
}

// scheduleReads schedules reads over the whole run.
func (w *simulation) scheduleReads() {
	instant := firstOrderAt
	for instant < w.settings.Virtual-readTimeout {
		w.at(instant, w.readAtRandomNode)
		instant += time.Duration(w.readPlan.Int64N(int64(2 * readEvery)))
	}
}

// readAtRandomNode reads the configuration, or the document, at some node.
func (w *simulation) readAtRandomNode() {
	reader := w.nodes[w.readPlan.IntN(len(w.nodes))]
	if w.readPlan.IntN(2) == 0 {
		w.readConfigurationAt(reader)
		return
	}
	w.readDocumentAt(reader)
}

// readConfigurationAt reads the configuration at a node. The result is complete
// after readTimeout.
func (w *simulation) readConfigurationAt(reader *node) *readResult {
	if !reader.up {
		return &readResult{}
	}
	minimum := max(w.checks.acknowledged, w.checks.shownRevision)
	return w.read(reader, reader.machine.ReadConfiguration, func(read *readResult) {
		if read.revision < minimum {
			w.violate("read_never_older", "%s shows revision %d although %d was acknowledged or shown before", reader.info.ID, read.revision, minimum)
		}
		w.checks.shownRevision = max(w.checks.shownRevision, read.revision)
	})
}

// readDocumentAt reads the document at a node.
func (w *simulation) readDocumentAt(reader *node) *readResult {
	if !reader.up {
		return &readResult{}
	}
	minimum := w.operators.newestDocument().GetVersion()
	return w.read(reader, reader.machine.ReadSource, func(read *readResult) {
		if read.version < minimum {
			w.violate("read_never_older", "%s shows version %d although %d was acknowledged before", reader.info.ID, read.version, minimum)
		}
	})
}

// read sends a read to a node, and checks a reply that comes in time.
func (w *simulation) read(reader *node, send func(now time.Duration, ticket uint64) control.Output, check func(*readResult)) *readResult {
	read := &readResult{}
	w.counts.Reads++
	reader.nextTicket++
	ticket := reader.nextTicket
	reader.reads[ticket] = func(reply control.Reply) {
		reply = reader.shownReply(reply)
		read.replied, read.refused = true, reply.Err != nil
		read.revision = reply.Configuration.GetRevision()
		read.version = reply.Source.GetVersion()
		if read.refused {
			w.counts.ReadsRefused++
			return
		}
		check(read)
	}
	reader.post(reader.process, func(now time.Duration) control.Output {
		if w.broken(BreakReadsOwnView) {
			return control.Output{Replies: []control.Reply{{Ticket: ticket}}}
		}
		return send(now, ticket)
	})
	w.after(readTimeout, func() {
		if _, open := reader.reads[ticket]; !read.replied && open {
			delete(reader.reads, ticket)
			reader.post(reader.process, func(now time.Duration) control.Output { return reader.machine.Cancel(now, ticket) })
		}
	})
	return read
}

// shownReply returns the reply as the operator gets it.
func (n *node) shownReply(reply control.Reply) control.Reply {
	if !n.world.broken(BreakReadsOwnView) {
		return reply
	}
	configuration := n.machine.Configuration()
	return control.Reply{Configuration: configuration, Source: &ridgeswitchv1.Source{Version: configuration.GetSource().GetVersion()}}
}
