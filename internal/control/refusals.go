package control

import (
	"time"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

const (
	// maxRefusals bounds the refusals that an owner remembers.
	maxRefusals = 4096
	// refusalLife is how long it remembers one, in time-outs of an order: the node
	// that asked has given up long before, and its last copy has come.
	refusalLife = 3
)

// question is one question of a node. A node asks it again, under the same number,
// until it gets an answer.
type question struct {
	from    member.ID
	request uint64
}

// refusals are the answers to questions that were refused. Without them a copy of
// such a question that comes late would be judged anew, and might be taken after
// the operator was told that it was not.
type refusals struct {
	byQuestion map[question]*controlpb.Answer
	// inOrder are the questions in the order of their answers.
	inOrder []expiringQuestion
}

type expiringQuestion struct {
	question
	until time.Duration
}

func newRefusals() refusals {
	return refusals{byQuestion: map[question]*controlpb.Answer{}}
}

// keep remembers a refusal until a time.
func (r *refusals) keep(refused question, answer *controlpb.Answer, until time.Duration) {
	if len(r.inOrder) >= maxRefusals {
		r.forgetFirst()
	}
	r.byQuestion[refused] = answer
	r.inOrder = append(r.inOrder, expiringQuestion{refused, until})
}

// answer is the refusal of a question, or nil.
func (r *refusals) answer(asked question) *controlpb.Answer { return r.byQuestion[asked] }

// forget forgets what is over.
func (r *refusals) forget(now time.Duration) {
	for len(r.inOrder) > 0 && r.inOrder[0].until <= now {
		r.forgetFirst()
	}
}

func (r *refusals) forgetFirst() {
	delete(r.byQuestion, r.inOrder[0].question)
	r.inOrder = r.inOrder[1:]
}
