package recording

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
)

// check returns an error for a record that cannot be replayed.
func (r Record) check() error {
	switch {
	case r.AtUS < 0 || r.FirstUS < 0 || r.TotalUS < 0 || r.DeadlineMS < 0:
		return errors.New("a time is negative")
	case r.DeadlineMS > caller.MaxDeadlineMilliseconds:
		return errors.Errorf("deadline_ms is above %d", caller.MaxDeadlineMilliseconds)
	case r.Host == "":
		return errors.New("host is missing")
	case (r.Pool == "") == (r.WebService == ""):
		return errors.New("exactly one of pool and web_service must be given")
	case r.OutputTokens > caller.MaxOutputTokens:
		return errors.Errorf("output_tokens is above %d", caller.MaxOutputTokens)
	case strings.IndexFunc(r.Host+r.Model, notPrintable) >= 0:
		return errors.New("host or model holds a character that no header may have")
	}
	if err := r.checkOutcome(); err != nil {
		return err
	}
	return r.checkChunks()
}

func (r Record) checkOutcome() error {
	switch r.Outcome {
	case Completed, Truncated, Disconnected:
		return nil
	case Refused:
		if r.Problem == "" {
			return errors.New("problem is missing from a refused request")
		}
		return nil
	}
	return errors.Errorf("outcome %q is unknown", r.Outcome)
}

// checkChunks applies the bounds on what a caller may send, since the chunks become a
// header.
func (r Record) checkChunks() error {
	if len(r.Chunks) > caller.MaxChunks {
		return errors.Errorf("there are more than %d parts", caller.MaxChunks)
	}
	for _, chunk := range r.Chunks {
		if chunk.ID == "" || len(chunk.ID) > caller.MaxChunkIDBytes || strings.IndexFunc(chunk.ID, notPlain) >= 0 {
			return errors.Errorf("the part name %q holds more than letters, digits, '.', '_' and '-'", chunk.ID)
		}
		if chunk.Tokens == 0 || chunk.Tokens > caller.MaxChunkTokens {
			return errors.Errorf("the part %q has %d tokens; 1 to %d are possible", chunk.ID, chunk.Tokens, caller.MaxChunkTokens)
		}
	}
	if r.PromptTokens() > caller.MaxPromptTokens {
		return errors.Errorf("the prompt has more than %d tokens", caller.MaxPromptTokens)
	}
	return nil
}

func notPrintable(character rune) bool {
	return character <= ' ' || character > '~'
}

func notPlain(character rune) bool {
	letter := character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z'
	digit := character >= '0' && character <= '9'
	return !letter && !digit && !strings.ContainsRune("._-", character)
}
