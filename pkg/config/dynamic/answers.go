package dynamic

import (
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// answerLog remembers the answers of the newest MaxAnswers accepted orders.
type answerLog struct {
	oldestFirst []*controlpb.Answer
	byID        map[string]*controlpb.Answer
}

func newAnswerLog(answers []*controlpb.Answer) *answerLog {
	log := &answerLog{byID: make(map[string]*controlpb.Answer, len(answers))}
	for _, answer := range answers {
		log.add(cloneAnswer(answer))
	}
	return log
}

// add appends an answer and removes the oldest one beyond the bound.
func (l *answerLog) add(answer *controlpb.Answer) {
	l.oldestFirst = append(l.oldestFirst, answer)
	l.byID[answer.GetOrderId()] = answer
	if len(l.oldestFirst) > MaxAnswers {
		delete(l.byID, l.oldestFirst[0].GetOrderId())
		l.oldestFirst[0] = nil
		l.oldestFirst = l.oldestFirst[1:]
	}
}

// find returns a copy of the answer to an order, or nil.
func (l *answerLog) find(orderID string) *controlpb.Answer {
	answer, found := l.byID[orderID]
	if !found {
		return nil
	}
	return cloneAnswer(answer)
}

// AcceptedAnswers are the remembered answers, oldest first. They are shared: no
// one may write to them.
func (m *Machine) AcceptedAnswers() []*controlpb.Answer {
	return m.answers.oldestFirst
}

func cloneAnswer(answer *controlpb.Answer) *controlpb.Answer {
	return proto.Clone(answer).(*controlpb.Answer)
}
