package replication

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("The command of a group change", func() {
	// Existing logs and members of earlier releases use this encoding.
	const golden = `[{"ID":"10.0.0.1:7100","Incarnation":1,"Learner":false},` +
		`{"ID":"10.0.0.2:7100","Incarnation":14841536834309578040,"Learner":true}]`

	ginkgo.It("has the same encoding as in earlier releases", func() {
		group := slots{
			{Voter: Voter{ID: "10.0.0.1:7100", Incarnation: 1}},
			{Voter: Voter{ID: "10.0.0.2:7100", Incarnation: 14841536834309578040}, Learner: true},
		}
		Expect(string(encodeSlots(group))).To(Equal(golden))
		Expect(decodeSlots([]byte(golden))).To(Equal(group))
	})
})
