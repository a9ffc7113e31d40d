package checker_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

// request returns the request with an ID, for a test to modify.
func request(records *checker.Records, id string) *checker.Request {
	for position := range records.Requests {
		if records.Requests[position].ID == id {
			return &records.Requests[position]
		}
	}
	return nil
}

// run adds an execution of a request that arrives at a moment, modified by change.
func run(records *checker.Records, id string, at time.Duration, change func(*checker.Execution)) {
	execution := checker.Execution{
		RequestID: id, AttemptID: id + "/2", Attempt: 1, Service: "model",
		Replica: "replica-2", Zone: "north", Arrived: at, Tenant: "large", WeightVersion: "v1",
	}
	change(&execution)
	records.Executions = append(records.Executions, execution)
}

// addUnanswered adds refused requests to the model, one a second.
func addUnanswered(records *checker.Records, from, to time.Duration) {
	for at := from; at <= to; at += second {
		records.Requests = append(records.Requests, checker.Request{
			ID: "unanswered", Service: "model",
			Sent: at, Ended: at, Status: 503, Result: checker.ResultRefused, Claim: checker.ClaimNotRun,
		})
	}
}

func unchanged(*checker.Execution) {}

func reusing(chunk checker.Reuse) func(*checker.Execution) {
	return func(execution *checker.Execution) { execution.Reused = []checker.Reuse{chunk} }
}

func order(records *checker.Records, id string, change func(*checker.Order)) {
	copied, _ := lo.Find(records.Orders, func(one checker.Order) bool { return one.OrderID == id })
	change(&copied)
	records.Orders = append(records.Orders, copied)
}

var _ = Describe("the checker", func() {
	It("finds nothing in a healthy run", func() {
		Expect(checker.Check(healthyRecords())).To(BeEmpty())
	})

	It("has a test of a violation for every invariant", func() {
		names := lo.Map(checker.Invariants(), func(one checker.Invariant, _ int) checker.Name { return one.Name() })
		Expect(lo.Uniq(names)).To(HaveLen(len(names)))
		Expect(lo.Uniq(brokenNames)).To(ConsistOf(names))
	})

	for _, one := range breakages {
		It("reports "+string(one.name)+" when "+one.when, func() {
			records := healthyRecords()
			one.modify(records)
			violations := checker.Check(records)
			Expect(violations).NotTo(BeEmpty())
			for _, violation := range violations {
				Expect(violation.Invariant).To(Equal(one.name), violation.Detail)
				Expect(violation.Detail).NotTo(BeEmpty())
			}
		})
	}

	for _, one := range boundaries {
		It("allows that "+one.when, func() {
			records := healthyRecords()
			one.modify(records)
			Expect(checker.Check(records)).To(BeEmpty())
		})
	}
})

type history struct {
	name   checker.Name
	when   string
	modify func(*checker.Records)
}

var brokenNames = lo.Map(breakages, func(one history, _ int) checker.Name { return one.name })

