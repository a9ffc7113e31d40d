package caller

import (
	"strconv"
	"strings"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// tokensParameter is the only parameter of a chunk.
const tokensParameter = "tokens"

// ParsePrefix parses the value of HeaderPrefix, `id;tokens=N, id;tokens=N`. A returned error is an
// *Error.
func ParsePrefix(value string) ([]prefixindex.Chunk, error) {
	if strings.TrimSpace(value) == "" {
		return nil, nil
	}
	fields := strings.Split(value, ",")
	if len(fields) > MaxChunks {
		return nil, NewError(KindBadRequest, "%s lists %d parts: send at most %d", HeaderPrefix, len(fields), MaxChunks)
	}
	chunks := make([]prefixindex.Chunk, len(fields))
	total := uint64(0)
	for position, field := range fields {
		chunk, err := parseChunk(position, field)
		if err != nil {
			return nil, err
		}
		chunks[position] = chunk
		total += uint64(chunk.Tokens)
	}
	if total > MaxPromptTokens {
		return nil, NewError(KindBadRequest, "%s counts %d tokens: send at most %d", HeaderPrefix, total, MaxPromptTokens)
	}
	return chunks, nil
}

// FormatPrefix formats chunks as a value that ParsePrefix parses.
func FormatPrefix(chunks []prefixindex.Chunk) string {
	var text strings.Builder
	text.Grow(prefixBytes(chunks))
	for position, chunk := range chunks {
		if position > 0 {
			text.WriteString(", ")
		}
		text.WriteString(chunk.ID)
		text.WriteString(";" + tokensParameter + "=")
		text.WriteString(strconv.FormatUint(uint64(chunk.Tokens), 10))
	}
	return text.String()
}

// prefixBytes returns an upper bound of the length of the chunks as formatted by FormatPrefix.
func prefixBytes(chunks []prefixindex.Chunk) int {
	const besidesID = len(", ;"+tokensParameter+"=") + len("4294967295")
	total := besidesID * len(chunks)
	for _, chunk := range chunks {
		total += len(chunk.ID)
	}
	return total
}

// parseChunk parses one chunk, `id;tokens=N`.
func parseChunk(position int, field string) (prefixindex.Chunk, error) {
	id, parameter, found := strings.Cut(field, ";")
	id = strings.TrimSpace(id)
	name, value, assigned := strings.Cut(strings.TrimSpace(parameter), "=")
	if !found || !assigned || name != tokensParameter {
		return prefixindex.Chunk{}, invalidChunk(position, field)
	}
	if id == "" || len(id) > MaxChunkIDBytes || strings.ContainsAny(id, " \t\"\\=") {
		return prefixindex.Chunk{}, invalidChunk(position, field)
	}
	tokens, err := strconv.ParseUint(value, 10, 32)
	if err != nil || tokens == 0 || tokens > MaxChunkTokens {
		return prefixindex.Chunk{}, invalidChunk(position, field)
	}
	return prefixindex.Chunk{ID: id, Tokens: uint32(tokens)}, nil
}

// invalidChunk returns the error for a chunk that cannot be parsed.
func invalidChunk(position int, field string) *Error {
	const quoted = 80
	if len(field) > quoted {
		field = field[:quoted]
	}
	return NewError(KindBadRequest, "%s part %d is %q: write each part as id;tokens=N with N from 1 to %d",
		HeaderPrefix, position+1, field, MaxChunkTokens)
}
