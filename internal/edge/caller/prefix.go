package caller

import (
	"strconv"
	"strings"

	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

// tokensParameter is the only parameter of a part.
const tokensParameter = "tokens"

// ParsePrefix reads `id;tokens=N, id;tokens=N`. A returned error is a *Problem.
func ParsePrefix(value string) ([]prefixindex.Chunk, error) {
	if strings.TrimSpace(value) == "" {
		return nil, nil
	}
	fields := strings.Split(value, ",")
	if len(fields) > MaxParts {
		return nil, NewProblem(KindBadRequest, "%s lists %d parts: send at most %d", HeaderPrefix, len(fields), MaxParts)
	}
	parts := make([]prefixindex.Chunk, len(fields))
	total := uint64(0)
	for position, field := range fields {
		part, err := parsePart(position, field)
		if err != nil {
			return nil, err
		}
		parts[position] = part
		total += uint64(part.Tokens)
	}
	if total > MaxPromptTokens {
		return nil, NewProblem(KindBadRequest, "%s counts %d tokens: send at most %d", HeaderPrefix, total, MaxPromptTokens)
	}
	return parts, nil
}

// FormatPrefix writes parts as ParsePrefix reads them.
func FormatPrefix(parts []prefixindex.Chunk) string {
	var text strings.Builder
	text.Grow(prefixBytes(parts))
	for position, part := range parts {
		if position > 0 {
			text.WriteString(", ")
		}
		text.WriteString(part.ID)
		text.WriteString(";" + tokensParameter + "=")
		text.WriteString(strconv.FormatUint(uint64(part.Tokens), 10))
	}
	return text.String()
}

// prefixBytes bounds the length of the parts as text.
func prefixBytes(parts []prefixindex.Chunk) int {
	const besidesID = len(", ;"+tokensParameter+"=") + len("4294967295")
	total := besidesID * len(parts)
	for _, part := range parts {
		total += len(part.ID)
	}
	return total
}

// parsePart reads one part.
func parsePart(position int, field string) (prefixindex.Chunk, error) {
	id, parameter, found := strings.Cut(field, ";")
	id = strings.TrimSpace(id)
	name, value, assigned := strings.Cut(strings.TrimSpace(parameter), "=")
	if !found || !assigned || name != tokensParameter {
		return prefixindex.Chunk{}, partProblem(position, field)
	}
	if id == "" || len(id) > MaxPartIDBytes || strings.ContainsAny(id, " \t\"\\=") {
		return prefixindex.Chunk{}, partProblem(position, field)
	}
	tokens, err := strconv.ParseUint(value, 10, 32)
	if err != nil || tokens == 0 || tokens > MaxPartTokens {
		return prefixindex.Chunk{}, partProblem(position, field)
	}
	return prefixindex.Chunk{ID: id, Tokens: uint32(tokens)}, nil
}

// partProblem says which part cannot be read.
func partProblem(position int, field string) *Problem {
	const quoted = 80
	if len(field) > quoted {
		field = field[:quoted]
	}
	return NewProblem(KindBadRequest, "%s part %d is %q: write each part as id;tokens=N with N from 1 to %d",
		HeaderPrefix, position+1, field, MaxPartTokens)
}
