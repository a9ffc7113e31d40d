package sim

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// commandGapBound is the least time between the commands of two nodes to one
// replica that finishes its requests first.
const commandGapBound = 3 * time.Second

// commandChecks check who commands replicas, and with which tokens.
type commandChecks struct {
	env *environment
	// commands are all that were sent.
	commands []checker.Command
	// accepted are the newest commands that each replica has accepted in its
	// incarnation; arrived those that reached replicas that finish their requests
	// first, which check no tokens.
	accepted map[*replica]acceptedCommand
	arrived  map[*replica]arrivedCommand
}

type acceptedCommand struct {
	incarnation uint64
	token       uint64
}

// arrivedCommand is the newest command that reached a replica in its present
// incarnation.
type arrivedCommand struct {
	incarnation uint64
	sender      string
	token       uint64
	version     string
	at          time.Duration
}

func newCommandChecks(env *environment) *commandChecks {
	return &commandChecks{env: env, accepted: map[*replica]acceptedCommand{}, arrived: map[*replica]arrivedCommand{}}
}

// commandSent records which node believed that it holds the command lease.
func (c *commandChecks) commandSent(n *node, command control.Command) {
	c.env.counts.Commands++
	c.commands = append(c.commands, checker.Command{
		Replica:       command.Address,
		Sender:        string(n.info.ID),
		Epoch:         command.Token,
		WeightVersion: command.WeightVersion,
		At:            c.env.now,
	})
}

// commandAccepted checks that the tokens that a replica accepts never fall.
func (c *commandChecks) commandAccepted(target *replica, sender *node, command control.Command) {
	last := c.accepted[target]
	if last.incarnation == target.incarnation && command.Token < last.token {
		c.env.violate("epochs_never_back", "%s took a command of %s with token %x after %x", target.address, sender.info.ID, command.Token, last.token)
		return
	}
	c.accepted[target] = acceptedCommand{incarnation: target.incarnation, token: command.Token}
}

// commandArrived checks that tokens never fall and belong to one sender each,
// that two senders keep commandGapBound apart, that the command names its sender,
// and that nothing is commanded twice in the recovery phase.
func (c *commandChecks) commandArrived(target *replica, sender *node, command control.Command) {
	last := c.arrived[target]
	// The sender is the machine, whatever node the command names.
	current := arrivedCommand{target.incarnation, string(sender.info.ID), command.Token, command.WeightVersion, c.env.now}
	c.arrived[target] = current
	if command.Leader != string(sender.info.ID) {
		c.env.violate("command_holder", "%s commands %s as %s", sender.info.ID, target.address, command.Leader)
	}
	if last.incarnation != target.incarnation {
		return
	}
	switch {
	case command.Token < last.token:
		c.env.violate("tokens_never_fall", "%s got token %x of %s after %x of %s", target.address, command.Token, command.Leader, last.token, last.sender)
	case command.Token == last.token && current.sender != last.sender:
		c.env.violate("token_of_one_holder", "%s got token %x of %s and of %s", target.address, command.Token, last.sender, current.sender)
	case current.sender != last.sender && c.env.now-last.at < commandGapBound:
		c.env.violate("holders_keep_apart", "%s commands %s %v after %s did", current.sender, target.address, c.env.now-last.at, last.sender)
	case command.WeightVersion == last.version && c.env.now > c.env.settings.recoveryPhaseStart()+ServiceBackBound:
		c.env.violate("commanded_in_vain", "%s commands %s to load %s again", command.Leader, target.address, command.WeightVersion)
	}
}
