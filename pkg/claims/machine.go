package claims

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// ErrNoDirectory is returned while the node knows no set of homes.
var ErrNoDirectory = errors.New("claims: no directory of homes is known yet: send the request to another node or try again")

// Machine claims keys for its node, and is a home for other nodes' claims. It is not
// safe for concurrent use.
type Machine struct {
	config Config
	// directory has the sets that have to agree to a claim, the newest last.
	directory directory
	home      *home
	// claims are those of this node that have not ended, and numbers their numbers,
	// ascending: the order in which Tick visits them.
	claims  map[Number]*claim
	numbers []Number
	// lastNumber is the number of the newest claim.
	lastNumber Number
	// decisions were made since the last call of Decisions.
	decisions []Decision
}

// New returns the machine of a node that starts at the time now.
func New(config Config, now time.Duration) *Machine {
	config = config.withDefaults()
	return &Machine{config: config, home: newHome(config, now), claims: make(map[Number]*claim)}
}

// SetDirectory replaces the sets that have to agree to a claim, the newest last. The
// package comment says when a set may be left out. Directories older than the present
// one are ignored.
func (m *Machine) SetDirectory(sets []Set) {
	next := directory(sets)
	if next.epoch() < m.directory.epoch() {
		return
	}
	m.directory = slices.Clone(next)
}

// Claim requests a key. The decision comes out of Decisions, at the latest
// Config.DecisionTimeout later. It fails with ErrNoDirectory.
func (m *Machine) Claim(now time.Duration, key Key) (Number, []Outbound, error) {
	if len(m.directory) == 0 {
		return 0, nil, errors.WithStack(ErrNoDirectory)
	}
	m.lastNumber++
	claim := &claim{number: m.lastNumber, key: key, deadline: now + m.config.DecisionTimeout}
	m.claims[claim.number] = claim
	m.numbers = append(m.numbers, claim.number)
	return claim.number, m.startAttempt(now, claim), nil
}

// MayRun tells whether an acquired claim is still valid, so that its request may be
// sent to a back end now.
func (m *Machine) MayRun(now time.Duration, number Number) bool {
	claim, present := m.claims[number]
	return present && claim.acquired && now < claim.validUntil
}

// End ends a claim. The key of a request that may have run is remembered from now on;
// that of one that has certainly not run may be claimed again.
func (m *Machine) End(now time.Duration, number Number, mayHaveRun bool) []Outbound {
	claim, present := m.claims[number]
	if !present {
		return nil
	}
	if !mayHaveRun {
		return m.release(now, claim)
	}
	m.remove(claim)
	if lost := claim.acquired && now >= claim.validUntil; lost {
		return nil
	}
	claim.attempt = m.newAttempt(now, claim)
	return m.send(now, claim.messages(Renew, m.config.Incarnation))
}

// Decisions returns the decisions since the last call.
func (m *Machine) Decisions() []Decision {
	decisions := m.decisions
	m.decisions = nil
	return decisions
}

// EntryCount returns how many claims this node remembers as a home.
func (m *Machine) EntryCount() int {
	return len(m.home.entries)
}

// Step handles a message from another node.
func (m *Machine) Step(now time.Duration, from member.ID, message Message) []Outbound {
	switch message.Kind {
	case Acquire, Renew:
		reply := message
		reply.Kind = m.home.handleRequest(now, from, message, m.directory.epoch())
		return m.send(now, []Outbound{{To: from, Message: reply}})
	case Release:
		m.home.release(from, message)
		return nil
	case Granted, Conflict, NotReady, Full, Outdated:
		return m.handleReply(now, from, message)
	default:
		return nil
	}
}

// Tick sends to homes again that have not replied, renews the claims that are
// acquired, and gives up those that were not decided in time. A few ticks in
// Config.ResendInterval are enough.
func (m *Machine) Tick(now time.Duration) []Outbound {
	m.home.tick(now)
	var out []Outbound
	for _, number := range slices.Clone(m.numbers) {
		if claim, present := m.claims[number]; present {
			out = append(out, m.tickClaim(now, claim)...)
		}
	}
	return out
}

// tickClaim does what is due for one claim.
func (m *Machine) tickClaim(now time.Duration, claim *claim) []Outbound {
	switch {
	case !claim.acquired && now >= claim.deadline:
		return m.reject(now, claim)
	case claim.acquired && now >= claim.validUntil:
		// Lost for good: MayRun is false, and End renews nothing.
		return nil
	case now < claim.nextSendAt:
		return nil
	case claim.acquired && (claim.attempt.granted() || claim.attempt.epoch != m.directory.epoch()):
		return m.startAttempt(now, claim)
	default:
		return m.resend(now, claim)
	}
}

