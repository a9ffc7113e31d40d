package claims

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// keyBytes is the length of a key. It is large enough to make it practically impossible that
// two requests have the same key.
const keyBytes = 16

// Key identifies a request among those of all tenants.
type Key [keyBytes]byte

// KeyOf returns the key of a tenant's request.
func KeyOf(tenant, requestID string) Key {
	text := binary.AppendUvarint(nil, uint64(len(tenant)))
	text = append(text, tenant...)
	text = append(text, requestID...)
	digest := sha256.Sum256(text)
	return Key(digest[:keyBytes])
}

// Number identifies a claim among those of one incarnation of a node.
type Number uint64

// Kind is the kind of a Message.
type Kind int

// The kinds of messages. Claimants send Acquire, Renew and Release to homes. The others are
// the replies of homes to Acquire and Renew.
const (
	// Acquire requests a grant.
	Acquire Kind = iota
	// Renew reports that the claim has been granted before and is still valid, and requests
	// that the home remember it for longer.
	Renew
	// Release reports that the request has not run and will not run.
	Release
	// Granted reports that the home remembers the claim.
	Granted
	// Conflict reports that the home remembers another claim of the key.
	Conflict
	// NotReady reports that the home can't grant new claims yet, because it started
	// recently.
	NotReady
	// Full reports that the home can remember no more claims.
	Full
	// Outdated reports that the claimant's directory is older than that of the home or of
	// another claimant.
	Outdated
)

// String returns the kind's name.
func (k Kind) String() string {
	names := [...]string{"acquire", "renew", "release", "granted", "conflict", "not ready", "full", "outdated"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Message is a message between a claimant and a home.
type Message struct {
	Kind Kind
	Key  Key
	// Incarnation is that of the claimant. The claimant, Incarnation and Number together
	// identify the claim.
	Incarnation member.Incarnation
	Number      Number
	// Attempt is the number of the claim's attempt to which the message belongs. A reply
	// has the number of the message that it answers.
	Attempt uint64
	// Epoch is the epoch of the claimant's newest set.
	Epoch uint64
}

// Outbound is a message to be sent. It may be lost, duplicated or reordered.
type Outbound struct {
	To      member.ID
	Message Message
}

// Outcome is the result of a claim.
type Outcome int

// The outcomes of a claim.
const (
	// Acquired means that the request may run as long as Machine.MayRun returns true.
	Acquired Outcome = iota
	// AlreadyClaimed means that there is, or was recently, another claim of the key. The
	// request of that claim may have run.
	AlreadyClaimed
	// Undecided means that too few homes granted in time, and none reported a conflict:
	// the other homes did not reply, or could not grant. The request must not run on this
	// node; whether it ran on another node is not known.
	Undecided
)

// String returns the outcome's name.
func (o Outcome) String() string {
	names := [...]string{"acquired", "claimed", "undecided"}
	if o < 0 || int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// Decision is the outcome of a claim.
type Decision struct {
	Number  Number
	Outcome Outcome
}
