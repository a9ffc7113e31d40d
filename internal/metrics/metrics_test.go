package metrics

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/driver"
	"github.com/ridgeswitch/ridgeswitch/internal/dataplane"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/inbound"
	"github.com/ridgeswitch/ridgeswitch/internal/transport"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

func TestMetrics(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "metrics")
}

// fakeNode is a node with fixed counters.
type fakeNode struct {
	status       *ridgeswitchv1.NodeStatus
	destinations []dataplane.DestinationStats
}

func (s *fakeNode) Status() *ridgeswitchv1.NodeStatus { return s.status }
func (s *fakeNode) Sent() []driver.SentCount {
	return []driver.SentCount{{Kind: wire.KindProbe, Distance: driver.OtherZone, Frames: 3, Bytes: 450}}
}

func (s *fakeNode) Storage() driver.StorageStatus {
	return driver.StorageStatus{Disk: 5, DiskLimit: 10, Configuration: 2, ConfigurationLimit: 4, DiskFull: true}
}
func (s *fakeNode) Stats() []dataplane.DestinationStats { return s.destinations }
func (s *fakeNode) Load() []dataplane.DestinationLoad {
	return []dataplane.DestinationLoad{{Name: "demo", InFlight: 4}, {Name: "demo", WebService: true, InFlight: 1}}
}

func (s *fakeNode) IndexStats() prefixindex.Stats {
	return prefixindex.Stats{Reported: 5, Predicted: 6, Bytes: 7}
}

type frames transport.Stats

func (f frames) Stats() transport.Stats { return transport.Stats(f) }

type clients inbound.Stats

func (c clients) Stats() inbound.Stats { return inbound.Stats(c) }

// scrape returns the lines of all series, and the set of metric names.
func scrape(node *fakeNode) (lines []string, names map[string]bool) {
	handler, err := NewHandler(node, node, frames{FramesSent: 1, BytesReceived: 2, DroppedFull: 3},
		clients{HeldBytes: 8, Connections: 9, Refused: 10, Evicted: 11})
	Expect(err).NotTo(HaveOccurred())
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	Expect(recorder.Code).To(Equal(http.StatusOK), recorder.Body.String())
	Expect(recorder.Header().Get("Content-Type")).To(HavePrefix("text/plain; version=0.0.4"))
	names = map[string]bool{}
	scanner := bufio.NewScanner(recorder.Body)
	for scanner.Scan() {
		if line := scanner.Text(); !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
			names[regexp.MustCompile(`^\w+`).FindString(line)] = true
		}
	}
	return lines, names
}

func busyNode() *fakeNode {
	return &fakeNode{
		status: &ridgeswitchv1.NodeStatus{
			Node: "core-1", Zone: "a", HoldsState: true, ServedRevision: 12, Fences: 2, ServeRemainingMs: 750,
			Members: []*ridgeswitchv1.MemberStatus{{State: "alive"}, {State: "alive"}, {State: "suspect"}},
			Shards: []*ridgeswitchv1.ShardStatus{
				{Shard: 0, Leader: "core-1", Term: 3, Commit: 9, Applied: 8, Revision: 12, BadEntries: 1},
				{Shard: 1},
			},
			Rollouts: []*ridgeswitchv1.RolloutStatus{{
				Pool: "demo", WeightVersion: "2", NamedForMs: 1500, Overdue: true, Replicas: 9, Outdated: 4, OutdatedAdmitting: 3,
			}},
		},
		destinations: []dataplane.DestinationStats{{
			Name: "demo", FirstAttempts: 10, Retries: 1, Truncated: 2,
			Refusals: []dataplane.RefusalCount{{Kind: caller.KindRateLimited, Count: 3}},
			Ejected:  2, Suspected: 1, Ejections: 7,
			Outcomes: []dataplane.OutcomeCount{{Name: "errored", Count: 5}},
			Invalid:  []dataplane.InvalidCount{{Kind: "malformed", Count: 6}},
		}},
	}
}

