package sim

import (
	"time"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
)

const (
	// readEvery is the mean time between two reads.
	readEvery = 400 * time.Millisecond
	// readTimeout is how long operators wait for what they read.
	readTimeout = 9 * time.Second
)

// operatorReads are reads of the configuration and its document at any node, at any
// time. The result must be no older than what was acknowledged before the read
// began; a node that cannot rule out a newer one must refuse.
type operatorReads struct {
	env       *environment
	machines  *machines
	operators *operators
	checks    *checks
}

// readResult is what an operator read: a configuration, a document, or neither.
type readResult struct {
	revision uint64
	version  uint64
	// replied is set once the node has replied, refused if it was not sure to be
	// up to date.
	replied bool
	refused bool
}

// schedule schedules reads over the whole run.
func (r *operatorReads) schedule() {
	instant := firstOrderAt
	for instant < r.env.settings.Virtual-readTimeout {
		r.env.at(instant, r.readAtRandomNode)
		instant += time.Duration(r.env.readPlan.Int64N(int64(2 * readEvery)))
	}
}

// readAtRandomNode reads the configuration, or the document, at some node.
func (r *operatorReads) readAtRandomNode() {
	reader := r.machines.nodes[r.env.readPlan.IntN(len(r.machines.nodes))]
	if r.env.readPlan.IntN(2) == 0 {
		r.configurationAt(reader)
		return
	}
	r.documentAt(reader)
}

// configurationAt reads the configuration at a node. The result is complete after
// readTimeout.
func (r *operatorReads) configurationAt(reader *node) *readResult {
	if !reader.up {
		return &readResult{}
	}
	minimum := max(r.checks.acknowledged, r.checks.shownRevision)
	return r.read(reader, reader.machine.ReadConfiguration, func(read *readResult) {
		if read.revision < minimum {
			r.env.violate("read_never_older", "%s shows revision %d although %d was acknowledged or shown before", reader.info.ID, read.revision, minimum)
		}
		r.checks.shownRevision = max(r.checks.shownRevision, read.revision)
	})
}

// documentAt reads the document at a node.
func (r *operatorReads) documentAt(reader *node) *readResult {
	if !reader.up {
		return &readResult{}
	}
	minimum := r.operators.newestDocument().GetVersion()
	return r.read(reader, reader.machine.ReadSource, func(read *readResult) {
		if read.version < minimum {
			r.env.violate("read_never_older", "%s shows version %d although %d was acknowledged before", reader.info.ID, read.version, minimum)
		}
	})
}

// read sends a read to a node, and checks a reply that comes in time.
func (r *operatorReads) read(reader *node, send func(now time.Duration, ticket uint64) control.Output, check func(*readResult)) *readResult {
	if r.env.broken(BreakReadsOwnView) {
		send = func(_ time.Duration, ticket uint64) control.Output {
			return control.Output{Replies: []control.Reply{{Ticket: ticket}}}
		}
	}
	read := &readResult{}
	r.env.counts.Reads++
	ticket := reader.calls.read(send, func(reply control.Reply) {
		reply = r.shownReply(reader, reply)
		read.replied, read.refused = true, reply.Err != nil
		read.revision = reply.Configuration.GetRevision()
		read.version = reply.Source.GetVersion()
		if read.refused {
			r.env.counts.ReadsRefused++
			return
		}
		check(read)
	})
	r.env.after(readTimeout, func() {
		if !read.replied {
			reader.calls.cancelRead(ticket)
		}
	})
	return read
}

// shownReply returns a node's reply as the operator gets it.
func (r *operatorReads) shownReply(reader *node, reply control.Reply) control.Reply {
	if !r.env.broken(BreakReadsOwnView) {
		return reply
	}
	configuration := reader.machine.Configuration()
	return control.Reply{Configuration: configuration, Source: &ridgeswitchv1.Source{Version: configuration.GetSource().GetVersion()}}
}
