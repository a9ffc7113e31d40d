package operatorcli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/samber/lo"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// result is the outcome of a check.
type result string

const (
	resultOK        result = "ok"
	resultAttention result = "ATTENTION"
	resultUnderWay  result = "under way"
	resultUnknown   result = "unknown"
)

// The states of a member, as nodes report them.
const (
	stateAlive   = "alive"
	stateSuspect = "suspect"
	stateFenced  = "fenced"
	stateLeft    = "left"
	stateUnknown = "unknown"
)

// The phases of a replica, as nodes report them. A replica in phaseServing accepts requests.
const (
	phaseServing  = "serving"
	phaseDraining = "draining"
	phaseLoading  = "loading"
	phaseUnknown  = "unknown"
)

// maxNames bounds the number of names, or of other texts, in a list on a line of the summary,
// since a deployment may have very many nodes.
const maxNames = 8

// check is one line of the summary: the subject of the check, its result, and the details.
type check struct {
	name   string
	result result
	detail string
}

// statusSummary contains the responses from which the summary of a deployment is made. Each
// of its checks is a line of the summary.
type statusSummary struct {
	// status is the view of the node that was queried first.
	status *ridgeswitchv1.NodeStatus
	// allNodes means that all live members were queried as well. Their responses are in
	// responses.
	allNodes  bool
	responses []nodeResponse
	// weights contains the state of each pool's roll-out. If it could not be read,
	// weightsError is the reason.
	weights      []*ridgeswitchv1.WeightsStatus
	weightsError error
}

// nodeResponse is the response of one member to the query of its status.
type nodeResponse struct {
	member *ridgeswitchv1.MemberStatus
	// status is valid only if err is nil.
	status *ridgeswitchv1.NodeStatus
	err    error
}

// print writes the summary and, if all live members were queried, a table of them.
func (s *statusSummary) print(out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(writer, "summary\nCHECK\tRESULT\tDETAIL")
	for _, line := range s.checks() {
		_, _ = fmt.Fprintf(writer, "%s\t%s\t%s\n", line.name, line.result, line.detail)
	}
	_, _ = fmt.Fprintln(writer)
	if s.allNodes {
		s.writeNodes(writer)
	}
	return writer.Flush()
}

// writeNodes writes a table of the statuses that the live members reported.
func (s *statusSummary) writeNodes(writer io.Writer) {
	_, _ = fmt.Fprintln(writer, "nodes\nNODE\tCONTROL_ADDRESS\tFENCED\tFENCES\tSERVED_REVISION\tSHARDS_LED")
	for _, response := range s.responses {
		member := response.member
		if response.err != nil {
			_, _ = fmt.Fprintf(writer, "%s\t%s\t-\t-\t-\tno answer: %v\n", member.GetNode(), member.GetControlAddress(), response.err)
			continue
		}
		status := response.status
		_, _ = fmt.Fprintf(writer, "%s\t%s\t%t\t%d\t%d\t%d\n", member.GetNode(), member.GetControlAddress(),
			status.GetFenced(), status.GetFences(), status.GetServedRevision(), len(ledBy(status)))
	}
	_, _ = fmt.Fprintln(writer)
}

// checks returns the checks in the order of the summary. They cover what an operator needs
// first to diagnose a problem.
func (s *statusSummary) checks() []check {
	return []check{s.checkShards(), s.checkMembers(), s.checkTraffic(), s.checkRevisions(), s.checkRollOuts()}
}

// checkShards reports whether every shard has a leader. If all live members were queried,
// exactly one of them must report itself as the leader. Otherwise the queried node must know
// a leader, and its table of members must not contain that leader in a state other than alive
// or suspect.
func (s *statusSummary) checkShards() check {
	shards := s.status.GetShards()
	var faults []string
	for _, shard := range shards {
		if fault := s.leaderFault(shard); fault != "" {
			faults = append(faults, fmt.Sprintf("shard %d: %s", shard.GetShard(), fault))
		}
	}
	if len(faults) > 0 {
		return check{"shards", resultAttention, strings.Join(shortened(faults), "; ")}
	}
	detail := fmt.Sprintf("each of %d has a leader", len(shards))
	if !s.allNodes {
		detail += ", as far as " + s.status.GetNode() + " knows"
	}
	return check{"shards", resultOK, detail}
}

