package control

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
)

// modelReplica models a replica that finishes its running requests before it loads weights.
type modelReplica struct {
	listed  Endpoint
	version string
	target  string
	// requestsEnd is how long the running requests take to finish after a command.
	requestsEnd time.Duration
	loadsAt     time.Duration
	doneAt      time.Duration
	loading     bool
	sequence    uint64
	commands    []Command
	// answers replace the answers of the replica to its next commands, one for each command.
	// The replica begins to load only if the answer is CommandUnknown.
	answers []CommandOutcome
	down    bool
}

// modelPool models the only pool of a solo node, with its replicas.
type modelPool struct {
	node     *soloNode
	replicas []*modelReplica
	// loadTime is how long a replica takes to load weights while no more than fullSpeedLoads
	// replicas load at once.
	loadTime       time.Duration
	fullSpeedLoads int
	reports        int
	commands       int
	// maxOutOfService is the highest number of replicas that were out of service at once.
	maxOutOfService int
	nextReadAt      time.Duration
}

// defaultFullSpeedLoads is how many replicas load weights without slowing each other down.
const defaultFullSpeedLoads = 3

// newModelPool returns a pool that runs version 1, on a node that has become the leader.
func newModelPool(replicas, zones int, load time.Duration) *modelPool {
	return newModelPoolWithDeadline(12*time.Second, replicas, zones, defaultFullSpeedLoads, load)
}

// newModelPoolWithDeadline does the same as newModelPool, with a bound on the time of a
// roll-out. The deadline of weights is 2 s shorter than the bound, as in package platform.
func newModelPoolWithDeadline(bound time.Duration, replicas, zones, fullSpeedLoads int, load time.Duration) *modelPool {
	pool := &modelPool{loadTime: load, fullSpeedLoads: fullSpeedLoads}
	pool.node = newSoloNodeWith(func(config *Config) {
		config.ReplicasFinishFirst = true
		config.Times.WeightsDeadline = bound - 2*time.Second
	})
	for number := range replicas {
		pool.replicas = append(pool.replicas, &modelReplica{
			listed: Endpoint{
				Address:  fmt.Sprintf("10.0.%d.%d:80", number/250, number%250),
				Zone:     fmt.Sprintf("z%d", number%zones),
				Instance: fmt.Sprintf("i-%d", number),
			},
			version:     "1",
			requestsEnd: 500 * time.Millisecond,
		})
	}
	pool.node.perform(pool.readEndpoints())
	pool.run(3 * time.Second)
	Expect(pool.node.submit(poolConfigurationWith("1")).GetConfirmed()).To(BeTrue())
	pool.run(time.Second)
	Expect(pool.node.phases()).To(Equal(map[string]int{"serving": replicas}))
	pool.reports = 0
	pool.maxOutOfService = 0
	return pool
}

// readEndpoints has the node read an endpoint list that shows the present versions of the
// replicas.
func (p *modelPool) readEndpoints() Output {
	listed := lo.Map(p.replicas, func(one *modelReplica, _ int) Endpoint {
		shown := one.listed
		shown.WeightVersion = one.version
		return shown
	})
	reading := EndpointReading{StartedAt: p.node.now, Services: []ServiceEndpoints{{Name: "s", Endpoints: listed}}}
	return p.node.machine.EndpointsRead(p.node.now, reading)
}

func (p *modelPool) replicaAt(address string) *modelReplica {
	found, _ := lo.Find(p.replicas, func(one *modelReplica) bool { return one.listed.Address == address })
	return found
}

// run advances the time of the node and its replicas. The endpoint list is read once a second.
func (p *modelPool) run(length time.Duration) {
	for end := p.node.now + length; p.node.now < end; p.node.now += DefaultTickEvery {
		p.advance()
		p.perform(p.node.machine.Tick(p.node.now))
		if p.node.now >= p.nextReadAt {
			p.nextReadAt = p.node.now + time.Second
			p.perform(p.readEndpoints())
		}
		out := len(p.replicas) - p.node.phases()["serving"]
		p.maxOutOfService = max(p.maxOutOfService, out)
	}
}

func (p *modelPool) perform(output Output) {
	p.node.perform(output)
	for _, request := range output.ReportRequests {
		p.reports++
		one := p.replicaAt(request.Address)
		if one.down {
			p.perform(p.node.machine.ReplicaReportFailed(p.node.now, request.Address))
			continue
		}
		p.perform(p.node.machine.SetReplicaReport(p.node.now, one.report(p.node.now)))
	}
	for _, command := range output.Commands {
		p.commands++
		one := p.replicaAt(command.Address)
		p.perform(p.node.machine.CommandDone(p.node.now, command, one.receiveCommand(p.node.now, command)))
	}
}

