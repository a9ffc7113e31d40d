package sim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

// maxViolations bounds the violations that are recorded of one run.
const maxViolations = 20

// Violation is one instant of a run at which an invariant did not hold.
type Violation = checker.Violation

// checks watch a run and own what is needed to judge it. Most invariants are
// checked at the event that could break them; those that need the complete run
// are checked in finish.
type checks struct {
	world      *simulation
	violations []Violation
	// digest covers the course of the run, so that two runs can be compared.
	digest *xxhash.Digest

	// acknowledged is the highest revision that an operator knows to be in force.
	acknowledged uint64
	// shownRevision is the highest revision that a confirmed read has returned.
	shownRevision uint64
	// contents are the digests of the configurations by revision.
	contents map[uint64]uint64
	// checksums are those of the relayed states.
	checksums map[relayedKey]uint64
	// served is the highest revision that each node has admitted under.
	served map[*node]uint64
	// revoked are the keys whose revocation was acknowledged, with its revision.
	revoked map[string]uint64
	// servedByProcess is what each process last admitted under, in a fail-open
	// deployment.
	servedByProcess map[*node]servedRevision
	// documents are the acknowledged documents by the version that they replace.
	documents map[uint64]string
	// acceptedCommands are the newest commands that each replica has accepted in
	// its incarnation.
	acceptedCommands map[*replica]acceptedCommand
	commands         []checker.Command
	// arrivedCommands and acknowledgedWeights are used for replicas that finish
	// their requests first.
	arrivedCommands     map[*replica]arrivedCommand
	acknowledgedWeights map[string]acknowledgedWeights
	orders              []checker.Order
}

// relayedKey identifies one revision of one shard.
type relayedKey struct {
	topic    relaytree.Topic
	revision uint64
}

type acceptedCommand struct {
	incarnation uint64
	token       uint64
}

func newChecks(world *simulation) *checks {
	return &checks{
		world:     world,
		digest:    xxhash.New(),
		contents:  map[uint64]uint64{},
		checksums: map[relayedKey]uint64{},
		served:    map[*node]uint64{},
		revoked:   map[string]uint64{},

		servedByProcess:  map[*node]servedRevision{},
		documents:        map[uint64]string{},
		acceptedCommands: map[*replica]acceptedCommand{},

		arrivedCommands:     map[*replica]arrivedCommand{},
		acknowledgedWeights: map[string]acknowledgedWeights{},
	}
}

// violate records that an invariant did not hold.
func (w *simulation) violate(name checker.Name, format string, arguments ...any) {
	detail := fmt.Sprintf(format, arguments...)
	w.logf(worldColumn, "VIOLATION %s: %s", name, detail)
	if len(w.checks.violations) < maxViolations {
		w.checks.violations = append(w.checks.violations, Violation{Invariant: name, Detail: detail, At: w.now})
	}
}

// trace adds an event to the digest of the run.
func (c *checks) trace(what string, number uint64) {
	_, _ = fmt.Fprintf(c.digest, "%d %s %d\n", c.world.now, what, number)
}

// viewPublished checks that a revision has the same content on all nodes at all
// times, and that no view admits to a zone that its own configuration evacuates.
func (c *checks) viewPublished(n *node, view *routing.View) {
	c.trace(string(n.info.ID), view.Revision)
	c.checkOneContent(n, view)
	for _, evacuation := range view.Configuration.GetEvacuations() {
		for _, pool := range view.Pools {
			for _, one := range pool.Replicas {
				if one.Admitting && one.Zone == evacuation.GetZone() {
					c.world.violate("evacuated_zone", "%s admits to %s in the evacuated zone %s", n.info.ID, one.Address, one.Zone)
				}
			}
		}
	}
}

