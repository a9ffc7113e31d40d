package driver

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/ridgeswitch/ridgeswitch/internal/control/view"
)

var _ = Describe("controlLog", func() {
	var output *bytes.Buffer
	var log *controlLog

	BeforeEach(func() {
		output = &bytes.Buffer{}
		logger := logrus.New()
		logger.SetOutput(output)
		logger.SetFormatter(&logrus.JSONFormatter{})
		log = newControlLog(logrus.NewEntry(logger))
	})

	It("logs once each that a roll-out begins, becomes overdue and ends", func() {
		machine := newSoloMachine(nil)
		progress := view.RolloutProgress{Pool: "chat", Version: "2", Replicas: 4, Outdated: 4, OutdatedAdmitting: 4}
		for range 2 {
			log.logRollout(machine, progress)
		}
		Expect(output.String()).To(ContainSubstring(`"msg":"weights were named"`))
		Expect(bytes.Count(output.Bytes(), []byte("\n"))).To(Equal(1))
		progress.Overdue, progress.OverdueVersion, progress.ReplicatedAge = true, "2", 13500*time.Millisecond
		for range 2 {
			log.logRollout(machine, progress)
		}
		Expect(output.String()).To(ContainSubstring(`"outdated_admitting":4`))
		Expect(output.String()).To(ContainSubstring(`"replicated_age_ms":13500`))
		Expect(bytes.Count(output.Bytes(), []byte("\n"))).To(Equal(2))
		progress.Outdated = 0
		for range 2 {
			log.logRollout(machine, progress)
		}
		Expect(output.String()).To(ContainSubstring("all replicas run the named weights"))
		Expect(bytes.Count(output.Bytes(), []byte("\n"))).To(Equal(3))
	})

	It("logs each version whose deadline has passed, although an earlier one is overdue already", func() {
		machine := newSoloMachine(nil)
		progress := view.RolloutProgress{Pool: "chat", Version: "3", Replicas: 4, Outdated: 2, Overdue: true}
		for _, version := range []string{"2", "3"} {
			progress.OverdueVersion = version
			log.logRollout(machine, progress)
		}
		Expect(bytes.Count(output.Bytes(), []byte("although the deadline has passed"))).To(Equal(2))
	})

	It("removes the progress of pools without a roll-out", func() {
		log.logRollout(newSoloMachine(nil), view.RolloutProgress{Pool: "chat", Version: "2"})
		log.logRollout(newSoloMachine(nil), view.RolloutProgress{Pool: "code", Version: "2"})
		log.removeAbsentPools([]view.RolloutProgress{{Pool: "code"}})
		Expect(log.rollouts).To(HaveLen(1))
		Expect(log.rollouts).To(HaveKey("code"))
	})

	It("logs that the node begins and ceases to lead a shard", func() {
		machine := newSoloMachine(nil)
		run(machine, 3*time.Second)
		log.logChanges(machine)
		log.logChanges(machine)
		Expect(output.String()).To(ContainSubstring("leads a shard"))
		Expect(bytes.Count(output.Bytes(), []byte("leads a shard\""))).To(Equal(len(machine.LedTerms())))
		log.logLeaderships(nil)
		Expect(output.String()).To(ContainSubstring("leads a shard no more"))
	})
})
