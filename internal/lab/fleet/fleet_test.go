package fleet_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/caller"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/checker"
	"github.com/ridgeswitch/ridgeswitch/internal/lab/fleet"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
)

func deployment(name string) *fleet.Deployment {
	loaded, err := fleet.LoadDeployment(filepath.Join("..", "..", "..", "deploy", name))
	Expect(err).NotTo(HaveOccurred())
	return loaded
}

var _ = DescribeTable("a deployment at full size", func(name string, front, core, zones, web int, rate float64) {
	loaded := deployment(name)
	topology := loaded.Topology
	Expect(topology.Front()).To(HaveLen(front))
	Expect(topology.Group).To(HaveLen(core))
	Expect(topology.Nodes).To(HaveLen(front + core))
	frontZones := lo.Map(topology.Front(), func(node fleet.Node, _ int) string { return node.Zone })
	Expect(lo.Uniq(frontZones)).To(HaveLen(zones))
	Expect(topology.Replicas.Members).To(HaveLen(18))
	Expect(topology.WebServices[0].Members).To(HaveLen(web))
	Expect(topology.WebServices[0].FetchesPerSecond).To(Equal(rate))
	Expect(dynamic.Validate(loaded.Configuration)).To(Succeed())
	Expect(loaded.Configuration.GetTenants()).To(HaveLen(8))
	for _, tenant := range loaded.Configuration.GetTenants() {
		for _, key := range tenant.GetKeys() {
			Expect(key.GetSha256()).To(Equal(dynamic.KeyDigest(fleet.Secret(name, tenant.GetName(), key.GetName()))))
		}
	}
	for _, node := range topology.Nodes {
		path, err := fleet.WriteSettings(topology, node, GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		settings, err := static.Load(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Check()).To(BeEmpty(), node.Name)
	}
},
	Entry("hivatal", "hivatal", 9, 3, 4, 4, 14.0),
	Entry("lakeshore", "lakeshore", 8, 5, 3, 3, 9.0),
)

var _ = Describe("a load", func() {
	jobs := func(seed uint64) []caller.Job {
		loaded := deployment("hivatal")
		plan, err := fleet.NewPlan(loaded, seed, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		load, err := fleet.NewLoad(loaded, plan, fleet.LoadOptions{Seed: seed, Duration: 10 * time.Second, ModelRate: 64})
		Expect(err).NotTo(HaveOccurred())
		var all []caller.Job
		for job, more := load.Next(); more; job, more = load.Next() {
			all = append(all, job)
		}
		return all
	}

	It("is the same for a seed and differs between seeds", func() {
		Expect(jobs(1)).To(Equal(jobs(1)))
		Expect(jobs(1)).NotTo(Equal(jobs(2)))
	})

	It("contains requests with revoked keys, early disconnects, streams and web requests", func() {
		all := jobs(1)
		Expect(len(all)).To(BeNumerically("~", 780, 150))
		Expect(lo.CountBy(all, func(job caller.Job) bool { return job.Key == "spare" })).To(BeNumerically(">", 20))
		Expect(lo.CountBy(all, func(job caller.Job) bool { return job.DisconnectAfter > 0 })).To(BeNumerically(">", 5))
		Expect(lo.CountBy(all, func(job caller.Job) bool { return job.Streamed && !job.Repeatable })).To(BeNumerically(">", 5))
		Expect(lo.CountBy(all, func(job caller.Job) bool { return job.WebService })).To(BeNumerically(">", 80))
		Expect(lo.EveryBy(all, func(job caller.Job) bool { return job.Host != "" })).To(BeTrue())
	})
})

var _ = Describe("a topology", func() {
	It("refuses names and addresses that are unknown or given twice", func() {
		for _, broken := range []func(*fleet.Topology){
			func(topology *fleet.Topology) { topology.Nodes[1].Name = topology.Nodes[0].Name },
			func(topology *fleet.Topology) { topology.Group[0] = "front-1" },
			func(topology *fleet.Topology) { topology.Seeds[0] = "missing" },
			func(topology *fleet.Topology) { topology.Store.Address = topology.Platform.Address },
		} {
			topology := deployment("hivatal").Topology
			Expect(topology.Check()).To(Succeed())
			broken(topology)
			Expect(topology.Check()).NotTo(Succeed())
		}
	})
})

var _ = Describe("a fleet", func() {
	It("ends its processes when one of them exits during the start", func() {
		shell, err := exec.LookPath("sh")
		Expect(err).NotTo(HaveOccurred())
		folder := GinkgoT().TempDir()
		// Each stand-in exits with an error, because sh cannot open a script with the name
		// of the command.
		topology := deployment("hivatal").Topology
		// A fleet with the deployment's own addresses may be running during the tests.
		topology.Platform.Address = "127.5.254.1:7500"
		running := fleet.New(fleet.Options{
			Topology: topology, LabBinary: shell,
			NodeBinary: shell, Folder: folder, Clock: fleet.NewClock(), TimeScale: 1,
		})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		Expect(running.Start(ctx)).To(MatchError(ContainSubstring("ended while it started")))
		running.Stop()
		Expect(running.LiveTargets()).To(BeEmpty())
		Expect(running.RestartNode("front-1")).To(MatchError(ContainSubstring("stopped")))
		logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
		Expect(err).NotTo(HaveOccurred())
		Expect(logs).NotTo(BeEmpty())
	})

	It("kills a process that has not exited after SIGTERM within the timeout", func() {
		folder := GinkgoT().TempDir()
		script := filepath.Join(folder, "deaf")
		Expect(os.WriteFile(script, []byte("#!/bin/sh\ntrap '' TERM\nread line < \"$0.never\"\n"), 0o755)).To(Succeed())
		Expect(exec.Command("mkfifo", script+".never").Run()).To(Succeed())
		process, err := fleet.StartProcess(fleet.KindNode, "deaf", folder, script)
		Expect(err).NotTo(HaveOccurred())
		Expect(process.Terminate(0)).To(BeFalse())
		ended, done := process.Ended()
		Expect(done).To(BeTrue())
		Expect(ended).To(BeTemporally(">=", process.Started))
	})
})

var _ = Describe("a summary", func() {
	It("counts how requests ended and fails on a violation", func() {
		topology := deployment("hivatal").Topology
		service := topology.Replicas.Service
		records := &checker.Records{
			End: time.Second,
			Requests: []checker.Request{
				{ID: "1", Service: service, Streamed: true, Result: checker.ResultComplete, EchoID: "1", DigestMatches: true, FirstByte: 10 * time.Millisecond},
				{ID: "2", Result: checker.ResultRefused, ErrorKind: "rate_limited"},
				{ID: "3", Result: checker.ResultTruncated},
				{ID: "4", Result: checker.ResultDisconnected},
				{ID: "5", Result: checker.ResultLost},
			},
			Executions: []checker.Execution{{RequestID: "1", Attempt: 1, Service: service}},
		}
		summary := fleet.Summarize(topology, 1, &fleet.Outcome{Records: records})
		Expect(summary.Err()).To(Succeed())
		Expect([]int{summary.Requests, summary.Succeeded, summary.Refused, summary.Failed, summary.Disconnected}).To(Equal([]int{5, 1, 1, 2, 1}))
		Expect(summary.FirstByteP50).To(Equal(10.0))
		records.Executions = append(records.Executions, records.Executions[0])
		Expect(fleet.Summarize(topology, 1, &fleet.Outcome{Records: records}).Err()).NotTo(Succeed())
	})
})
