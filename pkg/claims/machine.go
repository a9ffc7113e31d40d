package claims

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// ErrNoDirectory is returned while the node knows no set of homes.
var ErrNoDirectory = errors.New("claims: no directory of homes is known yet: send the request to another node or try again")

// Machine claims keys for its node, and is a home for other nodes' claims.
type Machine struct {
	config    Config
	directory directory
	home      *home
	claims    map[Number]*claim
	// numbers holds the numbers of the claims, ascending.
	numbers   []Number
	last      Number
	decisions []Decision
	// newestEpoch is the newest epoch that a claimant named.
	newestEpoch uint64
}

// New returns the machine of a node that starts at the time now.
func New(config Config, now time.Duration) *Machine {
	config = config.withDefaults()
	return &Machine{config: config, home: newHome(config, now), claims: make(map[Number]*claim)}
}

// SetDirectory replaces the sets that have to agree to a claim, the newest
// last. The package comment says when a set may be left out. Older directories
// than the present one are ignored.
func (m *Machine) SetDirectory(sets []Set) {
	next := directory(sets)
	if next.epoch() < m.directory.epoch() {
		return
	}
	m.directory = slices.Clone(next)
}

// Claim asks for a key. The decision comes out of Decisions, at the latest
// Config.DecisionTimeout later.
func (m *Machine) Claim(now time.Duration, key Key) (Number, []Outbound, error) {
	if len(m.directory) == 0 {
		return 0, nil, errors.WithStack(ErrNoDirectory)
	}
	m.last++
	asked := &claim{number: m.last, key: key, deadline: now + m.config.DecisionTimeout}
	m.claims[asked.number] = asked
	m.numbers = append(m.numbers, asked.number)
	return asked.number, m.startAttempt(now, asked), nil
}

// MayRun tells whether a held claim is still valid, so that its request may be
// sent to a back end now.
func (m *Machine) MayRun(now time.Duration, number Number) bool {
	held, present := m.claims[number]
	return present && held.acquired && now < held.validUntil
}

// End ends a held claim. A request that may have run is remembered from now
// on; one that has certainly not run may be claimed again.
func (m *Machine) End(now time.Duration, number Number, mayHaveRun bool) []Outbound {
	held, present := m.claims[number]
	if !present {
		return nil
	}
	lost := held.acquired && now >= held.validUntil
	if !mayHaveRun {
		return m.release(now, held)
	}
	m.forget(held)
	if lost {
		return nil
	}
	held.attempt = m.newAttempt(now, held)
	return m.deliver(now, m.messages(held, Renew))
}

// Decisions returns the decisions since the last call.
func (m *Machine) Decisions() []Decision {
	decided := m.decisions
	m.decisions = nil
	return decided
}

// EntryCount returns how many claims this node remembers as a home.
func (m *Machine) EntryCount() int {
	return len(m.home.entries)
}

// Step takes a message in.
func (m *Machine) Step(now time.Duration, from member.ID, message Message) []Outbound {
	switch message.Kind {
	case Acquire, Renew:
		answer := message
		answer.Kind = m.handleRequest(now, from, message)
		return m.deliver(now, []Outbound{{To: from, Message: answer}})
	case Release:
		m.home.release(from, message)
		return nil
	case Granted, Conflict, NotReady, Full, Outdated:
		return m.handleReply(now, from, message)
	default:
		return nil
	}
}

// Tick asks silent homes again, renews what is held, and gives up what was not
// decided in time. A few ticks in Config.ResendInterval are enough.
func (m *Machine) Tick(now time.Duration) []Outbound {
	m.home.tick(now)
	var out []Outbound
	for _, number := range slices.Clone(m.numbers) {
		if present, open := m.claims[number]; open {
			out = append(out, m.tickClaim(now, present)...)
		}
	}
	return out
}

// tickClaim does what is due for one claim.
func (m *Machine) tickClaim(now time.Duration, due *claim) []Outbound {
	switch {
	case !due.acquired && now >= due.deadline:
		return m.reject(now, due)
	case due.acquired && now >= due.validUntil:
		// Lost for good; End finds it so, and MayRun refuses.
		return nil
	case now < due.nextSendAt:
		return nil
	case due.acquired && (due.attempt.granted() || due.attempt.epoch != m.directory.epoch()):
		return m.startAttempt(now, due)
	default:
		return m.resend(now, due)
	}
}

// handleRequest decides as a home. A claimant whose directory is older than another's
// that was seen may know too few homes.
func (m *Machine) handleRequest(now time.Duration, from member.ID, asked Message) Kind {
	if asked.Kind == Acquire && asked.Epoch < max(m.directory.epoch(), m.newestEpoch) {
		return Outdated
	}
	m.newestEpoch = max(m.newestEpoch, asked.Epoch)
	return m.home.handleRequest(now, from, asked)
}

// handleReply takes in a home's answer to the present round of a claim.
func (m *Machine) handleReply(now time.Duration, from member.ID, message Message) []Outbound {
	asked, present := m.claims[message.Number]
	if !present || message.Incarnation != m.config.Incarnation || message.Key != asked.key || message.Attempt != asked.attempt.number {
		return nil
	}
	// What has once been granted in a round stays so.
	if asked.attempt.replies[from] != Granted || message.Kind == Granted {
		asked.attempt.replies[from] = message.Kind
	}
	if asked.acquired {
		m.extend(now, asked)
		return nil
	}
	return m.decide(now, asked)
}

// decide ends the asking when its result is certain.
func (m *Machine) decide(now time.Duration, asked *claim) []Outbound {
	switch {
	case now >= asked.deadline:
		return m.reject(now, asked)
	case asked.attempt.granted():
		asked.acquired = true
		asked.validUntil = asked.attempt.sentAt + m.config.validFor()
		asked.nextSendAt = asked.attempt.sentAt + m.config.renewInterval()
		m.decisions = append(m.decisions, Decision{Number: asked.number, Outcome: Acquired})
		return nil
	case asked.attempt.hopeless():
		return m.reject(now, asked)
	default:
		return nil
	}
}

// extend extends a held claim by a renewal that a majority has acknowledged.
// A claim that has been lost stays lost: others may have had it since.
func (m *Machine) extend(now time.Duration, held *claim) {
	if now < held.validUntil && held.attempt.granted() {
		held.validUntil = max(held.validUntil, held.attempt.sentAt+m.config.validFor())
		held.nextSendAt = max(held.nextSendAt, held.attempt.sentAt+m.config.renewInterval())
	}
}

// reject ends a claim that is not held.
func (m *Machine) reject(now time.Duration, asked *claim) []Outbound {
	outcome := Undecided
	if asked.attempt.conflicting() {
		outcome = AlreadyClaimed
	}
	m.decisions = append(m.decisions, Decision{Number: asked.number, Outcome: outcome})
	return m.release(now, asked)
}

// release tells the homes that the request of a claim does not run.
func (m *Machine) release(now time.Duration, ended *claim) []Outbound {
	m.forget(ended)
	return m.deliver(now, m.messages(ended, Release))
}

// forget forgets a claim of this node.
func (m *Machine) forget(ended *claim) {
	delete(m.claims, ended.number)
	if at, present := slices.BinarySearch(m.numbers, ended.number); present {
		m.numbers = slices.Delete(m.numbers, at, at+1)
	}
}
