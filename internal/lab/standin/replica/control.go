package replica

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	protocol "github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/standin"
)

// report serves the delayed report.
func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Report())
}

// loadWeights handles a weights command. It responds with status 200 if the version
// is already loaded, 202 if it is being loaded, and 409 if the epoch is lower than
// one seen before.
func (s *Server) loadWeights(w http.ResponseWriter, r *http.Request) {
	var command protocol.WeightsCommand
	if !standin.ReadJSON(w, r, &command) {
		return
	}
	if command.WeightVersion == "" {
		standin.WriteJSON(w, http.StatusBadRequest, standin.Problem{Kind: "no_weight_version", Message: "the command must name a weight version"})
		return
	}
	outcome, err := s.command(command)
	var stale *emulator.StaleEpochError
	switch {
	case errors.As(err, &stale):
		standin.WriteJSON(w, http.StatusConflict, standin.Problem{Kind: "epoch_stale", Message: err.Error()})
	case err != nil:
		refuse(w, err)
	case outcome == emulator.CommandLoaded:
		standin.WriteJSON(w, http.StatusOK, s.Report())
	default:
		standin.WriteJSON(w, http.StatusAccepted, s.Report())
	}
}

func (s *Server) command(command protocol.WeightsCommand) (emulator.CommandOutcome, error) {
	var outcome emulator.CommandOutcome
	var err error
	s.updateAndWake(func(now time.Duration) {
		outcome, err = s.model.Command(now, command)
		s.commands = append(s.commands, CommandRecord{
			UnixNano:      s.clock.UnixNano(now),
			Sender:        command.Leader,
			Epoch:         command.Epoch,
			WeightVersion: command.WeightVersion,
			Accepted:      err == nil,
		})
	})
	return outcome, err
}

func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.faults.Current())
}

// setFaults replaces the faults, and crashes the replica if Crash is set.
func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	faults, ok := standin.ReadFaults(w, r)
	if !ok {
		return
	}
	crash := faults.Crash
	faults.Crash = false
	s.faults.Set(faults)
	s.updateAndWake(func(now time.Duration) {
		s.model.Drain(now, faults.Draining)
		if crash {
			s.crash(now)
		}
	})
	standin.WriteJSON(w, http.StatusOK, faults)
}

// crash discards the memory of the model and aborts every open response. The caller
// must hold the mutex.
func (s *Server) crash(now time.Duration) {
	s.model.Crash(now)
	close(s.crashed)
	s.crashed = make(chan struct{})
}
