package replica

import (
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
)

// ExecutionRecord is the ground truth about one attempt that arrived, as served at
// /lab/executions. Times are Unix nanoseconds; 0 means never.
type ExecutionRecord struct {
	Replica    string `json:"replica"`
	RequestID  string `json:"request_id"`
	Attempt    int    `json:"attempt"`
	AttemptID  string `json:"attempt_id"`
	Tenant     string `json:"tenant"`
	Repeatable string `json:"repeatable"`
	Model      string `json:"model"`
	CacheSalt  string `json:"cache_salt"`
	// Outcome is one of the outcomes of package emulator.
	Outcome string `json:"outcome"`
	Refusal string `json:"refusal,omitempty"`
	// Started reports whether the request has run at least in part.
	Started            bool  `json:"started"`
	ArrivedUnixNano    int64 `json:"arrived_unix_nano"`
	StartedUnixNano    int64 `json:"started_unix_nano"`
	FirstTokenUnixNano int64 `json:"first_token_unix_nano"`
	FinishedUnixNano   int64 `json:"finished_unix_nano"`
	// Delivered reports whether the complete response was written to the connection.
	Delivered          bool                   `json:"delivered"`
	PrefilledTokens    uint64                 `json:"prefilled_tokens"`
	ReusedTokens       uint64                 `json:"reused_tokens"`
	ReusedChunks       []emulator.ReusedChunk `json:"reused_parts"`
	WeightVersion      string                 `json:"weight_version"`
	FinalWeightVersion string                 `json:"final_weight_version"`
}

// CommandRecord is one weights command, as served at /lab/commands.
type CommandRecord struct {
	UnixNano      int64  `json:"unix_nano"`
	Sender        string `json:"holder"`
	Epoch         uint64 `json:"epoch"`
	WeightVersion string `json:"weight_version"`
	Accepted      bool   `json:"accepted"`
}

// Executions returns the ground truth about every attempt, in order of arrival.
func (s *Server) Executions() []ExecutionRecord {
	var records []ExecutionRecord
	s.update(func(time.Duration) {
		records = lo.Map(s.model.Executions(), func(execution *emulator.Execution, _ int) ExecutionRecord {
			return s.record(execution)
		})
	})
	return records
}

func (s *Server) record(execution *emulator.Execution) ExecutionRecord {
	request := execution.Request
	return ExecutionRecord{
		Replica:            s.settings.Model.Address,
		RequestID:          request.RequestID,
		Attempt:            request.Attempt,
		AttemptID:          request.AttemptID,
		Tenant:             request.Tenant,
		Repeatable:         request.Repeatable,
		Model:              request.Model,
		CacheSalt:          request.CacheSalt,
		Outcome:            string(execution.Outcome),
		Refusal:            string(execution.Refusal),
		Started:            execution.Started,
		ArrivedUnixNano:    s.clock.UnixNano(execution.ArrivedAt),
		StartedUnixNano:    s.unixNanoOrNever(execution.StartedAt),
		FirstTokenUnixNano: s.unixNanoOrNever(execution.FirstTokenAt),
		FinishedUnixNano:   s.unixNanoOrNever(execution.FinishedAt),
		Delivered:          s.delivered[execution.Handle],
		PrefilledTokens:    execution.PrefilledTokens,
		ReusedTokens:       execution.ReusedTokens,
		ReusedChunks:       execution.Reused,
		WeightVersion:      execution.WeightVersion,
		FinalWeightVersion: execution.FinalWeightVersion,
	}
}

// unixNanoOrNever converts model time to Unix nanoseconds. It returns 0 for model
// time 0, which means never.
func (s *Server) unixNanoOrNever(at time.Duration) int64 {
	if at == 0 {
		return 0
	}
	return s.clock.UnixNano(at)
}

func (s *Server) recordDelivered(handle emulator.Handle) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delivered[handle] = true
}

func (s *Server) showExecutions(w http.ResponseWriter, _ *http.Request) {
	standin.WriteLines(w, s.Executions())
}

func (s *Server) showCommands(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	commands := append([]CommandRecord(nil), s.commands...)
	s.mutex.Unlock()
	standin.WriteLines(w, commands)
}
