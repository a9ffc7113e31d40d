package pause_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/pause"
)

func TestPause(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pause")
}

var _ = Describe("A pause", func() {
	It("ends after its duration", func() {
		Expect(pause.For(context.Background(), time.Nanosecond)).To(BeTrue())
	})

	It("ends at once when its duration is not positive", func() {
		Expect(pause.For(context.Background(), 0)).To(BeTrue())
		Expect(pause.For(context.Background(), -time.Hour)).To(BeTrue())
	})

	It("ends with its context", func() {
		ended, end := context.WithCancel(context.Background())
		end()
		Expect(pause.For(ended, time.Hour)).To(BeFalse())
		Expect(pause.For(ended, -time.Second)).To(BeFalse())
	})
})