var breakages = []history{
	{"at_most_once", "a non-repeatable request runs on two replicas", func(records *checker.Records) {
		run(records, "request-1", 5*second, unchanged)
	}},
	{"not_run_is_final", "a request refused as not run had run", func(records *checker.Records) {
		run(records, "refused", second, unchanged)
	}},
	{"not_run_is_final", "a request refused as not run runs later", func(records *checker.Records) {
		run(records, "refused", 30*second, unchanged)
	}},
	{"answer_integrity", "a caller gets the answer of another request", func(records *checker.Records) {
		request(records, "request-1").EchoID = "request-2"
	}},
	{"answer_integrity", "a truncated answer looks complete", func(records *checker.Records) {
		request(records, "request-1").DigestMatches = false
	}},
	{"answer_integrity", "an answer names no request", func(records *checker.Records) {
		request(records, "request-1").EchoID = ""
	}},
	{"weight_isolation", "a chunk of another weight version is reused", func(records *checker.Records) {
		run(records, "unseen", second, reusing(checker.Reuse{Tenant: "large", WeightVersion: "v0"}))
	}},
	{"weight_isolation", "weights change during an execution", func(records *checker.Records) {
		run(records, "unseen", second, func(execution *checker.Execution) { execution.FinalVersion = "v2" })
	}},
	{"tenant_isolation", "a chunk of a walled tenant is reused", func(records *checker.Records) {
		run(records, "unseen", second, reusing(checker.Reuse{Tenant: "sealed", WeightVersion: "v1"}))
	}},
	{"tenant_isolation", "a walled tenant reuses a chunk of another tenant", func(records *checker.Records) {
		run(records, "unseen", second, func(execution *checker.Execution) {
			execution.Tenant = "sealed"
			execution.Reused = []checker.Reuse{{Tenant: "large", WeightVersion: "v1"}}
		})
	}},
	{"tenant_isolation", "a chunk of a tenant that was walled during the run is reused", func(records *checker.Records) {
		run(records, "unseen", 8*second, reusing(checker.Reuse{Tenant: "small", WeightVersion: "v1"}))
	}},
	{"revocation", "a revoked key runs a request after the bound", func(records *checker.Records) {
		*request(records, "refused") = checker.Request{ID: "late", Tenant: "small", Key: "spare", Sent: 6 * second}
		run(records, "late", 6200*millisecond, unchanged)
	}},
	{"served_in_time", "a live node lags behind an acknowledged revision", func(records *checker.Records) {
		order(records, "revoke", func(one *checker.Order) {
			one.OrderID, one.Sent, one.Answered, one.Revision = "late", 25*second, 25*second, 8
		})
		lift := func(sample checker.ServedSample, _ int) checker.ServedSample {
			if sample.At > 25*second && sample.Node == "core-1" {
				sample.Revision = 8
			}
			return sample
		}
		records.Served = lo.Map(records.Served, lift)
	}},
	{"served_never_back", "a node serves an older revision", func(records *checker.Records) {
		records.Served = append(records.Served, checker.ServedSample{Node: "front-1", At: 3600 * millisecond, Revision: 1})
	}},
	{"served_never_back", "a restarted node serves an older revision", func(records *checker.Records) {
		records.Served = append(records.Served, checker.ServedSample{Node: "core-1", At: 9100 * millisecond, Revision: 4})
		records.Orders = lo.Reject(records.Orders, func(one checker.Order, _ int) bool { return one.Revision == 5 })
	}},
	{"nodes_recover", "a live node stays fenced", func(records *checker.Records) {
		fence := func(sample checker.ServedSample, _ int) checker.ServedSample {
			sample.Fenced = sample.Fenced || sample.At > 30*second
			return sample
		}
		records.Served = lo.Map(records.Served, fence)
	}},
	{"one_order_per_base", "both orders of a race are acknowledged", func(records *checker.Records) {
		order(records, "race-a", func(one *checker.Order) { one.OrderID = "race-c" })
	}},
	{"resent_order", "a resend of an acknowledged order is refused", func(records *checker.Records) {
		order(records, "race-a", func(one *checker.Order) {
			one.Outcome, one.ProblemKind = checker.OutcomeRefused, "base_revision_stale"
		})
	}},
	{"resent_order", "a resend gets another revision", func(records *checker.Records) {
		order(records, "race-a", func(one *checker.Order) { one.Revision = 1 })
	}},
	{"invalid_refused", "an invalid configuration is answered as pending", func(records *checker.Records) {
		order(records, "invalid", func(one *checker.Order) { one.Outcome = checker.OutcomePending })
	}},
	{"draining_replica", "a draining replica gets a request", func(records *checker.Records) {
		run(records, "unseen", 10100*millisecond, func(execution *checker.Execution) { execution.Replica = "replica-3" })
	}},
	{"evacuated_zone", "an evacuated zone gets a request", func(records *checker.Records) {
		run(records, "unseen", 12*second, func(execution *checker.Execution) { execution.Zone = "south" })
	}},
	{"weights_settle", "a replica runs the old weights after WeightsBound of calm time", func(records *checker.Records) {
		records.Versions = lo.Map(records.Versions, func(sample checker.VersionSample, _ int) checker.VersionSample {
			if sample.Replica == "replica-2" {
				sample.WeightVersion = "v1"
			}
			return sample
		})
	}},
	{"weights_settle", "no sample shows the weights of a replica after the deadline", func(records *checker.Records) {
		records.Versions = lo.Reject(records.Versions, func(sample checker.VersionSample, _ int) bool {
			return sample.Replica == "replica-2" && sample.At > 27*second
		})
	}},
	{"command_holder", "a node still sends commands of an older epoch", func(records *checker.Records) {
		records.Commands = append(records.Commands,
			checker.Command{Replica: "replica-1", Sender: "core-1", Epoch: 1, At: 12 * second})
	}},
	{"command_holder", "two nodes send commands in one epoch", func(records *checker.Records) {
		records.Commands = append(records.Commands,
			checker.Command{Replica: "replica-1", Sender: "core-3", Epoch: 2, At: 12 * second})
	}},
	{"retry_ratio", "the retries in a window exceed the ratio", func(records *checker.Records) {
		for number := range 15 {
			run(records, "unseen", time.Duration(number)*second/10, func(one *checker.Execution) { one.Attempt = 2 })
		}
	}},
	{"retry_ratio", "a small service gets mostly retries", func(records *checker.Records) {
		for number := range 3 {
			run(records, "unseen", second, func(one *checker.Execution) {
				one.Service, one.Attempt, one.Refused = "calendar", 1+number, true
			})
		}
	}},
	{"service_returns", "a service answers no request for longer than the bound", func(records *checker.Records) {
		addUnanswered(records, 20*second, 33*second)
	}},
	{"records_complete", "no back end recorded an answered request", func(records *checker.Records) {
		records.Executions = lo.Reject(records.Executions, func(one checker.Execution, _ int) bool {
			return one.RequestID == "request-1"
		})
	}},
}

