package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// minPushTokens is the minimum length of a chunk that is pushed to the store;
// shorter chunks are not worth storing.
const minPushTokens = 256

// pullTimeout is how long, in model time, an attempt waits for pulled chunks before
// it computes them.
const pullTimeout = 15 * time.Second

// serveChunk serves a cached chunk to a peer after the simulated transfer time.
func (s *Server) serveChunk(w http.ResponseWriter, r *http.Request) {
	hash, err := emulator.ParseHash(r.PathValue("hash"))
	if err != nil {
		standin.WriteJSON(w, http.StatusBadRequest, standin.Problem{Kind: "bad_hash", Message: "the part's name must be a hexadecimal chain hash"})
		return
	}
	var kept []emulator.CachedChunk
	s.update(func(now time.Duration) { kept = s.model.Export(now, []prefixindex.ChainHash{hash}) })
	if len(kept) == 0 {
		standin.WriteJSON(w, http.StatusNotFound, standin.Problem{Kind: "not_kept", Message: "the part is not kept here; compute it"})
		return
	}
	links := s.settings.Links
	links.Slowdown = s.faults.Current().SlowLink
	transfer := links.TransferTime(s.settings.Model.Zone, r.Header.Get(standin.HeaderZone), uint64(kept[0].Tokens))
	if standin.Wait(r.Context(), s.clock.Real(transfer)) != nil {
		return
	}
	standin.WriteJSON(w, http.StatusOK, kept[0])
}

// pull fetches the missing chunks of an attempt in order, stops at the first error
// or at the time-out, and lets the attempt continue with the chunks fetched so far.
func (s *Server) pull(ctx context.Context, handle emulator.Handle, requested pullRange) {
	ctx, cancel := context.WithTimeout(ctx, s.clock.Real(pullTimeout))
	defer cancel()
	var missing []prefixindex.ChainHash
	s.update(func(time.Duration) { missing = s.model.Missing(handle, requested.first, requested.last) })
	var chunks []emulator.CachedChunk
	for _, hash := range missing {
		chunk, err := s.fetch(ctx, requested.source, hash)
		if err != nil {
			break
		}
		chunks = append(chunks, chunk)
	}
	s.updateAndWake(func(now time.Duration) { s.model.PullDone(now, handle, chunks) })
}

func (s *Server) fetch(ctx context.Context, source string, hash prefixindex.ChainHash) (emulator.CachedChunk, error) {
	var chunk emulator.CachedChunk
	url := "http://" + source + protocol.PathChunks + emulator.FormatHash(hash)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return chunk, errors.Wrap(err, "replica: fetch chunk")
	}
	request.Header.Set(standin.HeaderZone, s.settings.Model.Zone)
	response, err := s.client.Do(request)
	if err != nil {
		return chunk, errors.Wrap(err, "replica: fetch chunk")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return chunk, errors.Errorf("replica: chunk source %s does not have chunk %s", source, emulator.FormatHash(hash))
	}
	if err := json.NewDecoder(response.Body).Decode(&chunk); err != nil {
		return chunk, errors.Wrap(err, "replica: decode fetched chunk")
	}
	if chunk.Hash != hash {
		return chunk, errors.Errorf("replica: chunk source %s returned a chunk with another hash", source)
	}
	return chunk, nil
}

// pushNewChunks pushes each newly cached chunk of at least minPushTokens to the
// store.
func (s *Server) pushNewChunks(ctx context.Context) {
	var position standin.Position
	for {
		events, more := s.EventsAfter(position)
		for _, event := range events {
			position = standin.Position{Known: true, Incarnation: event.Incarnation, Sequence: event.Sequence}
			if event.Kind == protocol.EventStored {
				s.pushChunks(ctx, event.Chunks)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-more:
		}
	}
}

func (s *Server) pushChunks(ctx context.Context, chunks []protocol.Chunk) {
	for _, shown := range chunks {
		hash, err := emulator.ParseHash(shown.Hash)
		if err != nil || shown.Tokens < minPushTokens {
			continue
		}
		var chunk emulator.CachedChunk
		var kept bool
		s.update(func(time.Duration) { chunk, kept = s.model.Chunk(hash) })
		// Chunks are not pushed again after an error: the store is a cache and may
		// miss chunks while it is down.
		if kept && s.push(ctx, chunk) != nil {
			return
		}
	}
}

func (s *Server) push(ctx context.Context, chunk emulator.CachedChunk) error {
	body, err := json.Marshal(chunk)
	if err != nil {
		return errors.Wrap(err, "replica: push chunk")
	}
	url := "http://" + s.settings.Store + protocol.PathChunks + emulator.FormatHash(chunk.Hash)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "replica: push chunk")
	}
	request.Header.Set(standin.HeaderZone, s.settings.Model.Zone)
	response, err := s.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "replica: push chunk")
	}
	return errors.Wrap(response.Body.Close(), "replica: push chunk")
}