// handleReply handles a home's reply to the present attempt of a claim; others are
// out of date.
func (m *Machine) handleReply(now time.Duration, from member.ID, message Message) []Outbound {
	claim, present := m.claims[message.Number]
	if !present || message.Incarnation != m.config.Incarnation || message.Key != claim.key || message.Attempt != claim.attempt.number {
		return nil
	}
	claim.attempt.addReply(from, message.Kind)
	if claim.acquired {
		m.extend(now, claim)
		return nil
	}
	return m.decide(now, claim)
}

// decide ends the request for a key when its result is certain.
func (m *Machine) decide(now time.Duration, claim *claim) []Outbound {
	switch {
	case now >= claim.deadline:
		return m.reject(now, claim)
	case claim.attempt.granted():
		claim.acquired = true
		claim.validUntil = claim.attempt.sentAt + m.config.validFor()
		claim.nextSendAt = claim.attempt.sentAt + m.config.renewInterval()
		m.decisions = append(m.decisions, Decision{Number: claim.number, Outcome: Acquired})
		return nil
	case claim.attempt.cannotSucceed():
		return m.reject(now, claim)
	default:
		return nil
	}
}

// extend prolongs an acquired claim by a renewal that a majority has acknowledged. A
// claim that has been lost stays lost: others may have had the key since.
func (m *Machine) extend(now time.Duration, claim *claim) {
	if now < claim.validUntil && claim.attempt.granted() {
		claim.validUntil = max(claim.validUntil, claim.attempt.sentAt+m.config.validFor())
		claim.nextSendAt = max(claim.nextSendAt, claim.attempt.sentAt+m.config.renewInterval())
	}
}

// reject decides a claim that was not acquired.
func (m *Machine) reject(now time.Duration, claim *claim) []Outbound {
	outcome := Undecided
	if claim.attempt.hasConflict() {
		outcome = AlreadyClaimed
	}
	m.decisions = append(m.decisions, Decision{Number: claim.number, Outcome: outcome})
	return m.release(now, claim)
}

// release tells the homes that the request of a claim does not run.
func (m *Machine) release(now time.Duration, claim *claim) []Outbound {
	m.remove(claim)
	return m.send(now, claim.messages(Release, m.config.Incarnation))
}

// remove removes a claim of this node.
func (m *Machine) remove(claim *claim) {
	delete(m.claims, claim.number)
	if index, present := slices.BinarySearch(m.numbers, claim.number); present {
		m.numbers = slices.Delete(m.numbers, index, index+1)
	}
}

// startAttempt sends a message to all homes: it requests the key until the claim is
// acquired, and renews the claim from then on.
func (m *Machine) startAttempt(now time.Duration, claim *claim) []Outbound {
	claim.attempt = m.newAttempt(now, claim)
	claim.nextSendAt = now + m.config.ResendInterval
	return m.send(now, claim.messages(claim.requestKind(), m.config.Incarnation))
}

// newAttempt returns the next attempt, to the homes of the present directory.
func (m *Machine) newAttempt(now time.Duration, claim *claim) attempt {
	return attempt{
		number:  claim.attempt.number + 1,
		epoch:   m.directory.epoch(),
		sentAt:  now,
		homes:   m.directory.homes(claim.key, m.config.HomesPerKey),
		replies: make(map[member.ID]Kind),
	}
}

// resend repeats the message of the attempt to the homes that have not granted. One
// that was not ready may be so now.
func (m *Machine) resend(now time.Duration, claim *claim) []Outbound {
	claim.nextSendAt = now + m.config.ResendInterval
	var again []Outbound
	for _, message := range claim.messages(claim.requestKind(), m.config.Incarnation) {
		if claim.attempt.replies[message.To] != Granted {
			again = append(again, message)
		}
	}
	return m.send(now, again)
}

// send handles at once what the node sends to itself, and returns the rest.
func (m *Machine) send(now time.Duration, messages []Outbound) []Outbound {
	var out []Outbound
	for _, message := range messages {
		if message.To == m.config.Self {
			out = append(out, m.Step(now, m.config.Self, message.Message)...)
			continue
		}
		out = append(out, message)
	}
	return out
}