func (r *modelReplica) report(now time.Duration) ReplicaReport {
	return ReplicaReport{
		Address: r.listed.Address, Instance: r.listed.Instance, WeightVersion: r.version,
		Busy: r.target != "", Sequence: r.sequence, MeasuredAt: now - 300*time.Millisecond,
	}
}

func (r *modelReplica) receiveCommand(now time.Duration, command Command) CommandOutcome {
	r.commands = append(r.commands, command)
	if len(r.answers) > 0 {
		answer := r.answers[0]
		r.answers = r.answers[1:]
		if answer != CommandUnknown {
			return answer
		}
		r.startLoading(now, command)
		return answer
	}
	switch {
	case r.target != "":
		return CommandBusy
	case r.version == command.WeightVersion:
		return CommandUpToDate
	}
	r.startLoading(now, command)
	return CommandAccepted
}

func (r *modelReplica) startLoading(now time.Duration, command Command) {
	r.sequence++
	r.target = command.WeightVersion
	r.loadsAt = now + r.requestsEnd
}

func (p *modelPool) advance() {
	loading := lo.CountBy(p.replicas, func(one *modelReplica) bool { return one.loading })
	for _, one := range p.replicas {
		switch {
		case one.target == "":
		case one.loading && p.node.now >= one.doneAt:
			one.version, one.target, one.loading = one.target, "", false
		case !one.loading && p.node.now >= one.loadsAt:
			loading++
			one.loading = true
			one.doneAt = p.node.now + p.loadTime*time.Duration(max(loading, p.fullSpeedLoads))/time.Duration(p.fullSpeedLoads)
		}
	}
}

// rolloutTime runs the pool until all replicas run a version and serve, for 30 s at the most,
// and returns how long that took.
func (p *modelPool) rolloutTime(version string) time.Duration {
	begun := p.node.now
	for p.node.now < begun+30*time.Second {
		p.run(DefaultTickEvery)
		behind := lo.CountBy(p.replicas, func(one *modelReplica) bool { return one.version != version })
		if behind == 0 && p.node.phases()["serving"] == len(p.replicas) {
			return p.node.now - begun
		}
	}
	return p.node.now - begun
}