// leaderFault returns the problem with the leadership of a shard, or "" if there is none.
func (s *statusSummary) leaderFault(shard *ridgeswitchv1.ShardStatus) string {
	if !s.allNodes {
		return s.knownLeaderFault(shard.GetLeader())
	}
	var claims []string
	for _, response := range s.responses {
		for _, led := range ledBy(response.status) {
			if led.GetShard() == shard.GetShard() {
				claims = append(claims, fmt.Sprintf("%s in term %d", response.member.GetNode(), led.GetTerm()))
			}
		}
	}
	switch len(claims) {
	case 0:
		return "no node that answered leads it"
	case 1:
		return ""
	default:
		return "claimed by " + strings.Join(claims, " and ")
	}
}

// knownLeaderFault returns the problem with a leader according to the queried node's table of
// members, or "" if there is none.
func (s *statusSummary) knownLeaderFault(leader string) string {
	if leader == "" {
		return "no known leader"
	}
	for _, member := range s.status.GetMembers() {
		if member.GetNode() == leader && !isLive(member) {
			return "leader " + leader + " is " + member.GetState()
		}
	}
	return ""
}

// checkMembers reports the members that are fenced, suspect or of unknown state.
func (s *statusSummary) checkMembers() check {
	byState := lo.GroupBy(s.status.GetMembers(), func(member *ridgeswitchv1.MemberStatus) string { return member.GetState() })
	detail := fmt.Sprintf("%d alive", len(byState[stateAlive]))
	if left := len(byState[stateLeft]); left > 0 {
		detail += fmt.Sprintf(", %d left", left)
	}
	members := check{"members", resultOK, detail}
	for _, state := range []string{stateFenced, stateSuspect, stateUnknown} {
		if len(byState[state]) > 0 {
			members.result = resultAttention
			members.detail += "; " + state + ": " + joinNames(lo.Map(byState[state], nodeOfMember))
		}
	}
	return members
}

// checkTraffic reports the nodes that refuse traffic and those that did not respond.
func (s *statusSummary) checkTraffic() check {
	if !s.allNodes {
		if s.status.GetFenced() {
			return check{"traffic", resultAttention, s.status.GetNode() + " refuses traffic"}
		}
		return check{"traffic", resultOK, s.status.GetNode() + " serves; --all asks every node"}
	}
	var refusing, unresponsive []string
	for _, response := range s.responses {
		switch {
		case response.err != nil:
			unresponsive = append(unresponsive, response.member.GetNode())
		case response.status.GetFenced():
			refusing = append(refusing, response.member.GetNode())
		}
	}
	traffic := check{"traffic", resultOK, fmt.Sprintf("%d of %d live members serve", len(s.responses)-len(refusing)-len(unresponsive), len(s.responses))}
	if len(refusing) > 0 {
		traffic.result = resultAttention
		traffic.detail += "; refusing: " + joinNames(refusing)
	}
	if len(unresponsive) > 0 {
		traffic.result = resultAttention
		traffic.detail += "; no answer: " + joinNames(unresponsive)
	}
	return traffic
}

// ledBy returns the shards of which a node reports itself as the leader.
func ledBy(status *ridgeswitchv1.NodeStatus) []*ridgeswitchv1.ShardStatus {
	return lo.Filter(status.GetShards(), func(shard *ridgeswitchv1.ShardStatus, _ int) bool {
		return shard.GetLeader() == status.GetNode()
	})
}

// isLive reports whether a member is alive or suspect in a node's table.
func isLive(member *ridgeswitchv1.MemberStatus) bool {
	return member.GetState() == stateAlive || member.GetState() == stateSuspect
}

func nodeOfMember(member *ridgeswitchv1.MemberStatus, _ int) string { return member.GetNode() }

// joinNames joins the first maxNames names and appends how many more there are.
func joinNames(names []string) string {
	return strings.Join(shortened(names), ", ")
}

// shortened returns the first maxNames texts and, if there are more, a text with the number
// of the others.
func shortened(texts []string) []string {
	if len(texts) <= maxNames {
		return texts
	}
	return append(texts[:maxNames:maxNames], fmt.Sprintf("and %d more", len(texts)-maxNames))
}
