package enginebench

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// run is a request on a replica.
type run struct {
	arrival  *arrival
	order    int
	priority uint8
	// pinned are the chunks that it uses.
	pinned []string
	// reserved are its unshared tokens in memory, and unread the tokens of its prompt
	// that are left to be read.
	reserved int
	unread   int
	produced int
	running  bool
	// source is where it pulls from first, or nil, and save says whether it saves its
	// chunks to the store.
	source *owner
	save   bool
	// believed are the leading tokens that the router assumed to be cached.
	believed int
	// first and done are called with the time of the first and the last event.
	first func(now time.Duration)
	done  func(now time.Duration)
	// firstSent says that the first event was sent.
	firstSent bool
}

// owner is a replica or the store, as an end of transfers.
type owner struct {
	address string
	zone    int
	memory  *memory
	// linkFreeAt is when its transfers so far have ended.
	linkFreeAt time.Duration
	bits       float64
	feed       feedLog
}

// replica is the model of one replica. Waiting is in the order of urgency.
type replica struct {
	owner
	engine   *Engine
	slow     float64
	sim      *simulation
	waiting  []*run
	active   []*run
	stepping bool
	orders   int
}

// submit queues a request, after its pull if it has one.
func (r *replica) submit(now time.Duration, request *run) {
	r.orders++
	request.order = r.orders
	if request.source == nil {
		r.enqueue(now, request)
		return
	}
	chunks, tokens := r.missing(request)
	if tokens == 0 {
		r.sim.timers.Add(now+time.Millisecond, func(now time.Duration) { r.enqueue(now, request) })
		return
	}
	end, started := r.sim.transfer(now, request.source, &r.owner, tokens)
	if !started {
		r.enqueue(now, request)
		return
	}
	r.sim.result.movedTokens += tokens
	r.sim.timers.Add(end, func(now time.Duration) {
		r.store(chunks)
		r.enqueue(now, request)
	})
}

// missing returns the chunks that the source caches and the replica lacks, as far as
// all chunks before are cached.
func (r *replica) missing(request *run) (chunks []prefixindex.Chunk, tokens int) {
	cached, complete := r.memory.leading(request.arrival.chunks)
	_, theirs := request.source.memory.leading(request.arrival.chunks)
	if theirs <= complete {
		return nil, 0
	}
	chunks = request.arrival.chunks[complete:theirs]
	for _, chunk := range chunks {
		tokens += int(chunk.Tokens)
		request.source.memory.pin(chunk.ID)
		request.source.memory.unpin(chunk.ID)
	}
	leading := 0
	for _, chunk := range request.arrival.chunks[:complete] {
		leading += int(chunk.Tokens)
	}
	return chunks, tokens - (cached - leading)
}

// store adds pulled chunks to memory as far as it has capacity.
func (r *replica) store(chunks []prefixindex.Chunk) {
	for _, chunk := range chunks {
		if !r.memory.reserve(int(chunk.Tokens)) {
			return
		}
		if !r.memory.add(chunk.ID, int(chunk.Tokens)) {
			r.memory.release(int(chunk.Tokens))
		}
	}
}

// enqueue queues a request, and starts a step if none is in progress.
func (r *replica) enqueue(now time.Duration, request *run) {
	r.queue(request)
	r.step(now)
}

// queue inserts a request into the waiting ones, in the order of urgency.
func (r *replica) queue(request *run) {
	position, _ := slices.BinarySearchFunc(r.waiting, request, compareUrgency)
	r.waiting = slices.Insert(r.waiting, position, request)
}

// compareUrgency orders requests by priority, and by arrival within one.
func compareUrgency(a, b *run) int {
	if a.priority != b.priority {
		return int(a.priority) - int(b.priority)
	}
	return a.order - b.order
}

