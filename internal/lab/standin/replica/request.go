package replica

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

const (
	defaultOutputTokens = 128
	maxOutputTokens     = 1 << 16
	// chunkTokens is the number of output tokens per event of a stream.
	chunkTokens = 8
	eventStream = "text/event-stream"
)

// pullRange identifies the chunks to pull before prefill: positions first to last,
// inclusive, from the address source.
type pullRange struct {
	source string
	first  int
	last   int
}

// call is a generate request parsed from its headers.
type call struct {
	request emulator.Request
	pull    *pullRange
	stream  bool
}

func readCall(header http.Header) (call, error) {
	var read call
	var err error
	read.request = emulator.Request{
		RequestID:  header.Get(protocol.HeaderRequestID),
		AttemptID:  header.Get(protocol.HeaderAttemptID),
		Tenant:     header.Get(standin.HeaderTenant),
		Repeatable: header.Get(protocol.HeaderRepeatable),
		Model:      header.Get(protocol.HeaderModel),
		CacheSalt:  header.Get(protocol.HeaderCacheSalt),
	}
	if read.request.Chunks, err = parsePrefix(header.Get(protocol.HeaderPrefix)); err != nil {
		return read, err
	}
	if read.request.Attempt, err = positive(header, protocol.HeaderAttempt, 1, 1<<16); err != nil {
		return read, err
	}
	output, err := positive(header, protocol.HeaderOutputTokens, defaultOutputTokens, maxOutputTokens)
	if err != nil {
		return read, err
	}
	read.request.OutputTokens = uint32(output)
	read.stream = strings.Contains(header.Get("Accept"), eventStream)
	if read.stream {
		read.request.ChunkTokens = chunkTokens
	}
	read.pull, err = parsePull(header.Get(protocol.HeaderPullSource), header.Get(protocol.HeaderPullChunks))
	read.request.AwaitPull = read.pull != nil
	return read, err
}

// parsePrefix parses `id;tokens=N, id;tokens=N`. It returns no chunks if the header
// is absent.
func parsePrefix(text string) ([]prefixindex.Chunk, error) {
	if strings.TrimSpace(text) == "" {
		return nil, nil
	}
	var chunks []prefixindex.Chunk
	for _, item := range strings.Split(text, ",") {
		id, parameter, found := strings.Cut(strings.TrimSpace(item), ";")
		value, named := strings.CutPrefix(strings.TrimSpace(parameter), "tokens=")
		tokens, err := strconv.ParseUint(value, 10, 32)
		if id == "" || !found || !named || err != nil || tokens == 0 {
			return nil, errors.Errorf("%s part %q is not `id;tokens=N`; give each part an ID and a positive length", protocol.HeaderPrefix, item)
		}
		chunks = append(chunks, prefixindex.Chunk{ID: strings.TrimSpace(id), Tokens: uint32(tokens)})
	}
	return chunks, nil
}

func parsePull(source, chunks string) (*pullRange, error) {
	if source == "" {
		return nil, nil
	}
	firstText, lastText, found := strings.Cut(chunks, "-")
	first, firstErr := strconv.Atoi(strings.TrimSpace(firstText))
	last, lastErr := strconv.Atoi(strings.TrimSpace(lastText))
	if !found || firstErr != nil || lastErr != nil || first < 0 || last < first {
		return nil, errors.Errorf("%s %q is not `first-last`; count positions in %s from 0", protocol.HeaderPullChunks, chunks, protocol.HeaderPrefix)
	}
	return &pullRange{source: source, first: first, last: last}, nil
}

func positive(header http.Header, name string, absent, limit int) (int, error) {
	text := header.Get(name)
	if text == "" {
		return absent, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 1 || value > limit {
		return 0, errors.Errorf("%s %q must be a number from 1 to %d", name, text, limit)
	}
	return value, nil
}
