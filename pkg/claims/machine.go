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
	// order holds the numbers of the claims, ascending.
	order     []Number
	last      Number
	decisions []Decision
	// seenEpoch is the newest epoch that a claimant named.
	seenEpoch uint64
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
// Config.DecideWithin later.
func (m *Machine) Claim(now time.Duration, key Key) (Number, []Outbound, error) {
	if len(m.directory) == 0 {
		return 0, nil, errors.WithStack(ErrNoDirectory)
	}
	m.last++
	asked := &claim{number: m.last, key: key, decideBy: now + m.config.DecideWithin}
	m.claims[asked.number] = asked
	m.order = append(m.order, asked.number)
	return asked.number, m.begin(now, asked), nil
}

// MayRun tells whether a held claim is still valid, so that its request may be
// sent to a back end now.
func (m *Machine) MayRun(now time.Duration, number Number) bool {
	held, present := m.claims[number]
	return present && held.held && now < held.validUntil
}

// End ends a held claim. A request that may have run is remembered from now
// on; one that has certainly not run may be claimed again.
func (m *Machine) End(now time.Duration, number Number, mayHaveRun bool) []Outbound {
	held, present := m.claims[number]
	if !present {
		return nil
	}
	lost := held.held && now >= held.validUntil
	if !mayHaveRun {
		return m.giveUp(now, held)
	}
	m.drop(held)
	if lost {
		return nil
	}
	held.round = m.nextRound(now, held)
	return m.deliver(now, m.messages(held, Renew))
}

// Decisions returns the decisions since the last call.
func (m *Machine) Decisions() []Decision {
	decided := m.decisions
	m.decisions = nil
	return decided
}

// Remembered returns how many claims this node remembers as a home.
func (m *Machine) Remembered() int {
	return len(m.home.entries)
}

// Step takes a message in.
func (m *Machine) Step(now time.Duration, from member.ID, message Message) []Outbound {
	switch message.Kind {
	case Ask, Renew:
		answer := message
		answer.Kind = m.answer(now, from, message)
		return m.deliver(now, []Outbound{{To: from, Message: answer}})
	case Release:
		m.home.release(from, message)
		return nil
	case Granted, Known, Unready, Full, Outdated:
		return m.answered(now, from, message)
	default:
		return nil
	}
}

// Tick asks silent homes again, renews what is held, and gives up what was not
// decided in time. A few ticks in Config.ResendEvery are enough.
func (m *Machine) Tick(now time.Duration) []Outbound {
	m.home.tick(now)
	var out []Outbound
	for _, number := range slices.Clone(m.order) {
		if present, open := m.claims[number]; open {
			out = append(out, m.tickClaim(now, present)...)
		}
	}
	return out
}

// tickClaim does what is due for one claim.
func (m *Machine) tickClaim(now time.Duration, due *claim) []Outbound {
	switch {
	case !due.held && now >= due.decideBy:
		return m.decideAgainst(now, due)
	case due.held && now >= due.validUntil:
		// Lost for good; End finds it so, and MayRun refuses.
		return nil
	case now < due.nextSend:
		return nil
	case due.held && (due.round.granted() || due.round.epoch != m.directory.epoch()):
		return m.begin(now, due)
	default:
		return m.resend(now, due)
	}
}

// answer decides as a home. A claimant whose directory is older than another's
// that was seen may know too few homes.
func (m *Machine) answer(now time.Duration, from member.ID, asked Message) Kind {
	if asked.Kind == Ask && asked.Epoch < max(m.directory.epoch(), m.seenEpoch) {
		return Outdated
	}
	m.seenEpoch = max(m.seenEpoch, asked.Epoch)
	return m.home.answer(now, from, asked)
}

// answered takes in a home's answer to the present round of a claim.
func (m *Machine) answered(now time.Duration, from member.ID, message Message) []Outbound {
	asked, present := m.claims[message.Number]
	if !present || message.Life != m.config.Life || message.Key != asked.key || message.Round != asked.round.number {
		return nil
	}
	// What has once been granted in a round stays so.
	if asked.round.answers[from] != Granted || message.Kind == Granted {
		asked.round.answers[from] = message.Kind
	}
	if asked.held {
		m.prolong(now, asked)
		return nil
	}
	return m.decide(now, asked)
}

// decide ends the asking when its result is certain.
func (m *Machine) decide(now time.Duration, asked *claim) []Outbound {
	switch {
	case now >= asked.decideBy:
		return m.decideAgainst(now, asked)
	case asked.round.granted():
		asked.held = true
		asked.validUntil = asked.round.sentAt + m.config.validFor()
		asked.nextSend = asked.round.sentAt + m.config.renewEvery()
		m.decisions = append(m.decisions, Decision{Number: asked.number, Outcome: Held})
		return nil
	case asked.round.hopeless():
		return m.decideAgainst(now, asked)
	default:
		return nil
	}
}

// prolong extends a held claim by a renewal that a majority has acknowledged.
// A claim that has been lost stays lost: others may have had it since.
func (m *Machine) prolong(now time.Duration, held *claim) {
	if now < held.validUntil && held.round.granted() {
		held.validUntil = max(held.validUntil, held.round.sentAt+m.config.validFor())
		held.nextSend = max(held.nextSend, held.round.sentAt+m.config.renewEvery())
	}
}

// decideAgainst ends a claim that is not held.
func (m *Machine) decideAgainst(now time.Duration, asked *claim) []Outbound {
	outcome := Undecided
	if asked.round.taken() {
		outcome = Taken
	}
	m.decisions = append(m.decisions, Decision{Number: asked.number, Outcome: outcome})
	return m.giveUp(now, asked)
}

// giveUp tells the homes that the request of a claim does not run.
func (m *Machine) giveUp(now time.Duration, ended *claim) []Outbound {
	m.drop(ended)
	return m.deliver(now, m.messages(ended, Release))
}

// drop forgets a claim of this node.
func (m *Machine) drop(ended *claim) {
	delete(m.claims, ended.number)
	if at, present := slices.BinarySearch(m.order, ended.number); present {
		m.order = slices.Delete(m.order, at, at+1)
	}
}
