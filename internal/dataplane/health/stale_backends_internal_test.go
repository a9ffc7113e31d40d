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

// staleTimeline applies the events of a timeline to StaleBackends, and checks after each
// whether the address is contained ("held") or not ("free"). Each line has the form
// "time event held|free". Events:
//
//	list INSTANCE VERSION    the view lists this incarnation and weight version at the address
//	unlist                   the view does not list the address
//	refused INSTANCE         this incarnation refused a request; "-" if the refusal named none
//	told INSTANCE            another node reported that this incarnation is gone
//	wait                     no event
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
			replica.Instance, replica.WeightVersion = optionalWord(event[1]), optionalWord(event[2])
			subject.Retain(&routing.View{Pools: map[string]*routing.Pool{"p": {Replicas: []routing.Replica{replica}}}})
		case "unlist":
			subject.Retain(&routing.View{})
		case "refused":
			subject.RecordRefusal(now, replica, optionalWord(event[1]))
		case "told":
			subject.RecordGoneInstance(gossip.GoneInstance{Address: "a", Instance: event[1]})
		case "wait":
		default:
			Fail("unknown event in line: " + line)
		}
		found := map[bool]string{true: "held", false: "free"}[subject.Contains(now, replica)]
		Expect(found).To(Equal(expected), line)
	}
}

// optionalWord returns a word of a timeline, or "" for "-".
func optionalWord(word string) string {
	if word == "-" {
		return ""
	}
	return word
}

var _ = Describe("StaleBackends", func() {
	DescribeTable("contains an address", staleTimeline,
		Entry("until the view lists another incarnation there", `
			0s     list i-1 w1   free
			1s     refused i-9   held
			2s     wait          held
			60s    wait          held
			61s    list i-1 w2   held
			62s    list i-9 w2   free
			63s    wait          free`),
		Entry("when another node reports the incarnation as gone", `
			0s     list i-1 w1   free
			1s     told i-1      held
			30s    wait          held
			31s    list i-2 w1   free`),
		Entry("but not after a denial of an earlier incarnation", `
			0s     list i-2 w1   free
			1s     told i-1      free`),
		Entry("for a second if the incarnation is as listed and its weights differ", `
			0s     list i-1 w1   free
			1s     refused i-1   held
			1.9s   wait          held
			2s     wait          free`),
		Entry("until the view lists other weights, if only the weights differ", `
			0s     list i-1 w1   free
			1s     refused i-1   held
			1.2s   list i-1 w2   free`),
		Entry("for a second if the refusal names no incarnation, so that only the weights may differ", `
			0s     list i-1 w1   free
			1s     refused -     held
			2s     wait          free`),
		Entry("until the view lists another incarnation, if the back end has no weights and the refusal names no incarnation", `
			0s     list i-1 -    free
			1s     refused -     held
			9s     wait          held
			10s    list i-2 -    free`),
		Entry("for a second if the view lists no incarnation", `
			0s     list - w1     free
			1s     refused i-9   held
			2s     wait          free`),
	)

	It("reports only once that an incarnation is gone", func() {
		subject := NewStaleBackends()
		replica := routing.Replica{Address: "a", Instance: "i-1", WeightVersion: "w1"}
		Expect(subject.RecordRefusal(0, replica, "i-9")).To(BeTrue())
		Expect(subject.RecordRefusal(0, replica, "i-9")).To(BeFalse())
		Expect(subject.RecordRefusal(0, replica, "i-1")).To(BeFalse(), "the listed incarnation refused, so it is not gone")
	})

	It("removes denials and refusals that are no longer listed, and records at most maxDenials denials", func() {
		subject := NewStaleBackends()
		for number := range 2 * maxDenials {
			subject.RecordGoneInstance(gossip.GoneInstance{Address: fmt.Sprint(number), Instance: "i-1"})
		}
		Expect(subject.gone).To(HaveLen(maxDenials))
		subject.RecordRefusal(0, routing.Replica{Address: "a", WeightVersion: "w1"}, "")
		subject.Retain(&routing.View{})
		Expect(subject.gone).To(BeEmpty())
		Expect(subject.entries).To(BeEmpty())
	})
})
