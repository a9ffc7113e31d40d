package shardstate

import (
	"cmp"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/relaytree"
)

const (
	// answerPrefix precedes the order's ID in the name of an answer's section.
	answerPrefix = "answer/"
	// maxRelayedAnswers bounds the answers that are relayed with the configuration. A group
	// that lost the majority of its disks, and was formed anew from a state that was
	// relayed to a node, needs them to return the first answer to a resent order.
	maxRelayedAnswers = 256
)

// encodeAnswers encodes the newest answers as sections, up to the answer to the order that
// led to the given revision. Answers to later orders, which were accepted without changing
// anything, are relayed with the next revision, so that all copies relay the same sections
// for one revision. Until then a resend of such an order changes nothing either.
func encodeAnswers(revision uint64, oldestFirst []*controlpb.Answer) ([]relaytree.Section, error) {
	end := slices.IndexFunc(oldestFirst, func(answer *controlpb.Answer) bool {
		return answer.GetRevision() >= revision
	})
	end++
	if end == 0 {
		end = len(oldestFirst)
	}
	var sections []relaytree.Section
	for _, answer := range oldestFirst[max(0, end-maxRelayedAnswers):end] {
		content, err := proto.MarshalOptions{Deterministic: true}.Marshal(answer)
		if err != nil {
			return nil, errors.Wrap(err, "encode an answer")
		}
		sections = append(sections, relaytree.Section{Name: answerPrefix + answer.GetOrderId(), Content: content})
	}
	return sections, nil
}

// DecodeAnswers returns the answers among sections, oldest first.
func DecodeAnswers(sections []relaytree.Section) ([]*controlpb.Answer, error) {
	var answers []*controlpb.Answer
	for _, section := range sections {
		if !isAnswerSection(section.Name) {
			continue
		}
		answer := &controlpb.Answer{}
		if err := proto.Unmarshal(section.Content, answer); err != nil {
			return nil, errors.Wrapf(err, "decode section %q", section.Name)
		}
		answers = append(answers, answer)
	}
	slices.SortFunc(answers, func(a, b *controlpb.Answer) int { return cmp.Compare(a.GetRevision(), b.GetRevision()) })
	return answers, nil
}

func isAnswerSection(name string) bool { return strings.HasPrefix(name, answerPrefix) }

// MergeAnswers returns the relayed answers, and those of the log to other orders, oldest
// first.
func MergeAnswers(logged, relayed []*controlpb.Answer) []*controlpb.Answer {
	known := map[string]struct{}{}
	for _, answer := range relayed {
		known[answer.GetOrderId()] = struct{}{}
	}
	joined := slices.Clone(relayed)
	for _, answer := range logged {
		if _, found := known[answer.GetOrderId()]; !found {
			joined = append(joined, answer)
		}
	}
	slices.SortStableFunc(joined, func(a, b *controlpb.Answer) int { return cmp.Compare(a.GetRevision(), b.GetRevision()) })
	return joined
}
