package dynamic

import (
	"bytes"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// Machine is the replicated state machine of the configuration. It is not safe for
// concurrent use, but a configuration that it has returned is never modified and may be read
// concurrently.
type Machine struct {
	configuration *ridgeswitchv1.Configuration
	answers       *answerLog
	nodes         *registry
	// evacuationChanges contains the revisions in which evacuations last began or ended.
	evacuationChanges *evacuationChanges
	// modelWeights contains the newest versions that were named for models.
	modelWeights *modelWeights
	// source is the document that the configuration was made from, or nil. It is
	// replaced and never modified.
	source *ridgeswitchv1.Source
}

// NewMachine returns a machine that begins with a copy of a state. A nil state, like an
// empty one, means the empty configuration at revision 0.
func NewMachine(state *controlpb.ConfigurationState) *Machine {
	configuration := &ridgeswitchv1.Configuration{}
	if state.GetConfiguration() != nil {
		configuration = proto.Clone(state.GetConfiguration()).(*ridgeswitchv1.Configuration)
	}
	return &Machine{
		configuration: configuration,
		answers:       newAnswerLog(state.GetAnswers()),
		nodes:         newRegistry(state.GetNodes()),

		evacuationChanges: newEvacuationChanges(state.GetEvacuationChanges()),
		modelWeights:      newModelWeights(state.GetModelWeights()),

		source: proto.CloneOf(state.GetSource()),
	}
}

// RestoreMachine returns a machine that begins with the state of a snapshot.
func RestoreMachine(snapshot []byte) (*Machine, error) {
	state := &controlpb.ConfigurationState{}
	if err := proto.Unmarshal(snapshot, state); err != nil {
		return nil, errors.Wrap(err, "decode the configuration snapshot; fetch it anew from another member of the group")
	}
	return NewMachine(state), nil
}

// Snapshot encodes the state. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.sharedState())
	return data, errors.Wrap(err, "encode the configuration snapshot")
}

// State returns a deep copy of the whole state.
func (m *Machine) State() *controlpb.ConfigurationState {
	return proto.CloneOf(m.sharedState())
}

// sharedState returns the whole state without copying it. The result must not be modified.
func (m *Machine) sharedState() *controlpb.ConfigurationState {
	return &controlpb.ConfigurationState{
		Configuration: m.configuration,
		Answers:       m.answers.oldestFirst,
		Nodes:         m.nodes.nodes(),
		Source:        m.source,

		EvacuationChanges: m.evacuationChanges.all(),
		ModelWeights:      m.modelWeights.all(),
	}
}

// Configuration returns the configuration in force. It is shared and must not be modified;
// the machine replaces it instead of modifying it.
func (m *Machine) Configuration() *ridgeswitchv1.Configuration {
	return m.configuration
}

// Revision returns the revision in force; 0 is that of the empty configuration.
func (m *Machine) Revision() uint64 {
	return m.configuration.GetRevision()
}

// Nodes returns the registered nodes, sorted by name.
func (m *Machine) Nodes() []*controlpb.RegisterNode {
	return m.nodes.nodes()
}

// Answer returns a copy of the stored answer to an accepted order, or nil. Its confirmed
// field has the value from when the order was applied, which is false.
func (m *Machine) Answer(orderID string) *controlpb.Answer {
	return m.answers.find(orderID)
}

// Apply applies one command of the log and returns its answer, which the caller may modify. A
// rejected command changes nothing.
func (m *Machine) Apply(command *controlpb.Command) *controlpb.Answer {
	switch command := command.GetCommand().(type) {
	case *controlpb.Command_Order:
		return m.applyOrder(command.Order)
	case *controlpb.Command_RegisterNode:
		m.nodes.register(command.RegisterNode)
		return &controlpb.Answer{Revision: m.Revision()}
	case *controlpb.Command_ForgetNode:
		m.nodes.forget(command.ForgetNode)
		return &controlpb.Answer{Revision: m.Revision()}
	default:
		return m.refuse(&controlpb.Order{}, &Error{
			Kind:    KindInvalid,
			Message: "no command of the configuration shard; send it to the shard that it is for",
		})
	}
}