// boundaries are histories that come close to breaking a rule, but do not break it.
var boundaries = []history{
	{"", "a revoked key runs a request within the bound", func(records *checker.Records) {
		*request(records, "refused") = checker.Request{ID: "late", Tenant: "small", Key: "spare", Sent: 4 * second}
		run(records, "late", 6*second, unchanged)
	}},
	{"", "a draining replica gets a request within the bound", func(records *checker.Records) {
		run(records, "unseen", 9900*millisecond, func(execution *checker.Execution) { execution.Replica = "replica-3" })
	}},
	{"", "an evacuated zone gets requests within the bound and once restored", func(records *checker.Records) {
		zone := func(execution *checker.Execution) { execution.Zone = "south" }
		run(records, "unseen", 11*second, zone)
		run(records, "unseen", 20*second, zone)
	}},
	{"", "a service answers no request for a time within the bound", func(records *checker.Records) {
		addUnanswered(records, 20*second, 31*second)
	}},
	{"", "requests without a valid key get no answer for longer than the bound", func(records *checker.Records) {
		addUnanswered(records, 20*second, 33*second)
		for position := range records.Requests {
			if records.Requests[position].ID == "unanswered" {
				records.Requests[position].Status = 401
			}
		}
	}},
	{"", "a repeatable request runs twice", func(records *checker.Records) {
		request(records, "request-1").Repeatable = true
		run(records, "request-1", 5*second, unchanged)
	}},
	{"", "a fenced node lags", func(records *checker.Records) {
		records.Served = append(records.Served,
			checker.ServedSample{Node: "front-1", At: 20 * second, Revision: 1, Fenced: true})
	}},
	{"", "retries stay just under the ratio", func(records *checker.Records) {
		for number := range 12 {
			at := time.Duration(number) * 550 * millisecond
			run(records, "unseen", at, func(one *checker.Execution) { one.Attempt = 2 })
		}
	}},
	{"", "a resend is answered as unavailable", func(records *checker.Records) {
		order(records, "race-a", func(one *checker.Order) { one.Outcome = checker.OutcomeUnavailable })
	}},
}
