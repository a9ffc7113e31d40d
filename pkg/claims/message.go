package claims

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// keyBytes is the length of a key, long enough that no two requests share one.
const keyBytes = 16

// Key stands for the identity of a request among all tenants.
type Key [keyBytes]byte

// KeyOf returns the key of a tenant's request.
func KeyOf(tenant, requestID string) Key {
	text := binary.AppendUvarint(nil, uint64(len(tenant)))
	text = append(text, tenant...)
	text = append(text, requestID...)
	digest := sha256.Sum256(text)
	return Key(digest[:keyBytes])
}

// Number names a claim among those of one incarnation of a node.
type Number uint64

// Kind tells what a Message says.
type Kind int

// The kinds of messages. Acquire, Renew and Release go to homes, the others come back
// from them.
const (
	// Acquire requests a grant.
	Acquire Kind = iota
	// Renew says that the claim has been granted before, and is still valid.
	Renew
	// Release says that the request has not run and will not run.
	Release
	// Granted says that the home remembers the claim.
	Granted
	// Conflict says that the home remembers another claim of the key.
	Conflict
	// NotReady says that the home can't decide yet, since it started lately.
	NotReady
	// Full says that the home can remember no more claims.
	Full
	// Outdated says that the claimant's directory is older than the home's.
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

// Message goes between a claimant and a home.
type Message struct {
	Kind Kind
	Key  Key
	// Incarnation and Number name the claim, together with the claimant.
	Incarnation member.Incarnation
	Number      Number
	// Attempt numbers the claim's requests and renewals. Replies repeat it.
	Attempt uint64
	// Epoch is that of the claimant's newest set.
	Epoch uint64
}

// Outbound is a message to be sent. It may be lost, duplicated or reordered.
type Outbound struct {
	To      member.ID
	Message Message
}

// Outcome tells how a claim was decided.
type Outcome int

// The outcomes of a claim.
const (
	// Acquired means that the request may run while MayRun says so.
	Acquired Outcome = iota
	// AlreadyClaimed means that there is, or was lately, another claim of the key. Its
	// request may have run.
	AlreadyClaimed
	// Undecided means that too few homes granted in time, and none named another claim:
	// they did not reply, or could not grant. The request does not run here; whether it ran
	// elsewhere is not known.
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
