package replica

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/outbound"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	// maxEventBytes bounds one line of the event stream.
	maxEventBytes = 64 << 20
	// eventBufferBytes is the initial size of the buffer for a line, which grows as needed.
	// It is small because a node reads thousands of streams.
	eventBufferBytes = 2 << 10
	// hexBase is the base of hashes in events.
	hexBase = 16
	// hashBits is the size of a hash in bits.
	hashBits = 64
)

// Position is the position of a reader in the events of a back end. The zero Position is that of
// a reader that has seen no event.
type Position struct {
	// Incarnation is the incarnation of the back end that Sequence belongs to.
	Incarnation uint64
	// Sequence is the newest sequence number seen, or 0.
	Sequence uint64
}

// EventClient reads the event streams of replicas.
type EventClient struct {
	sender *outbound.Client
	// idleTimeout is the time without an event after which a stream is ended.
	idleTimeout time.Duration
}

// NewEventClient returns a client that ends a stream that has no event for idleTimeout.
func NewEventClient(sender *outbound.Client, idleTimeout time.Duration) *EventClient {
	return &EventClient{sender: sender, idleTimeout: idleTimeout}
}

// Follow reads the events after a position, and passes each to handle in the caller's goroutine.
// For the zero Position the stream begins with a reset event. Follow returns, always with an
// error, when the stream ends, has no event for the idle time-out, or cannot be read. If handle
// returns an error, Follow returns that error.
func (c *EventClient) Follow(ctx context.Context, address string, after Position, handle func(Event) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(c.idleTimeout, cancel)
	defer watchdog.Stop()
	response, err := c.sender.Get(ctx, eventsURL(address, after))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s of %s answered with status %d", PathEvents, address, response.StatusCode)
	}
	return readEvents(response.Body, func(event Event) error {
		watchdog.Reset(c.idleTimeout)
		return handle(event)
	})
}

// eventsURL returns the URL of the event stream after a position.
func eventsURL(address string, after Position) string {
	if after.Sequence == 0 {
		return "http://" + address + PathEvents
	}
	return fmt.Sprintf("http://%s%s?after=%d&incarnation=%d", address, PathEvents, after.Sequence, after.Incarnation)
}

// readEvents parses JSON lines and passes each event to handle. It always returns an error:
// io.ErrUnexpectedEOF if the stream ends.
func readEvents(stream io.Reader, handle func(Event) error) error {
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 0, eventBufferBytes), maxEventBytes)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var event Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return errors.Wrap(err, "decode an event")
		}
		if err := handle(event); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(io.ErrUnexpectedEOF)
}

// Links returns the chunks of an event as links of the prefix index.
func (e Event) Links() ([]prefixindex.Link, error) {
	links := make([]prefixindex.Link, len(e.Chunks))
	for position, chunk := range e.Chunks {
		hash, err := strconv.ParseUint(chunk.Hash, hexBase, hashBits)
		if err != nil {
			return nil, errors.Wrapf(err, "parse the hash of chunk %d of an event", position)
		}
		links[position] = prefixindex.Link{Hash: prefixindex.ChainHash(hash), Tokens: chunk.Tokens}
	}
	return links, nil
}

// Hashes returns the chain hashes of the chunks of an event.
func (e Event) Hashes() ([]prefixindex.ChainHash, error) {
	links, err := e.Links()
	if err != nil {
		return nil, err
	}
	hashes := make([]prefixindex.ChainHash, len(links))
	for position, link := range links {
		hashes[position] = link.Hash
	}
	return hashes, nil
}

// Age returns the age of the report when it was sent.
func (r Report) Age() time.Duration {
	return time.Duration(r.AgeMS) * time.Millisecond
}
