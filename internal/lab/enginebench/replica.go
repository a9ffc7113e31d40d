package enginebench

import (
	"slices"
	"time"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// replicaRequest is a request on a replica.
type replicaRequest struct {
	arrival *arrival
	// order is its number in the order of submission to the replica, from 1.
	order int
	// priority is its rank; 0 is the most urgent.
	priority uint8
	// pinned are the IDs of the cached chunks that it uses.
	pinned []string
	// reserved are the tokens of memory that are reserved for it beside cached chunks,
	// and remainingPrefill the tokens of its prompt that are left to be read.
	reserved         int
	remainingPrefill int
	// produced counts the tokens of its output so far.
	produced int
	// running says that it is in the batch, and neither waits nor has ended.
	running bool
	// source is where it pulls from first, or nil, and save says whether it saves its
	// chunks to the store.
	source *owner
	save   bool
	// assumedTokens are the leading tokens that the router assumed to be cached.
	assumedTokens int
	// onFirstEvent and onDone are called with the time of the first and the last event.
	onFirstEvent func(now time.Duration)
	onDone       func(now time.Duration)
	// firstEventSent says that the first event was sent.
	firstEventSent bool
}

// owner is a replica or the store, as an end of transfers.
type owner struct {
	address string
	zone    int
	memory  *memory
	// linkFreeAt is when its transfers so far have ended.
	linkFreeAt        time.Duration
	linkBitsPerSecond float64
	// sequence is the sequence number of its last change.
	sequence uint64
}

// replica is the model of one replica.
type replica struct {
	owner
	engine *Engine
	// slowness multiplies the time of each step.
	slowness float64
	sim      *simulation
	// waiting is in the order of urgency, active the batch in that of admission.
	waiting []*replicaRequest
	active  []*replicaRequest
	// stepping says that a step is in progress.
	stepping bool
	// submitted counts the requests that were submitted.
	submitted int
}

// submit queues a request, after its pull if it has one.
func (r *replica) submit(now time.Duration, request *replicaRequest) {
	r.submitted++
	request.order = r.submitted
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
		r.storePulled(chunks)
		r.enqueue(now, request)
	})
}

// missing returns the chunks that the source caches and the replica lacks, as far as
// all chunks before are cached.
func (r *replica) missing(request *replicaRequest) (chunks []prefixindex.Chunk, tokens int) {
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

// storePulled adds pulled chunks to memory as far as it has capacity.
func (r *replica) storePulled(chunks []prefixindex.Chunk) {
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
func (r *replica) enqueue(now time.Duration, request *replicaRequest) {
	r.insertWaiting(request)
	r.startStep(now)
}

// insertWaiting inserts a request into the waiting ones, in the order of urgency.
func (r *replica) insertWaiting(request *replicaRequest) {
	position, _ := slices.BinarySearchFunc(r.waiting, request, compareUrgency)
	r.waiting = slices.Insert(r.waiting, position, request)
}

// compareUrgency orders requests by priority, and by arrival within one.
func compareUrgency(a, b *replicaRequest) int {
	if a.priority != b.priority {
		return int(a.priority) - int(b.priority)
	}
	return a.order - b.order
}

// startStep starts one step of the batch if there is anything to run.
func (r *replica) startStep(now time.Duration) {
	if r.stepping {
		return
	}
	budget := r.engine.PrefillChunk
	work, pairs, context := 0, 0.0, 0
	read := map[*replicaRequest]int{}
	for _, request := range r.active {
		context += request.arrival.promptTokens() - request.remainingPrefill + request.produced
		if request.remainingPrefill == 0 {
			continue
		}
		work += r.prefillSome(request, &budget, read, &pairs)
	}
	for len(r.waiting) > 0 && budget > 0 && len(r.active) < r.engine.Slots && r.admit(now, r.waiting[0]) {
		request := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.active = append(r.active, request)
		work += r.prefillSome(request, &budget, read, &pairs)
	}
	if len(r.active) == 0 {
		return
	}
	r.stepping = true
	took := r.engine.StepBase + r.engine.StepPerSlot*float64(len(r.active)) +
		r.engine.ContextPerThousand*float64(context)/1000 +
		float64(work)/r.engine.PrefillTokens + r.engine.PairsPerMillion*pairs/1e6
	r.sim.timers.Add(now+fromMilliseconds(took*r.slowness), func(now time.Duration) { r.finishStep(now, read) })
}

// prefillSome reads the next tokens of a prompt within the budget of the step.
func (r *replica) prefillSome(request *replicaRequest, budget *int, read map[*replicaRequest]int, pairs *float64) int {
	tokens := min(request.remainingPrefill, *budget)
	*budget -= tokens
	read[request] = tokens
	before := request.arrival.promptTokens() - request.remainingPrefill
	*pairs += float64(tokens) * (float64(before) + float64(tokens)/2)
	return tokens
}

// admit reserves memory for a request and finds what is cached of its prompt. It
// returns false when memory is full.
func (r *replica) admit(now time.Duration, request *replicaRequest) bool {
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
	request.remainingPrefill = prompt - cached

	request.running = true
	r.sim.result.readTokens += request.remainingPrefill
	r.sim.countReread(now, request, cached)
	return true
}

// finishStep ends a step, and starts the next.
func (r *replica) finishStep(now time.Duration, read map[*replicaRequest]int) {
	r.stepping = false
	for _, request := range slices.Clone(r.active) {
		if !request.running {
			continue
		}
		if tokens, reading := read[request]; reading {
			request.remainingPrefill -= tokens
			if request.remainingPrefill > 0 {
				continue
			}
			r.finishPrefill(now, request)
		}
		r.decodeToken(now, request)
	}
	r.startStep(now)
}

// finishPrefill caches the chunks of a prompt that was read.
func (r *replica) finishPrefill(now time.Duration, request *replicaRequest) {
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
func (r *replica) saveChunks(now time.Duration, request *replicaRequest) {
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
