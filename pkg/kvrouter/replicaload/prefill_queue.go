package replicaload

import "slices"

// Priorities is the number of priorities of requests, 0 being the most urgent.
const Priorities = 10

// minRemainingFraction is the least fraction of a prompt that counts as still to be
// computed until the first event of its request has arrived.
const minRemainingFraction = 0.05

// PrefillWork is the prompt of a local request whose first event has not arrived yet.
type PrefillWork struct {
	priority uint8
	// tokens is the number of tokens that the replica has to compute, and remaining the
	// estimate of how many of them are not computed yet.
	tokens    float64
	remaining float64
}

// prefillQueue estimates how much of the prompts of local requests a replica still
// has to compute. The replica is assumed to compute one prompt at a time, the most urgent
// first, and those of equal priority in order of arrival.
type prefillQueue struct {
	work []*PrefillWork
}

func (q *prefillQueue) add(priority uint8, tokens float64) *PrefillWork {
	added := &PrefillWork{priority: priority, tokens: tokens, remaining: tokens}
	q.work = append(q.work, added)
	return added
}

func (q *prefillQueue) remove(work *PrefillWork) {
	q.work = slices.DeleteFunc(q.work, func(other *PrefillWork) bool { return other == work })
}

// remaining sums the tokens that are still to be computed.
func (q *prefillQueue) remaining() (sum float64) {
	for _, work := range q.work {
		sum += work.remaining
	}
	return sum
}

// addByPriority adds the remaining tokens of each priority to its sum.
func (q *prefillQueue) addByPriority(sums *[Priorities]float64) {
	for _, work := range q.work {
		sums[work.priority] += work.remaining
	}
}

// drain subtracts tokens that the replica has computed since the last call, from the most
// urgent prompts first.
func (q *prefillQueue) drain(tokens float64) {
	for priority := uint8(0); priority < Priorities && tokens > 0; priority++ {
		tokens = q.drainPriority(priority, tokens)
	}
}

func (q *prefillQueue) drainPriority(priority uint8, tokens float64) (unused float64) {
	for _, work := range q.work {
		if work.priority != priority {
			continue
		}
		computed := min(max(work.remaining-minRemainingFraction*work.tokens, 0), tokens)
		work.remaining -= computed
		tokens -= computed
	}
	return tokens
}
