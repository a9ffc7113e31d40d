package sim

import (
	"fmt"
	"strings"

	"github.com/samber/lo"
)

// Break switches one mechanism of the deployment off, to prove that the checks
// notice its absence.
type Break string

// The mechanisms that can be switched off. Each is switched off in what surrounds
// the product's code; the code itself is unchanged.
const (
	// BreakNone leaves everything in place.
	BreakNone Break = ""
	// BreakAckBeforeSync reports a write as durable when it begins.
	BreakAckBeforeSync Break = "ack-before-sync"
	// BreakAckBeforeConfirm lets nodes confirm revisions that they do not hold.
	BreakAckBeforeConfirm Break = "ack-before-confirm"
	// BreakEmptyDiskVotes starts a node with a lost disk as a voter.
	BreakEmptyDiskVotes Break = "empty-disk-votes"
	// BreakStaleConfigAfterRestart lets a restarted node admit under the view of
	// its former process before it has registered.
	BreakStaleConfigAfterRestart Break = "stale-config-after-restart"
	// BreakLeaseIgnoresSuspend gives nodes a clock that stands still while they
	// are suspended.
	BreakLeaseIgnoresSuspend Break = "lease-ignores-suspend"
	// BreakNoEpochCheck lets replicas accept commands with older tokens.
	BreakNoEpochCheck Break = "no-epoch-check"
	// BreakNoOrderDedup gives each submission of an order a new identity.
	BreakNoOrderDedup Break = "no-order-dedup"
	// BreakNoCompareAndSet drops the base revision of orders.
	BreakNoCompareAndSet Break = "no-compare-and-set"
	// BreakRelayAcceptsOlder lets traffic go back to the view of an older
	// revision when an old update arrives late.
	BreakRelayAcceptsOlder Break = "relay-accepts-older"
	// BreakFenceIgnored lets nodes admit beyond their fence deadline.
	BreakFenceIgnored Break = "fence-ignored"
	// BreakDrainIgnoresRunning reports to control that no request is in flight.
	BreakDrainIgnoresRunning Break = "drain-ignores-running"
	// BreakCommandAfterDeadline sends commands whose time is over.
	BreakCommandAfterDeadline Break = "command-after-deadline"
	// BreakNoWitnessFloor hides what witnesses know from the members of a group
	// that is formed again.
	BreakNoWitnessFloor Break = "no-witness-floor"
	// BreakReaderNeverReplaced gives the endpoint list to the first node that
	// read it, and to no other.
	BreakReaderNeverReplaced Break = "reader-never-replaced"
	// BreakTokenReused gives all commands the same token.
	BreakTokenReused Break = "token-reused"
	// BreakNoCommandGap has a new leader not wait for the last command of the one
	// before.
	BreakNoCommandGap Break = "no-command-gap"
	// BreakVersionIgnored has replicas run requests that expect other weights.
	BreakVersionIgnored Break = "version-ignored"
	// BreakReadsOwnView answers reads of the configuration from the node's own
	// view.
	BreakReadsOwnView Break = "reads-own-view"
	// BreakAppendClaimed has machines that came later claim to hold every entry that
	// their leader has sent to anybody.
	BreakAppendClaimed Break = "append-claimed"
	// BreakNoProbes loses the digests and the questions to seeds by which halves of a
	// split membership find each other again.
	BreakNoProbes Break = "no-probes"
	// BreakNoWeightsDeadline runs nodes without a deadline of weights.
	BreakNoWeightsDeadline Break = "no-weights-deadline"
	// BreakOldDiskServed lets a restarted node admit under the revision before the newest
	// one of its former process, as by a disk whose commit index lags by one entry.
	BreakOldDiskServed Break = "old-disk-served"
	// BreakUnconditionalEvacuations has nodes carry out each call of an evacuation that
	// they read, however late.
	BreakUnconditionalEvacuations Break = "unconditional-evacuations"
	// BreakDiskSizeUnknown runs nodes that are not told how large their disks are.
	BreakDiskSizeUnknown Break = "disk-size-unknown"
)

// Breaks returns all mechanisms that can be switched off.
func Breaks() []Break {
	return []Break{
		BreakAckBeforeSync,
		BreakAckBeforeConfirm,
		BreakEmptyDiskVotes,
		BreakStaleConfigAfterRestart,
		BreakLeaseIgnoresSuspend,
		BreakNoEpochCheck,
		BreakNoOrderDedup,
		BreakNoCompareAndSet,
		BreakRelayAcceptsOlder,
		BreakFenceIgnored,
		BreakDrainIgnoresRunning,
		BreakCommandAfterDeadline,
		BreakNoWitnessFloor,
		BreakReaderNeverReplaced,
		BreakTokenReused,
		BreakNoCommandGap,
		BreakVersionIgnored,
		BreakReadsOwnView,
		BreakAppendClaimed,
		BreakNoProbes,
		BreakNoWeightsDeadline,
		BreakOldDiskServed,
		BreakUnconditionalEvacuations,
		BreakDiskSizeUnknown,
	}
}

// UnknownBreakError reports that no mechanism has the given name.
type UnknownBreakError struct {
	Name string
}

// Error names the mechanisms that exist.
func (e *UnknownBreakError) Error() string {
	names := lo.Map(Breaks(), func(one Break, _ int) string { return string(one) })
	return fmt.Sprintf("no mechanism is named %q; use one of %s", e.Name, strings.Join(names, ", "))
}

// ParseBreak returns the break of a name; "" is BreakNone. The error is an
// *UnknownBreakError.
func ParseBreak(name string) (Break, error) {
	if name == "" || lo.Contains(Breaks(), Break(name)) {
		return Break(name), nil
	}
	return BreakNone, &UnknownBreakError{Name: name}
}