var _ = Describe("a roll-out by commands", func() {
	nameWeights := func(pool *modelPool, version string) {
		pool.node.ticket++
		pool.perform(pool.node.machine.Submit(pool.node.now, pool.node.ticket, weightsOrder(version)))
	}

	DescribeTable("finishes in time with one command for each replica", func(replicas, zones, fullSpeedLoads int, load, within time.Duration, maxOutOfService int) {
		pool := newModelPoolWithDeadline(within, replicas, zones, fullSpeedLoads, load)
		nameWeights(pool, "2")
		length := pool.rolloutTime("2")
		AddReportEntry("roll-out", fmt.Sprintf("%d replicas: %v, %d commands, %d reports, at most %d out", replicas, length, pool.commands, pool.reports, pool.maxOutOfService))
		Expect(length).To(BeNumerically("<", within))
		Expect(pool.commands).To(Equal(replicas))
		Expect(pool.maxOutOfService).To(BeNumerically("<=", maxOutOfService))
	},
		Entry("for a small pool", 18, 3, 3, 1100*time.Millisecond, 12*time.Second, 6),
		Entry("for a small pool whose replicas load slowly", 18, 4, 3, 1900*time.Millisecond, 15*time.Second, 9),
		Entry("for a large pool", 140, 4, 28, 1500*time.Millisecond, 12*time.Second, 47),
		Entry("for a pool of three replicas", 3, 3, 3, 1500*time.Millisecond, 12*time.Second, 1),
		Entry("for a pool of one replica", 1, 1, 3, 1500*time.Millisecond, 5*time.Second, 1),
	)

	It("sends no command to a replica that already runs a newer version", func() {
		pool := newModelPool(4, 2, time.Second)
		pool.replicas[0].version = "9"
		pool.run(2 * time.Second)
		nameWeights(pool, "2")
		pool.run(12 * time.Second)
		Expect(pool.replicas[0].commands).To(BeEmpty())
		Expect(pool.commands).To(Equal(3))
		Expect(pool.node.phases()["serving"]).To(Equal(4))
	})

	It("continues with a newer version that is named meanwhile, without unnecessary commands", func() {
		pool := newModelPool(6, 3, 1500*time.Millisecond)
		nameWeights(pool, "2")
		pool.run(1500 * time.Millisecond)
		nameWeights(pool, "3")
		Expect(pool.rolloutTime("3")).To(BeNumerically("<", 12*time.Second))
		for _, one := range pool.replicas {
			Expect(len(one.commands)).To(BeNumerically("<=", 2))
			Expect(one.commands[len(one.commands)-1].WeightVersion).To(Equal("3"))
		}
	})

	It("does not repeat a command with an unknown outcome if the replica's report shows that it was carried out", func() {
		pool := newModelPool(2, 2, 1500*time.Millisecond)
		pool.replicas[0].answers = []CommandOutcome{CommandUnknown}
		nameWeights(pool, "2")
		Expect(pool.rolloutTime("2")).To(BeNumerically("<", 12*time.Second))
		Expect(pool.commands).To(Equal(2))
	})

	It("repeats a command that did not arrive, with the same token and increasing delays", func() {
		pool := newModelPool(2, 2, time.Second)
		pool.replicas[0].answers = []CommandOutcome{CommandNotSent, CommandNotSent, CommandNotSent}
		nameWeights(pool, "2")
		Expect(pool.rolloutTime("2")).To(BeNumerically("<", 14*time.Second))
		sent := pool.replicas[0].commands
		Expect(sent).To(HaveLen(4))
		Expect(lo.Uniq(lo.Map(sent, func(one Command, _ int) uint64 { return one.Token }))).To(HaveLen(1))
		Expect(sent[3].Deadline - sent[2].Deadline).To(BeNumerically(">=", 2*time.Second))
	})

	It("uses a greater token after a replica has rejected the token of a command", func() {
		pool := newModelPool(2, 2, time.Second)
		pool.replicas[0].answers = []CommandOutcome{CommandFenced}
		nameWeights(pool, "2")
		Expect(pool.rolloutTime("2")).To(BeNumerically("<", 12*time.Second))
		sent := pool.replicas[0].commands
		Expect(sent).To(HaveLen(2))
		Expect(sent[1].Token).To(BeNumerically(">", sent[0].Token))
	})

	It("sends the command again to a replica that comes back as another incarnation", func() {
		pool := newModelPool(3, 3, 1500*time.Millisecond)
		nameWeights(pool, "2")
		pool.run(1200 * time.Millisecond)
		victim, _ := lo.Find(pool.replicas, func(one *modelReplica) bool { return one.target != "" })
		Expect(victim).NotTo(BeNil())
		victim.target, victim.loading, victim.sequence = "", false, 0
		victim.listed.Instance = "i-new"
		Expect(pool.rolloutTime("2")).To(BeNumerically("<", 14*time.Second))
		last := victim.commands[len(victim.commands)-1]
		Expect(last.Instance).To(Equal("i-new"))
		Expect(victim.commands).To(HaveLen(2))
	})

	It("sends no command to a replica that does not report, and continues with the others", func() {
		pool := newModelPool(6, 3, time.Second)
		pool.replicas[2].down = true
		nameWeights(pool, "2")
		pool.run(9 * time.Second)
		Expect(pool.replicas[2].commands).To(BeEmpty())
		Expect(lo.CountBy(pool.replicas, func(one *modelReplica) bool { return one.version == "2" })).To(Equal(5))
		pool.replicas[2].down = false
		Expect(pool.rolloutTime("2")).To(BeNumerically("<", 9*time.Second))
	})

	It("removes the rows of replicas whose new version the endpoint list shows", func() {
		pool := newModelPool(4, 2, time.Second)
		nameWeights(pool, "2")
		pool.run(30 * time.Second)
		Expect(pool.node.machine.states.received.Service(1).GetReplicas()).To(BeEmpty())
		Expect(pool.node.phases()).To(Equal(map[string]int{"serving": 4}))
	})

	It("keeps at least one replica of each zone in service", func() {
		pool := newModelPool(18, 9, 1100*time.Millisecond)
		nameWeights(pool, "2")
		for pool.node.now < 20*time.Second {
			pool.run(DefaultTickEvery)
			zones := map[string]int{}
			for _, status := range pool.node.machine.WeightsStatus("pool").GetReplicas() {
				if status.GetPhase() == "serving" {
					zones[status.GetZone()]++
				}
			}
			Expect(zones).To(HaveLen(9))
		}
	})
})
