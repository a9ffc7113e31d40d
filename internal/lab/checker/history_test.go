package checker_test

import (
	"fmt"
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
)

const (
	millisecond = time.Millisecond
	second      = time.Second
)

// healthyRecords returns the records of a small run that exercises every rule and
// breaks none: a tenant is walled, a key revoked, a zone evacuated and restored, a
// replica drained, weights rolled out, two orders race, one is resent, and a node is
// killed and restarted.
func healthyRecords() *checker.Records {
	records := &checker.Records{
		Tenants: []checker.Tenant{{Name: "large"}, {Name: "small"}, {Name: "sealed", Walled: true}},
		End:     40 * second,
		Calm:    []checker.Span{{From: 12 * second, To: 40 * second}},
	}
	addTraffic(records)
	addOrders(records)
	addNodes(records)
	addReplicas(records)
	return records
}

func addTraffic(records *checker.Records) {
	for number := range 60 {
		at := time.Duration(number) * 100 * millisecond
		addAnswered(records, fmt.Sprintf("request-%d", number), at)
	}
	refused := checker.Request{
		ID: "refused", Node: "front-1", Tenant: "large", Key: "main",
		Sent: second, Ended: second + millisecond, Status: 503,
		Result: checker.ResultRefused, Claim: checker.ClaimNotRun, ErrorKind: "overloaded",
	}
	records.Requests = append(records.Requests, refused)
	records.Executions = append(records.Executions, checker.Execution{
		RequestID: "refused", Attempt: 1,
		Service: "model", Replica: "replica-1", Zone: "north", Arrived: second, Refused: true,
	})
}

// addAnswered adds a request of tenant large that replica-1 answered.
func addAnswered(records *checker.Records, id string, at time.Duration) {
	records.Requests = append(records.Requests, checker.Request{
		ID: id, Node: "front-1",
		Tenant: "large", Key: "main", Service: "model", Sent: at, Ended: at + 50*millisecond,
		Status: 200, Result: checker.ResultComplete, EchoID: id, DigestMatches: true,
	})
	records.Executions = append(records.Executions, checker.Execution{
		RequestID: id,
		AttemptID: id + "/1", Attempt: 1, Service: "model", Replica: "replica-1", Zone: "north",
		Arrived: at + millisecond, Ended: at + 49*millisecond, Tenant: "large", WeightVersion: "v1",
		PromptTokens: 100, ReusedTokens: 50,
		Reused: []checker.Reuse{{Chunk: "part", Tenant: "small", WeightVersion: "v1"}},
	})
}

func acknowledged(id string, base uint64, sent time.Duration, revision uint64, change checker.Change) checker.Order {
	return checker.Order{
		OrderID: id, Node: "front-1", BaseRevision: base, Change: change, Sent: sent,
		Answered: sent + 100*millisecond, Outcome: checker.OutcomeAcknowledged, Revision: revision,
	}
}

func addOrders(records *checker.Records) {
	apply := checker.Change{Kind: checker.ChangeApply}
	loser := acknowledged("race-b", 1, 2*second, 0, apply)
	loser.Outcome, loser.ProblemKind = checker.OutcomeRefused, "base_revision_stale"
	invalid := acknowledged("invalid", 2, 3*second, 0, apply)
	invalid.Outcome, invalid.Invalid = checker.OutcomeRefused, true
	records.Orders = append(records.Orders,
		acknowledged("race-a", 1, 2*second, 2, apply), loser, invalid,
		acknowledged("race-a", 1, 3*second, 2, apply),
		acknowledged("revoke", 0, 4*second, 3, checker.Change{Kind: checker.ChangeRevoke, Tenant: "small", Key: "spare"}),
		acknowledged("wall", 0, 5*second, 4, checker.Change{Kind: checker.ChangeWall, Tenant: "small"}),
		acknowledged("evacuate", 0, 6*second, 5, checker.Change{Kind: checker.ChangeEvacuate, Zone: "south"}),
		acknowledged("weights", 0, 10*second, 6, checker.Change{Kind: checker.ChangeWeights, Pool: "model", WeightVersion: "v2"}),
		acknowledged("restore", 0, 20*second, 7, checker.Change{Kind: checker.ChangeRestore, Zone: "south"}))
}

func addNodes(records *checker.Records) {
	records.Nodes = []checker.NodeRun{
		{Node: "front-1"},
		{Node: "core-1", Span: checker.Span{To: 8 * second}, Ended: true},
		{Node: "core-1", Span: checker.Span{From: 9 * second}},
	}
	for at := time.Duration(0); at < records.End; at += 500 * millisecond {
		revision := revisionAt(records, at)
		records.Served = append(records.Served, checker.ServedSample{Node: "front-1", At: at, Revision: revision})
		if at == 9*second {
			revision = 0
		}
		if at < 8*second || at >= 9*second {
			records.Served = append(records.Served, checker.ServedSample{Node: "core-1", At: at, Revision: revision})
		}
	}
}

func revisionAt(records *checker.Records, at time.Duration) uint64 {
	revision := uint64(1)
	for _, order := range records.Orders {
		if order.Answered <= at {
			revision = max(revision, order.Revision)
		}
	}
	return revision
}

func addReplicas(records *checker.Records) {
	for number := 1; number <= 3; number++ {
		replica := fmt.Sprintf("replica-%d", number)
		records.Listings = append(records.Listings, checker.EndpointSample{Service: "model", Replica: replica, Zone: "north"})
		records.Versions = append(records.Versions,
			checker.VersionSample{Pool: "model", Replica: replica, At: 26 * second, WeightVersion: "v1"},
			checker.VersionSample{Pool: "model", Replica: replica, At: 28 * second, WeightVersion: "v2"})
	}
	records.Listings = append(records.Listings,
		checker.EndpointSample{Service: "model", Replica: "replica-3", Zone: "north", Draining: true, At: 7 * second})
	records.Commands = []checker.Command{
		{Replica: "replica-1", Sender: "core-1", Epoch: 1, WeightVersion: "v1", At: second, Accepted: true},
		{Replica: "replica-1", Sender: "core-2", Epoch: 2, WeightVersion: "v2", At: 11 * second, Accepted: true},
	}
}