func (c *checks) checkOneContent(n *node, view *routing.View) {
	if previous := n.views[view.Revision]; previous != nil && previous.Configuration == view.Configuration && previous != view {
		return
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(view.Configuration)
	if err != nil {
		panic(err)
	}
	content := xxhash.Sum64(encoded)
	known, found := c.contents[view.Revision]
	if found && known != content {
		c.world.violate("one_content", "%s holds another configuration as revision %d than was held before", n.info.ID, view.Revision)
	}
	c.contents[view.Revision] = content
}

// requestAdmitted checks that no node admits under a revision older than an
// acknowledged one, or older than one that it admitted under before, in this
// process or an earlier one.
func (c *checks) requestAdmitted(n *node, view *routing.View, key tenantKey) {
	if c.world.settings.FailOpen {
		c.admittedFailOpen(n, view.Revision)
		return
	}
	if view.Revision < c.acknowledged {
		c.world.violate("admitted_after_ack", "%s admitted under revision %d although %d was acknowledged", n.info.ID, view.Revision, c.acknowledged)
	}
	if revision, revoked := c.revoked[key.name]; revoked && view.Revision < revision {
		c.world.violate("revoked_key", "%s admitted key %s under revision %d, revoked with %d", n.info.ID, key.name, view.Revision, revision)
	}
	if view.Revision < c.served[n] {
		c.world.violate("served_never_back", "%s admitted under revision %d after %d", n.info.ID, view.Revision, c.served[n])
	}
	c.served[n] = max(c.served[n], view.Revision)
}

// requestSent checks that a draining replica gets no request after the bound.
func (c *checks) requestSent(sent *request) {
	if c.world.settings.FailOpen {
		// A node that is cut off goes on by the list that it knows.
		return
	}
	since, draining := c.world.platform.drainingSince[sent.replica.address]
	if draining && c.world.now > max(since, c.world.platform.backAt)+checker.DrainingBound && c.world.platform.down == 0 {
		c.world.violate("draining_replica", "%s sent a request to %s, draining since %v", sent.node.info.ID, sent.replica.address, since)
	}
}

// unorderedWeightsGrace is how long nodes may be unaware that a replica came back
// with weights that no command named.
const unorderedWeightsGrace = 5 * time.Second

// requestArrived checks that a request runs on the weights that it was admitted
// for.
func (c *checks) requestArrived(arrived *request) {
	if c.world.settings.FailOpen {
		// A node that is cut off goes on by the weights that it knows.
		return
	}
	target := arrived.replica
	if target.version == arrived.version {
		return
	}
	unaware := target.unorderedWeights && (!c.world.inRecoveryPhase() || c.world.now < target.unorderedWeightsAt+unorderedWeightsGrace)
	if unaware {
		return
	}
	c.world.violate("weights_of_request", "a request of %s for weights %s reached %s on %q (loading %q)",
		arrived.node.info.ID, arrived.version, target.address, target.version, target.target)
}

// weightsLoadStarted checks that no request runs while a replica changes its
// weights.
func (c *checks) weightsLoadStarted(target *replica, command control.Command) {
	if target.active > 0 && !target.unorderedWeights && !c.world.settings.FailOpen {
		c.world.violate("weights_under_requests", "%s began to load %s with %d requests running", target.address, command.WeightVersion, target.active)
	}
}

// commandSent records which node believed that it holds the command lease.
func (c *checks) commandSent(n *node, command control.Command) {
	c.world.counts.Commands++
	c.commands = append(c.commands, checker.Command{
		Replica:       command.Address,
		Sender:        string(n.info.ID),
		Epoch:         command.Token,
		WeightVersion: command.WeightVersion,
		At:            c.world.now,
	})
}

// commandAccepted checks that the tokens that a replica accepts never fall.
func (c *checks) commandAccepted(target *replica, sender *node, command control.Command) {
	last := c.acceptedCommands[target]
	if last.incarnation == target.incarnation && command.Token < last.token {
		c.world.violate("epochs_never_back", "%s took a command of %s with token %x after %x", target.address, sender.info.ID, command.Token, last.token)
		return
	}
	c.acceptedCommands[target] = acceptedCommand{incarnation: target.incarnation, token: command.Token}
}

// relayed checks that a revision of a shard has one content, whichever node sends
// it.
func (c *checks) relayed(message *relaytree.Message) {
	if message == nil || message.Type != relaytree.MessageUpdate {
		return
	}
	key := relayedKey{topic: message.Topic, revision: message.Revision}
	if known, found := c.checksums[key]; found && known != message.Checksum {
		c.world.violate("one_content", "revision %d of shard %d was relayed with two contents", message.Revision, message.Topic)
	}
	c.checksums[key] = message.Checksum
}

// orderReplied records what operators know from now on, and checks that a reply
// belongs to the order that it is given to.
func (c *checks) orderReplied(sent *submission, reply *controlpb.Answer) {
	record := sent.record
	if answered := reply.GetOrderId(); answered != "" && answered != sent.sentID {
		c.world.violate("answer_of_order", "%s answered order %s with the answer to %s", record.Node, sent.sentID, answered)
	}
	c.trace(record.OrderID+string(record.Outcome), record.Revision)
	if record.Outcome != checker.OutcomeAcknowledged {
		return
	}
	c.acknowledged = max(c.acknowledged, record.Revision)
	c.world.connectivity.recordAcknowledged(record.Revision)
	c.documentAcknowledged(sent.order)
	if record.Change.Kind == checker.ChangeRevoke {
		c.revoked[record.Change.Key] = max(c.revoked[record.Change.Key], record.Revision)
	}
}
