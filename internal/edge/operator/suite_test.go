package operator_test

import (
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

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/internal/edge/operator"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Control interface")
}

// fakeNode implements Control and Health on a single state machine, whose responses a test can
// change.
type fakeNode struct {
	sync.Mutex
	machine *dynamic.Machine
	// pending leaves every response unconfirmed.
	pending bool
	// submitError, when set, is what Submit returns.
	submitError error
	ready       error
}

func newFakeNode() *fakeNode {
	return &fakeNode{machine: dynamic.NewMachine(nil)}
}

func (n *fakeNode) Submit(_ context.Context, order *controlpb.Order) (*controlpb.Answer, error) {
	n.Lock()
	defer n.Unlock()
	if n.submitError != nil {
		return nil, n.submitError
	}
	answer := n.machine.Apply(&controlpb.Command{Command: &controlpb.Command_Order{Order: order}})
	answer.Confirmed = !n.pending
	return answer, nil
}

func (n *fakeNode) Configuration() *ridgeswitchv1.Configuration {
	n.Lock()
	defer n.Unlock()
	if n.machine == nil {
		return nil
	}
	return n.machine.Configuration()
}

func (n *fakeNode) ReadConfiguration(context.Context) (*ridgeswitchv1.Configuration, error) {
	if n.submitError != nil {
		return nil, n.submitError
	}
	return n.Configuration(), nil
}

func (n *fakeNode) Source(context.Context) (*ridgeswitchv1.Source, error) {
	n.Lock()
	defer n.Unlock()
	if n.submitError != nil {
		return nil, n.submitError
	}
	return n.machine.Source(), nil
}

func (n *fakeNode) Weights(pool string) (*ridgeswitchv1.WeightsStatus, error) {
	switch pool {
	case "p":
		return &ridgeswitchv1.WeightsStatus{Pool: pool, WeightVersion: "w"}, nil
	case "lost":
		return nil, errors.New("shard state lost")
	default:
		return nil, &dynamic.Error{Kind: dynamic.KindNotFound, Field: "pool", Message: "there is no such pool"}
	}
}

func (n *fakeNode) Status() *ridgeswitchv1.NodeStatus {
	if n.ready != nil {
		panic("status of a node that is not ready")
	}
	return &ridgeswitchv1.NodeStatus{Node: "front-1"}
}

func (n *fakeNode) Ready() error { return n.ready }
func (n *fakeNode) Live() error  { return nil }

// reply is an HTTP response.
type reply struct {
	status int
	header http.Header
	body   string
}

// call sends one request, "METHOD /path", to a node's control interface.
func call(n *fakeNode, target, body string) reply {
	handler, err := operator.NewHandler(n, n)
	Expect(err).NotTo(HaveOccurred())
	method, path, _ := strings.Cut(target, " ")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	result := recorder.Result()
	data, err := io.ReadAll(result.Body)
	Expect(err).NotTo(HaveOccurred())
	return reply{status: result.StatusCode, header: result.Header, body: string(data)}
}
