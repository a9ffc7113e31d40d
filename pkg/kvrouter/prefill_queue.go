package kvrouter

import (
	"slices"
	"time"
)

// Priorities is the number of priorities of requests, 0 being the most urgent.
const Priorities = 10

// unfinishedFraction is the least share of a prompt that counts as unread until
// its first event has come.
const unfinishedFraction = 0.05

// prefillWork is the prompt of a request that has not answered yet.
type prefillWork struct {
	priority uint8
	tokens   float64
	unread   float64
}

// floor is the least that counts as left.
func (w *prefillWork) floor() float64 { return unfinishedFraction * w.tokens }

// prefillQueue estimates how much of the own requests' prompts a replica still
// has to read. The replica reads one prompt at a time, the most urgent first and
// otherwise in order of arrival.
type prefillQueue struct {
	work      []*prefillWork
	updatedAt time.Duration
}

func (q *prefillQueue) add(work *prefillWork) { q.work = append(q.work, work) }

func (q *prefillQueue) remove(work *prefillWork) {
	q.work = slices.DeleteFunc(q.work, func(other *prefillWork) bool { return other == work })
}

// unread sums what is unread.
func (q *prefillQueue) unread() (sum float64) {
	for _, work := range q.work {
		sum += work.unread
	}
	return sum
}

// byPriority adds what is unread to the sums of each priority.
func (q *prefillQueue) byPriority(sums *[Priorities]float64) {
	for _, work := range q.work {
		sums[work.priority] += work.unread
	}
}

// drain takes off tokens that the replica has read meanwhile.
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
		read := min(max(work.unread-work.floor(), 0), tokens)
		work.unread -= read
		tokens -= read
	}
	return tokens
}
