package health

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/dataplane/gossip"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
)

func TestHealth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Health Suite")
}

// staleTimeline plays lines of "time event" on a memory of what is out of
// date, and checks after each whether the address is "held" or "free". Events:
//
//	list INSTANCE VERSION    the view names them at the address
//	unlist                   the view does not name the address
//	refused BY               the back end there refused; "-" for one that did not say who it is
//	told INSTANCE            another node told that the incarnation is gone
//	wait                     nothing
func staleTimeline(text string) {
	subject := NewStaleBackends()
	replica := routing.Replica{Address: "a"}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		words := strings.Fields(line)
		now, err := time.ParseDuration(words[0])
		Expect(err).NotTo(HaveOccurred(), line)
		event, expected := words[1:len(words)-1], words[len(words)-1]
		switch event[0] {
		case "list":
			replica.Instance, replica.WeightVersion = given(event[1]), given(event[2])
			subject.Retain(&routing.View{Pools: map[string]*routing.Pool{"p": {Replicas: []routing.Replica{replica}}}})
		case "unlist":
			subject.Retain(&routing.View{})
		case "refused":
			subject.RecordRefusal(now, replica, given(event[1]))
		case "told":
			subject.RecordDenial(gossip.GoneInstance{Address: "a", Instance: event[1]})
		case "wait":
		default:
			Fail("no such event: " + line)
		}
		found := map[bool]string{true: "held", false: "free"}[subject.Contains(now, replica)]
		Expect(found).To(Equal(expected), line)
	}
}

// given reads a word of a timeline, in which "-" stands for nothing.
func given(word string) string {
	if word == "-" {
		return ""
	}
	return word
}

var _ = Describe("StaleBackends", func() {
	DescribeTable("excludes an address", staleTimeline,
		Entry("until the list names another incarnation there", `
			0s     list i-1 w1   free
			1s     refused i-9   held
			2s     wait          held
			60s    wait          held
			61s    list i-1 w2   held
			62s    list i-9 w2   free
			63s    wait          free`),
		Entry("when another node has been refused", `
			0s     list i-1 w1   free
			1s     told i-1      held
			30s    wait          held
			31s    list i-2 w1   free`),
		Entry("but not for a denial of an earlier incarnation", `
			0s     list i-2 w1   free
			1s     told i-1      free`),
		Entry("for a second when the incarnation is right, and has other weights", `
			0s     list i-1 w1   free
			1s     refused i-1   held
			1.9s   wait          held
			2s     wait          free`),
		Entry("until the list names its weights", `
			0s     list i-1 w1   free
			1s     refused i-1   held
			1.2s   list i-1 w2   free`),
		Entry("for a second when it may be the weights alone", `
			0s     list i-1 w1   free
			1s     refused -     held
			2s     wait          free`),
		Entry("of a back end without weights, even if that does not say who it is", `
			0s     list i-1 -    free
			1s     refused -     held
			9s     wait          held
			10s    list i-2 -    free`),
		Entry("for a second when the list names no incarnation", `
			0s     list - w1     free
			1s     refused i-9   held
			2s     wait          free`),
	)

	It("reports once that an incarnation is gone", func() {
		subject := NewStaleBackends()
		replica := routing.Replica{Address: "a", Instance: "i-1", WeightVersion: "w1"}
		Expect(subject.RecordRefusal(0, replica, "i-9")).To(BeTrue())
		Expect(subject.RecordRefusal(0, replica, "i-9")).To(BeFalse())
		Expect(subject.RecordRefusal(0, replica, "i-1")).To(BeFalse(), "other weights are no news for others")
	})

	It("forgets what is no longer listed, and remembers no more than its bound", func() {
		subject := NewStaleBackends()
		for number := range 2 * maxDenials {
			subject.RecordDenial(gossip.GoneInstance{Address: fmt.Sprint(number), Instance: "i-1"})
		}
		Expect(subject.gone).To(HaveLen(maxDenials))
		subject.RecordRefusal(0, routing.Replica{Address: "a", WeightVersion: "w1"}, "")
		subject.Retain(&routing.View{})
		Expect(subject.gone).To(BeEmpty())
		Expect(subject.entries).To(BeEmpty())
	})
})
