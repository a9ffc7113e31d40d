package checker_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/replica"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
	"github.com/ridgeswitch/ridgeswitch/pkg/attempts"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
	"github.com/ridgeswitch/ridgeswitch/pkg/retrybudget"
)

// The specs below produce records with production code and the emulator, once
// unchanged and once with the mechanism that enforces the invariant disabled.

// prompted is one request to an emulated replica.
type prompted struct {
	at     time.Duration
	tenant string
	salt   string
}

// emulate runs requests with one shared prompt on an emulated replica, which is
// commanded to load v2 at the first request from 10 s on, and returns the recorded
// executions.
func emulate(requests ...prompted) []checker.Execution {
	emulated, err := emulator.New(emulator.LargeMemory(), -time.Minute)
	Expect(err).NotTo(HaveOccurred())
	commanded := false
	for number, one := range requests {
		if one.at >= 10*second && !commanded {
			commanded = true
			_, err := emulated.Command(10*second, replica.WeightsCommand{WeightVersion: "v2", Epoch: 1, Leader: "core-1"})
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := emulated.Submit(one.at, emulator.Request{
			RequestID: fmt.Sprintf("request-%d", number),
			Attempt:   1, Tenant: one.tenant, Model: "model", CacheSalt: one.salt, OutputTokens: 1,
			Chunks: []prefixindex.Chunk{{ID: "shared", Tokens: 1000}},
		})
		Expect(err).NotTo(HaveOccurred())
	}
	emulated.Advance(time.Minute)
	return lo.Map(emulated.Executions(), func(one *emulator.Execution, _ int) checker.Execution {
		return checker.Execution{
			RequestID: one.Request.RequestID, Attempt: one.Request.Attempt,
			Replica: "replica-1", Arrived: one.ArrivedAt, Refused: !one.Started, Tenant: one.Request.Tenant,
			WeightVersion: one.WeightVersion, FinalVersion: one.FinalWeightVersion,
			Reused: lo.Map(one.Reused, func(chunk emulator.ReusedChunk, _ int) checker.Reuse {
				return checker.Reuse{Chunk: chunk.Hash, Tenant: chunk.Tenant, WeightVersion: chunk.WeightVersion}
			}),
		}
	})
}

func names(violations []checker.Violation) []checker.Name {
	return lo.Uniq(lo.Map(violations, func(one checker.Violation, _ int) checker.Name { return one.Invariant }))
}

// dispatchTwice loses the outcome of each attempt of a request that may not be
// repeated, and records the attempts that the ledger dispatches when it takes the
// request's repeatability to be toldRepeatable.
func dispatchTwice(toldRepeatable bool) *checker.Records {
	records := &checker.Records{Requests: []checker.Request{{ID: "once"}}}
	ledger := attempts.New(attempts.Options{Idempotent: toldRepeatable, MaxAttempts: 3})
	for ledger.Next().Kind == attempts.Dispatch {
		number := ledger.Next().Attempt
		for _, kind := range []attempts.EventKind{
			attempts.AttemptPlanned, attempts.ConnectStarted,
			attempts.BytesMayHaveLeft, attempts.OutcomeLost,
		} {
			Expect(ledger.Apply(attempts.Event{Kind: kind, Attempt: number})).To(Succeed())
		}
		run(records, "once", time.Duration(number)*second, func(one *checker.Execution) { one.Service = fmt.Sprint(number) })
	}
	return records
}

// answerAfterLoss records an attempt that ran and whose outcome was lost, with the
// claim that the ledger makes to the caller after it was given the noted events.
func answerAfterLoss(noted ...attempts.EventKind) *checker.Records {
	ledger := attempts.New(attempts.Options{MaxAttempts: 1})
	kinds := append([]attempts.EventKind{attempts.AttemptPlanned, attempts.ConnectStarted}, noted...)
	for _, kind := range kinds {
		Expect(ledger.Apply(attempts.Event{Kind: kind, Attempt: 1})).To(Succeed())
	}
	claim := checker.ClaimMayHaveRun
	if ledger.Next().Kind == attempts.RespondNotRun {
		claim = checker.ClaimNotRun
	}
	records := &checker.Records{Requests: []checker.Request{{ID: "lost", Result: checker.ResultRefused, Claim: claim}}}
	run(records, "lost", second, unchanged)
	return records
}

// retryRefused sends requests to a service that refuses every second one, and
// retries when the budget permits it.
func retryRefused(permits func(now time.Duration) bool, first func(now time.Duration)) *checker.Records {
	records := &checker.Records{End: 20 * second}
	refused := func(number int) func(*checker.Execution) {
		return func(one *checker.Execution) { one.Attempt, one.Refused = number, true }
	}
	for number := range 200 {
		now := time.Duration(number) * 100 * millisecond
		first(now)
		run(records, "unseen", now, refused(1))
		if number%2 == 0 && permits(now) {
			run(records, "unseen", now+millisecond, refused(2))
		}
	}
	return records
}

// race submits orders to a configuration machine and records its answers.
func race(machine *dynamic.Machine, base uint64, ids ...string) []checker.Order {
	return lo.Map(ids, func(id string, number int) checker.Order {
		order, err := dynamic.OrderFromRequest(&ridgeswitchv1.ApplyConfigurationRequest{
			Order: &ridgeswitchv1.OrderHeader{OrderId: id, BaseRevision: base},
			Configuration: &ridgeswitchv1.Configuration{Stores: []*ridgeswitchv1.Store{
				{Name: id, Zone: "zone", Address: "127.0.0.1:7400"},
			}},
		})
		Expect(err).NotTo(HaveOccurred())
		answer := machine.Apply(&controlpb.Command{Command: &controlpb.Command_Order{Order: order}})
		at := time.Duration(number) * millisecond
		record := checker.Order{
			OrderID: id, BaseRevision: base, Sent: at, Answered: at,
			Outcome: checker.OutcomeAcknowledged, Revision: answer.GetRevision(),
		}
		if answer.GetProblem() != nil {
			record.Outcome, record.ProblemKind = checker.OutcomeRefused, answer.GetProblem().GetKind()
		}
		return record
	})
}

// withoutAnswers returns a machine with the same state except for the stored answers.
func withoutAnswers(machine *dynamic.Machine) *dynamic.Machine {
	state := machine.State()
	state.Answers = nil
	return dynamic.NewMachine(state)
}

var _ = Describe("the checker on records of production components", func() {
	v1 := replica.CacheSalt("model", "v1", "shared")
	v2 := replica.CacheSalt("model", "v2", "shared")

	It("reports reuse across weight versions when the salt does not name the version", func() {
		healthy := emulate(prompted{0, "a", v1}, prompted{5 * second, "a", v1}, prompted{20 * second, "a", v2})
		Expect(checker.Check(&checker.Records{Executions: healthy})).To(BeEmpty())
		Expect(healthy[1].Reused).NotTo(BeEmpty())
		broken := emulate(prompted{0, "a", v1}, prompted{20 * second, "a", v1})
		Expect(names(checker.Check(&checker.Records{Executions: broken}))).To(ConsistOf(checker.Name("weight_isolation")))
	})

	It("reports reuse from another tenant by a walled tenant when the salt does not name the sharing domain", func() {
		configuration := &ridgeswitchv1.Configuration{Tenants: []*ridgeswitchv1.Tenant{{Name: "a"}, {Name: "b", Walled: true}}}
		salt := func(tenant string) string {
			return replica.CacheSalt("model", "v1", dynamic.SharingDomain(configuration, tenant))
		}
		tenants := []checker.Tenant{{Name: "a"}, {Name: "b", Walled: true}}
		healthy := emulate(prompted{0, "a", salt("a")}, prompted{second, "b", salt("b")})
		Expect(checker.Check(&checker.Records{Tenants: tenants, Executions: healthy})).To(BeEmpty())
		broken := emulate(prompted{0, "a", salt("a")}, prompted{second, "b", salt("a")})
		Expect(names(checker.Check(&checker.Records{Tenants: tenants, Executions: broken}))).To(ConsistOf(checker.Name("tenant_isolation")))
	})

	It("reports a second execution when the ledger treats every request as repeatable", func() {
		Expect(checker.Check(dispatchTwice(false))).To(BeEmpty())
		Expect(names(checker.Check(dispatchTwice(true)))).To(ConsistOf(checker.Name("at_most_once")))
	})

	It("reports an execution behind a not-run claim when the ledger is not told that bytes may have been sent", func() {
		Expect(checker.Check(answerAfterLoss(attempts.BytesMayHaveLeft, attempts.OutcomeLost))).To(BeEmpty())
		Expect(names(checker.Check(answerAfterLoss(attempts.NotSent)))).To(ConsistOf(checker.Name("not_run_is_final")))
	})

	It("reports too many retries when the retry budget is not consulted", func() {
		budget := retrybudget.New(retrybudget.Options{})
		Expect(checker.Check(retryRefused(budget.TryRetry, budget.AddFirstAttempt))).To(BeEmpty())
		always := func(time.Duration) bool { return true }
		Expect(names(checker.Check(retryRefused(always, budget.AddFirstAttempt)))).To(ConsistOf(checker.Name("retry_ratio")))
	})

	It("reports two acknowledged orders on one base when two machines decide independently", func() {
		machine := dynamic.NewMachine(nil)
		Expect(checker.Check(&checker.Records{Orders: race(machine, 0, "first")})).To(BeEmpty())
		Expect(checker.Check(&checker.Records{Orders: race(machine, 1, "left", "right")})).To(BeEmpty())
		left := race(dynamic.NewMachine(machine.State()), 2, "left-again")
		right := race(dynamic.NewMachine(machine.State()), 2, "right-again")
		Expect(names(checker.Check(&checker.Records{Orders: append(left, right...)}))).To(ConsistOf(checker.Name("one_order_per_base")))
	})

	It("reports a refused resend when answers are not part of the state", func() {
		machine := dynamic.NewMachine(nil)
		first := race(machine, 0, "order")
		Expect(checker.Check(&checker.Records{Orders: append(first, race(machine, 0, "order")...)})).To(BeEmpty())
		resent := race(withoutAnswers(machine), 0, "order")
		Expect(names(checker.Check(&checker.Records{Orders: append(first, resent...)}))).To(ConsistOf(checker.Name("resent_order")))
	})
})