// step starts one step of the batch if there is anything to run.
func (r *replica) step(now time.Duration) {
	if r.stepping {
		return
	}
	budget := r.engine.PrefillChunk
	work, pairs, context := 0, 0.0, 0
	read := map[*run]int{}
	for _, request := range r.active {
		context += request.arrival.promptTokens() - request.unread + request.produced
		if request.unread == 0 {
			continue
		}
		work += r.readSome(request, &budget, read, &pairs)
	}
	for len(r.waiting) > 0 && budget > 0 && len(r.active) < r.engine.Slots && r.admit(now, r.waiting[0]) {
		request := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.active = append(r.active, request)
		work += r.readSome(request, &budget, read, &pairs)
	}
	if len(r.active) == 0 {
		return
	}
	r.stepping = true
	took := r.engine.StepBase + r.engine.StepPerSlot*float64(len(r.active)) +
		r.engine.ContextPerThousand*float64(context)/1000 +
		float64(work)/r.engine.PrefillTokens + r.engine.PairsPerMillion*pairs/1e6
	r.sim.timers.Add(now+fromMilliseconds(took*r.slow), func(now time.Duration) { r.stepped(now, read) })
}

// readSome reads the next tokens of a prompt within the budget of the step.
func (r *replica) readSome(request *run, budget *int, read map[*run]int, pairs *float64) int {
	tokens := min(request.unread, *budget)
	*budget -= tokens
	read[request] = tokens
	before := request.arrival.promptTokens() - request.unread
	*pairs += float64(tokens) * (float64(before) + float64(tokens)/2)
	return tokens
}

// admit reserves memory for a request and finds what is cached of its prompt. It
// returns false when memory is full.
func (r *replica) admit(now time.Duration, request *run) bool {
	cached, complete := r.memory.leading(request.arrival.chunks)
	prompt := request.arrival.promptTokens()
	cached = min(cached, prompt-1)
	for _, chunk := range request.arrival.chunks[:complete] {
		r.memory.pin(chunk.ID)
	}
	need := 0
	for _, chunk := range request.arrival.chunks[complete:] {
		need += int(chunk.Tokens)
	}
	if !r.memory.reserve(need + blockTokens) {
		for _, chunk := range request.arrival.chunks[:complete] {
			r.memory.unpin(chunk.ID)
		}
		return false
	}
	request.pinned = nil
	for _, chunk := range request.arrival.chunks[:complete] {
		request.pinned = append(request.pinned, chunk.ID)
	}
	request.reserved = need + blockTokens
	request.unread = prompt - cached

	request.running = true
	r.sim.result.readTokens += request.unread
	r.sim.countReread(now, request, cached)
	return true
}

// stepped ends a step, and starts the next.
func (r *replica) stepped(now time.Duration, read map[*run]int) {
	r.stepping = false
	for _, request := range slices.Clone(r.active) {
		if !request.running {
			continue
		}
		if tokens, reading := read[request]; reading {
			request.unread -= tokens
			if request.unread > 0 {
				continue
			}
			r.promptRead(now, request)
		}
		r.produce(now, request)
	}
	r.step(now)
}

// promptRead caches the chunks of a prompt that was read.
func (r *replica) promptRead(now time.Duration, request *run) {
	pinned := map[string]bool{}
	for _, id := range request.pinned {
		pinned[id] = true
	}
	for _, chunk := range request.arrival.chunks {
		if pinned[chunk.ID] {
			continue
		}
		tokens := int(chunk.Tokens)
		if r.memory.add(chunk.ID, tokens) {
			request.reserved -= tokens
			r.memory.used += alignToBlocks(tokens) - tokens
		}
		r.memory.pin(chunk.ID)
		request.pinned = append(request.pinned, chunk.ID)
	}
	if request.save {
		r.saveChunks(now, request)
	}
}

// saveChunks transfers the chunks that the store lacks to it.
func (r *replica) saveChunks(now time.Duration, request *run) {
	store := r.sim.store
	if store == nil {
		return
	}
	var lacking []prefixindex.Chunk
	tokens := 0
	for _, chunk := range request.arrival.chunks {
		if _, stored := store.memory.chunks[chunk.ID]; !stored {
			lacking = append(lacking, chunk)
			tokens += int(chunk.Tokens)
		}
	}
	if tokens == 0 {
		return
	}
	end, started := r.sim.transfer(now, &r.owner, store, tokens)
	if !started {
		return
	}
	r.sim.result.movedTokens += tokens
	r.sim.timers.Add(end, func(time.Duration) {
		for _, chunk := range lacking {
			if store.memory.reserve(int(chunk.Tokens)) && !store.memory.add(chunk.ID, int(chunk.Tokens)) {
				store.memory.release(int(chunk.Tokens))
			}
		}
	})
}

// fromMilliseconds converts a number of milliseconds to a duration.
func fromMilliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
