package operatorcli_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator"
	"github.com/ridgeswitch/ridgeswitch/internal/operatorcli"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

func TestOperatorCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operator verbs")
}

// cluster is the control state that the nodes of a test serve.
type cluster struct {
	sync.Mutex
	machine *dynamic.Machine
	pending bool
	// status and weights, if set, are the responses of the nodes to these calls.
	status  *ridgeswitchv1.NodeStatus
	weights *ridgeswitchv1.WeightsStatus
}

func (c *cluster) Submit(_ context.Context, order *controlpb.Order) (*controlpb.Answer, error) {
	c.Lock()
	defer c.Unlock()
	answer := c.machine.Apply(&controlpb.Command{Command: &controlpb.Command_Order{Order: order}})
	answer.Confirmed = !c.pending
	return answer, nil
}

func (c *cluster) Source(context.Context) (*ridgeswitchv1.Source, error) {
	return c.machine.Source(), nil
}

func (c *cluster) Configuration() *ridgeswitchv1.Configuration { return c.machine.Configuration() }

func (c *cluster) ReadConfiguration(context.Context) (*ridgeswitchv1.Configuration, error) {
	return c.machine.Configuration(), nil
}

func (c *cluster) Weights(string) (*ridgeswitchv1.WeightsStatus, error) {
	if c.weights != nil {
		return c.weights, nil
	}
	return nil, &dynamic.Error{Kind: dynamic.KindNotFound, Field: "pool", Message: "there is no such pool"}
}

func (c *cluster) Status() *ridgeswitchv1.NodeStatus {
	if c.status != nil {
		return c.status
	}
	return &ridgeswitchv1.NodeStatus{
		Node:    "front-1",
		Members: []*ridgeswitchv1.MemberStatus{{Node: "core-1", Zone: "a", State: "alive"}},
		Shards:  []*ridgeswitchv1.ShardStatus{{Shard: 3, Leader: "core-1", Group: []string{"core-1", "core-2"}}},
		Rollouts: []*ridgeswitchv1.RolloutStatus{{
			Pool: "p", WeightVersion: "2", NamedForMs: 1500, Overdue: true, Replicas: 9, Outdated: 4, OutdatedAdmitting: 3,
		}},
	}
}

func (c *cluster) Ready() error { return nil }
func (c *cluster) Live() error  { return nil }

// node is an HTTP server that serves the cluster and records the requests that it receives. It
// responds to the first requests with the HTTP statuses in statuses, one each.
type node struct {
	address  string
	statuses []int
	requests []string
}

func startNode(c *cluster, statuses ...int) *node {
	handler, err := operator.NewHandler(c, c)
	Expect(err).NotTo(HaveOccurred())
	n := &node{statuses: statuses}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		n.requests = append(n.requests, r.Method+" "+r.URL.RequestURI()+" "+string(body))
		if len(n.statuses) > 0 {
			w.WriteHeader(n.statuses[0])
			n.statuses = n.statuses[1:]
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		handler.ServeHTTP(w, r)
	}))
	DeferCleanup(server.Close)
	n.address = strings.TrimPrefix(server.URL, "http://")
	return n
}

// result is the outcome of a command: its exit code, output and error.
type result struct {
	code     int
	out, log string
	err      string
}

// run runs a command line, split at spaces, with a --node flag for each of the nodes.
func run(input, line string, nodes ...*node) result {
	var out, log bytes.Buffer
	root := &cli.Command{
		Name: "ridgeswitch", Commands: operatorcli.Commands(),
		Reader: strings.NewReader(input), Writer: &out, ErrWriter: &log,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	words := append([]string{"ridgeswitch"}, strings.Fields(line)...)
	for _, n := range nodes {
		words = append(words, "--node", n.address)
	}
	err := root.Run(context.Background(), words)
	ended := result{out: out.String(), log: log.String()}
	var exit *operatorcli.ExitError
	if errors.As(err, &exit) {
		ended.code = exit.ExitCode()
	}
	if err != nil {
		ended.err = err.Error()
	}
	return ended
}
