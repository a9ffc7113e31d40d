package node

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/pkg/kvrouter"
	"github.com/ridgeswitch/ridgeswitch/pkg/prefixindex"
)

var _ = DescribeTable("The router of a machine", func(memoryBytes int64, predicted, pending int) {
	options := routerOptions(memoryBytes)
	Expect(options.Index.MaxPredicted).To(Equal(predicted))
	Expect(options.MaxPending).To(Equal(pending))
},
	Entry("has the defaults if the memory is not known", int64(0), 0, 0),
	Entry("has the defaults with much memory", int64(1<<34), prefixindex.DefaultMaxPredicted, kvrouter.DefaultMaxPending),
	Entry("holds less with little memory", int64(88<<20), 72089, 18022),
)