var _ = Describe("Metrics", func() {
	It("contain the counters of requests, control, frames, index and process", func() {
		lines, names := scrape(busyNode())
		Expect(lines).To(ContainElements(
			`ridgeswitch_first_attempts_total{destination="demo",kind="pool"} 10`,
			`ridgeswitch_retry_ratio{destination="demo",kind="pool"} 0.1`,
			`ridgeswitch_cut_answers_total{destination="demo",kind="pool"} 2`,
			`ridgeswitch_refusals_total{destination="demo",kind="pool",reason="rate_limited"} 3`,
			`ridgeswitch_invalid_answers_total{destination="demo",fault="malformed",kind="pool"} 6`,
			`ridgeswitch_attempts_in_flight{destination="demo",kind="pool"} 4`,
			`ridgeswitch_ejected_backends{destination="demo",kind="pool"} 2`,
			`ridgeswitch_suspected_backends{destination="demo",kind="pool"} 1`,
			`ridgeswitch_ejections_total{destination="demo",kind="pool"} 7`,
			`ridgeswitch_backend_outcomes_total{destination="demo",kind="pool",outcome="errored"} 5`,
			`ridgeswitch_attempts_in_flight{destination="demo",kind="web_service"} 1`,
			`ridgeswitch_node_serve_remaining_seconds 0.75`,
			`ridgeswitch_node_fences_total 2`,
			`ridgeswitch_members{state="alive"} 2`,
			`ridgeswitch_members{state="fenced"} 0`,
			`ridgeswitch_shard_leader{shard="0"} 1`,
			`ridgeswitch_shard_commit_index{shard="0"} 9`,
			`ridgeswitch_shard_applied_index{shard="0"} 8`,
			`ridgeswitch_shard_bad_entries_total{shard="0"} 1`,
			`ridgeswitch_shard_leader_known{shard="1"} 0`,
			`ridgeswitch_weights_named_for_seconds{pool="demo"} 1.5`,
			`ridgeswitch_weights_overdue{pool="demo"} 1`,
			`ridgeswitch_weights_outdated_replicas{pool="demo"} 4`,
			`ridgeswitch_weights_outdated_admitting_replicas{pool="demo"} 3`,
			`ridgeswitch_storage_disk_bytes 5`,
			`ridgeswitch_storage_disk_limit_bytes 10`,
			`ridgeswitch_storage_disk_full 1`,
			`ridgeswitch_configuration_bytes 2`,
			`ridgeswitch_configuration_limit_bytes 4`,
			`ridgeswitch_transport_frames_total{direction="sent"} 1`,
			`ridgeswitch_messages_sent_total{kind="membership probe",zone="other"} 3`,
			`ridgeswitch_messages_sent_bytes_total{kind="membership probe",zone="other"} 450`,
			`ridgeswitch_transport_dropped_frames_total{reason="queue_full"} 3`,
			`ridgeswitch_inbound_held_bytes 8`,
			`ridgeswitch_inbound_connections 9`,
			`ridgeswitch_inbound_refused_total 10`,
			`ridgeswitch_inbound_evicted_total 11`,
			`ridgeswitch_index_parts{source="predicted"} 6`,
			`ridgeswitch_index_bytes 7`,
		))
		Expect(lines).NotTo(ContainElement(HavePrefix(`ridgeswitch_shard_term{shard="1"}`)))
		Expect(names).To(And(HaveKey("process_cpu_seconds_total"), HaveKey("process_resident_memory_bytes")))
	})

	It("match the names in the operators' page", func() {
		page, err := os.ReadFile("../../docs/operations/metrics.md")
		Expect(err).NotTo(HaveOccurred())
		_, names := scrape(busyNode())
		described := regexp.MustCompile(`ridgeswitch_\w+`).FindAllString(string(page), -1)
		Expect(described).NotTo(BeEmpty())
		for _, name := range described {
			Expect(names).To(HaveKey(name))
		}
		for name := range names {
			if strings.HasPrefix(name, namespace) {
				Expect(described).To(ContainElement(name))
			}
		}
	})

	It("sum the destinations beyond the limit in one series, and keep each destination in its series", func() {
		names := newDestinationNames(2)
		Expect(names.seriesOf("a", false).name).To(Equal("a"))
		Expect(names.seriesOf("b", true).name).To(Equal("b"))
		Expect(names.seriesOf("0", false)).To(Equal(destination{kind: kindPool, name: overflowName}))
		Expect(names.seriesOf("a", false).name).To(Equal("a"))
		node := busyNode()
		node.destinations = nil
		for number := range MaxDestinations + 2 {
			node.destinations = append(node.destinations, dataplane.DestinationStats{Name: fmt.Sprintf("pool-%03d", number), FirstAttempts: 5})
		}
		lines, _ := scrape(node)
		Expect(lines).To(ContainElement(`ridgeswitch_first_attempts_total{destination="(other)",kind="pool"} 10`))
	})

	It("report +Inf as the remaining time of a node that nothing can fence", func() {
		node := busyNode()
		node.status.ServeRemainingMs = -1
		lines, _ := scrape(node)
		Expect(lines).To(ContainElement("ridgeswitch_node_serve_remaining_seconds +Inf"))
	})
})
