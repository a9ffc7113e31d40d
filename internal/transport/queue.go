package transport

import "sync"

// queue is the bounded queue of frames for one peer. It drops the oldest frames when a
// new one would exceed its bounds. It is safe for concurrent use.
type queue struct {
	maxFrames int
	maxBytes  int
	// ready contains a token when the queue may contain frames.
	ready chan struct{}

	mutex  sync.Mutex
	frames [][]byte
	bytes  int
}

func newQueue(maxFrames, maxBytes int) *queue {
	return &queue{maxFrames: maxFrames, maxBytes: maxBytes, ready: make(chan struct{}, 1)}
}

// push adds a frame and returns how many older frames it dropped. A frame larger than
// maxBytes is queued alone: Send accepts no frame larger than MaxFrameBytes.
func (q *queue) push(frame []byte) (dropped int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for len(q.frames) > 0 && (len(q.frames) >= q.maxFrames || q.bytes+len(frame) > q.maxBytes) {
		q.removeOldest()
		dropped++
	}
	q.frames = append(q.frames, frame)
	q.bytes += len(frame)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return dropped
}

// pop removes and returns the oldest frames, as many as fit into maxBytes together. If
// the oldest frame alone is larger, pop returns that frame.
func (q *queue) pop(maxBytes int) [][]byte {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var batch [][]byte
	batched := 0
	for len(q.frames) > 0 && (len(batch) == 0 || batched+len(q.frames[0]) <= maxBytes) {
		oldest := q.removeOldest()
		batched += len(oldest)
		batch = append(batch, oldest)
	}
	if len(q.frames) == 0 {
		q.frames = nil
	}
	return batch
}

// size returns the number of queued frames and the sum of their sizes.
func (q *queue) size() (frames, bytes int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.frames), q.bytes
}

// removeOldest removes and returns the oldest frame of a queue that is not empty. The
// caller holds the mutex.
func (q *queue) removeOldest() []byte {
	oldest := q.frames[0]
	q.frames[0] = nil
	q.frames = q.frames[1:]
	q.bytes -= len(oldest)
	return oldest
}