// Preview returns the answer to an order that needs no entry in the log, because the order
// would be refused or is a resend. It returns nil for an order that Apply would carry out if
// the state were still the same.
func (m *Machine) Preview(order *controlpb.Order) *controlpb.Answer {
	next, answer := m.decide(order)
	if next == nil && answer == nil {
		// The document is in force, although the answer to its order is no longer stored.
		return m.accepted(order)
	}
	return answer
}

// applyOrder answers an order: an invalid one is refused, a resend gets the first answer,
// and a change that passes all checks is put in force.
func (m *Machine) applyOrder(order *controlpb.Order) *controlpb.Answer {
	next, answer := m.decide(order)
	if answer != nil {
		return answer
	}
	if next != nil {
		m.modelWeights.record(m.configuration, order)
		m.adopt(next)
		m.adoptSource(order)
	}
	answer = m.accepted(order)
	m.answers.add(answer)
	return cloneAnswer(answer)
}

// decide checks an order without changing the state. It returns the answer if the order is
// refused or was accepted before, and otherwise the configuration that the order leads to. It
// returns neither if the order applies the document that is already in force.
func (m *Machine) decide(order *controlpb.Order) (*ridgeswitchv1.Configuration, *controlpb.Answer) {
	if err := checkOrderID(order.GetOrderId()); err != nil {
		return nil, m.refuse(order, err)
	}
	if first := m.answers.find(order.GetOrderId()); first != nil {
		return nil, m.answerKnownID(order, first)
	}
	if m.sourceInForce(order.GetApplyDocument()) {
		return nil, nil
	}
	if err := m.checkBase(order); err != nil {
		return nil, m.refuse(order, err)
	}
	if err := m.evacuationChanges.check(order.GetSetEvacuation(), m.Revision()); err != nil {
		return nil, m.refuse(order, err)
	}
	next, err := configurationAfter(m.configuration, order, m.modelWeights)
	if err != nil {
		return nil, m.refuse(order, err)
	}
	return next, nil
}

// accepted returns the answer that accepts an order at the revision in force.
func (m *Machine) accepted(order *controlpb.Order) *controlpb.Answer {
	return &controlpb.Answer{
		OrderId:  order.GetOrderId(),
		Digest:   bytes.Clone(order.GetDigest()),
		Revision: m.Revision(),
	}
}

// answerKnownID returns the answer to an order whose identity was accepted before: the first
// answer if the order is a resend, and a refusal if its content differs.
func (m *Machine) answerKnownID(order *controlpb.Order, first *controlpb.Answer) *controlpb.Answer {
	if bytes.Equal(order.GetDigest(), first.GetDigest()) {
		return first
	}
	return m.refuse(order, &Error{
		Kind:    KindOrderIDConflict,
		Field:   "order.order_id",
		Message: conflictMessage(order.GetOrderId()),
	})
}

// checkBase returns an *Error if the base revision of an order is not the revision in force.
// An order for a single change may omit the base revision. An order for a document has a base
// version instead.
func (m *Machine) checkBase(order *controlpb.Order) error {
	if document := order.GetApplyDocument(); document != nil {
		return m.checkSourceBase(document.GetSource())
	}
	base := order.GetBaseRevision()
	if base == m.Revision() {
		return nil
	}
	if base == 0 && order.GetApply() == nil {
		return nil
	}
	message := "is not the revision in force; read the configuration, merge your change and order anew with its revision"
	if base == 0 {
		message = "is missing; name the revision that the whole configuration is based on"
	}
	return &Error{Kind: KindBaseRevisionStale, Field: "order.base_revision", Message: message}
}

// adopt puts a configuration in force under the next revision, unless it equals the one
// in force.
func (m *Machine) adopt(next *ridgeswitchv1.Configuration) {
	next.Revision = m.configuration.GetRevision()
	assignEpochs(m.configuration, next)
	if proto.Equal(m.configuration, next) {
		return
	}
	next.Revision++
	assignEpochs(m.configuration, next)
	m.evacuationChanges.record(m.configuration, next)
	m.configuration = next
}

// refuse returns the answer to an order that is rejected because of a fault.
func (m *Machine) refuse(order *controlpb.Order, fault error) *controlpb.Answer {
	return &controlpb.Answer{
		OrderId:  order.GetOrderId(),
		Digest:   bytes.Clone(order.GetDigest()),
		Revision: m.Revision(),
		Problem:  problemOf(fault, m.Revision()),
	}
}
