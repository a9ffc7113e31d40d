package claims

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// ErrNoDirectory is the error of Machine.Claim while the machine has no directory.
var ErrNoDirectory = errors.New("claims: no directory of homes is known yet: send the request to another node or try again")

// Machine claims keys for its node, and acts as a home for the claims of all nodes. It is
// not safe for concurrent use.
type Machine struct {
	config    Config
	directory directory
	home      *home
	// claims contains the claims of this node that have not ended. The field numbers
	// contains their numbers in ascending order, in which Tick handles them.
	claims  map[Number]*claim
	numbers []Number
	// lastNumber is the number of the newest claim.
	lastNumber Number
	// decisions contains the decisions since the last call of Decisions.
	decisions []Decision
}

// New returns the machine of a node that starts at the time now.
func New(config Config, now time.Duration) *Machine {
	config = config.withDefaults()
	return &Machine{config: config, home: newHome(config, now), claims: make(map[Number]*claim)}
}

// SetDirectory replaces the sets that have to grant a claim; the newest set is the last. The
// package comment says when a set may be removed. A directory whose newest epoch is older
// than the current one is ignored.
func (m *Machine) SetDirectory(sets []Set) {
	next := directory(sets)
	if next.epoch() < m.directory.epoch() {
		return
	}
	m.directory = slices.Clone(next)
}

// Claim claims a key. Decisions returns the outcome, at the latest after the first Tick that
// follows Config.DecisionTimeout. Claim returns ErrNoDirectory if no directory was set.
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

// MayRun reports whether a claim has been acquired and is still valid, so that its request
// may be sent to a back end now.
func (m *Machine) MayRun(now time.Duration, number Number) bool {
	claim, present := m.claims[number]
	return present && claim.acquired && now < claim.validUntil
}

// End ends a claim. If the request may have run, End renews the claim once more, so that its
// homes remember it for Config.Retention from now on; a claim that is no longer valid is not
// renewed. If the request has certainly not run, its key is released and may be claimed
// again.
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

// Decisions returns the decisions since its last call.
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

// Tick handles the passing of time: it sends messages again to homes that have not granted,
// renews acquired claims, rejects the claims that were not decided in time, and removes
// expired entries of the home. It should be called a few times per Config.ResendInterval.
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

// tickClaim rejects, renews or resends one claim if that is due.
func (m *Machine) tickClaim(now time.Duration, claim *claim) []Outbound {
	switch {
	case !claim.acquired && now >= claim.deadline:
		return m.reject(now, claim)
	case claim.acquired && now >= claim.validUntil:
		// The claim is lost permanently: MayRun returns false, and End does not renew it.
		return nil
	case now < claim.nextSendAt:
		return nil
	case claim.acquired && (claim.attempt.granted() || claim.attempt.epoch != m.directory.epoch()):
		return m.startAttempt(now, claim)
	default:
		return m.resend(now, claim)
	}
}

// handleReply handles a home's reply to the current attempt of a claim. It ignores replies to
// earlier attempts, to ended claims and to earlier incarnations.
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

// decide decides a claim once its deadline has passed, a majority in every set has granted, or
// no such majority is possible any more.
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

// extend extends the validity of an acquired claim if a majority in every set has acknowledged
// the current attempt. A claim that is no longer valid is not extended, since another node
// may have acquired the key in the meantime.
func (m *Machine) extend(now time.Duration, claim *claim) {
	if now < claim.validUntil && claim.attempt.granted() {
		claim.validUntil = max(claim.validUntil, claim.attempt.sentAt+m.config.validFor())
		claim.nextSendAt = max(claim.nextSendAt, claim.attempt.sentAt+m.config.renewInterval())
	}
}

// reject decides that a claim is not acquired, and releases it. The outcome is AlreadyClaimed
// if a home has reported a conflict, and Undecided otherwise.
func (m *Machine) reject(now time.Duration, claim *claim) []Outbound {
	outcome := Undecided
	if claim.attempt.hasConflict() {
		outcome = AlreadyClaimed
	}
	m.decisions = append(m.decisions, Decision{Number: claim.number, Outcome: outcome})
	return m.release(now, claim)
}

// release removes a claim of this node, and returns the messages that inform its homes that
// its request has not run and will not run.
func (m *Machine) release(now time.Duration, claim *claim) []Outbound {
	m.remove(claim)
	return m.send(now, claim.messages(Release, m.config.Incarnation))
}

// remove removes a claim from the claims of this node.
func (m *Machine) remove(claim *claim) {
	delete(m.claims, claim.number)
	if index, present := slices.BinarySearch(m.numbers, claim.number); present {
		m.numbers = slices.Delete(m.numbers, index, index+1)
	}
}

// startAttempt begins a new attempt, and returns its messages to all homes. They request the
// key if the claim has not been acquired yet, and renew the claim otherwise.
func (m *Machine) startAttempt(now time.Duration, claim *claim) []Outbound {
	claim.attempt = m.newAttempt(now, claim)
	claim.nextSendAt = now + m.config.ResendInterval
	return m.send(now, claim.messages(claim.requestKind(), m.config.Incarnation))
}

// newAttempt returns the next attempt, with the homes of the key in the current directory.
func (m *Machine) newAttempt(now time.Duration, claim *claim) attempt {
	return attempt{
		number:  claim.attempt.number + 1,
		epoch:   m.directory.epoch(),
		sentAt:  now,
		homes:   m.directory.homes(claim.key, m.config.HomesPerKey),
		replies: make(map[member.ID]Kind),
	}
}

// resend returns the messages of the current attempt to the homes that have not granted. They
// include the homes that have rejected, since a home that replied NotReady may be ready now.
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

// send passes the messages that this node sends to itself to Step, and returns the others.
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
