package dynamic

import (
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

// answerLog contains the answers to the newest MaxAnswers accepted orders.
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

// add appends an answer. If there are then more than MaxAnswers, it removes the oldest one.
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

// AcceptedAnswers returns the stored answers, oldest first. They are shared and must not be
// modified.
func (m *Machine) AcceptedAnswers() []*controlpb.Answer {
	return m.answers.oldestFirst
}

func cloneAnswer(answer *controlpb.Answer) *controlpb.Answer {
	return proto.Clone(answer).(*controlpb.Answer)
}
