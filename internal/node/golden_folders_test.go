package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/static"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
	"github.com/ridgeswitch/ridgeswitch/pkg/replication"
)

// The golden data folders were written by an earlier release and must never be rewritten:
// later releases must read the same state from them. To add a scenario, run the specs once
// with the environment variable that writeGolden names set, and commit only the new folders.
const (
	goldenFolders = "testdata/folders"
	writeGolden   = "RIDGESWITCH_WRITE_GOLDEN"
	// goldenLogEntries is small so that shards write snapshots after few entries.
	goldenLogEntries = 6
	// tornBytes is how many bytes are cut from the newest record of a torn log.
	tornBytes = 5
)

// replicaAddresses are the addresses of the replicas in the golden deployments.
var replicaAddresses = []string{"127.2.0.1:8000", "127.2.0.2:8000", "127.2.0.3:8000"}

// folderDump is the content of a data folder. The dump types have their own JSON keys, so
// that the golden files stay valid when identifiers in the program are renamed.
type folderDump struct {
	Incarnation uint64      `json:"incarnation"`
	Founders    []string    `json:"founders,omitempty"`
	Seeds       []string    `json:"seeds"`
	Shards      []shardDump `json:"shards"`
}

type shardDump struct {
	Shard               uint32        `json:"shard"`
	Term                uint64        `json:"term"`
	PromisedTo          string        `json:"promised_to"`
	PromisedIncarnation uint64        `json:"promised_incarnation"`
	Commit              uint64        `json:"commit"`
	Snapshot            *snapshotDump `json:"snapshot,omitempty"`
	Entries             []entryDump   `json:"entries"`
}

type snapshotDump struct {
	Index uint64          `json:"index"`
	Term  uint64          `json:"term"`
	Group []memberDump    `json:"group"`
	State json.RawMessage `json:"state"`
}

type memberDump struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Learner     bool   `json:"learner"`
}

type entryDump struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Kind    uint8           `json:"kind"`
	Command json.RawMessage `json:"command,omitempty"`
}

// deploymentDump is the state that all nodes of a deployment serve after they were started
// on their folders.
type deploymentDump struct {
	Configuration json.RawMessage `json:"configuration"`
	Document      json.RawMessage `json:"document"`
	Weights       json.RawMessage `json:"weights"`
	// Groups contains the group of each shard, as its leader knows it.
	Groups [][]memberDump `json:"groups"`
}

// marshalJSON returns the compact JSON of a message, in the order of its fields.
func marshalJSON(message proto.Message) json.RawMessage {
	data, err := protojson.Marshal(message)
	Expect(err).NotTo(HaveOccurred())
	var compact bytes.Buffer
	Expect(json.Compact(&compact, data)).To(Succeed())
	return compact.Bytes()
}

// decodeToJSON decodes data into message and returns the JSON of the message.
func decodeToJSON(data []byte, message proto.Message) json.RawMessage {
	Expect(proto.Unmarshal(data, message)).To(Succeed())
	return marshalJSON(message)
}

func stateDump(shard uint32, data []byte) json.RawMessage {
	if shard == control.ConfigurationShard {
		return decodeToJSON(data, &controlpb.ConfigurationState{})
	}
	return decodeToJSON(data, &controlpb.ServiceState{})
}

func dumpGroup(group []replication.Slot) []memberDump {
	var dumped []memberDump
	for _, place := range group {
		dumped = append(dumped, memberDump{Node: string(place.ID), Incarnation: place.Incarnation, Learner: place.Learner})
	}
	return dumped
}

func dumpEntry(shard uint32, entry replication.Entry) entryDump {
	dumped := entryDump{Index: entry.Index, Term: entry.Term, Kind: uint8(entry.Kind)}
	switch entry.Kind {
	case replication.EntryCommand:
		dumped.Command = decodeToJSON(entry.Command, &controlpb.Command{})
	case replication.EntryRestore:
		dumped.Command = stateDump(shard, entry.Command)
	case replication.EntryGroupChange:
		dumped.Command = entry.Command
	case replication.EntryBarrier:
		Expect(entry.Command).To(BeEmpty())
	default:
		Fail(fmt.Sprintf("unknown entry kind %d", entry.Kind))
	}
	return dumped
}

func dumpShard(shard uint32, restored replication.DurableState) shardDump {
	dumped := shardDump{
		Shard:               shard,
		Term:                restored.Term,
		PromisedTo:          string(restored.VotedFor),
		PromisedIncarnation: restored.VotedForIncarnation,
		Commit:              restored.Commit,
		Entries:             []entryDump{},
	}
	if snapshot := restored.Snapshot; snapshot != nil {
		dumped.Snapshot = &snapshotDump{
			Index: snapshot.Index,
			Term:  snapshot.Term,
			Group: dumpGroup(snapshot.Slots),
			State: stateDump(shard, snapshot.Data),
		}
	}
	for _, entry := range restored.Entries {
		dumped.Entries = append(dumped.Entries, dumpEntry(shard, entry))
	}
	return dumped
}

// goldenNode is a node with a data folder, without a network and in virtual time.
type goldenNode struct {
	settings *static.Settings
	storage  *storage
	machine  *control.Machine
}

// dump returns the content that the node read from its folder. It is called before the node
// runs.
func (n *goldenNode) dump() folderDump {
	dumped := folderDump{
		Incarnation: n.storage.incarnation,
		Founders:    n.storage.founders,
		Seeds:       n.storage.seeds(n.settings),
	}
	for shard := range uint32(len(n.storage.restored)) {
		dumped.Shards = append(dumped.Shards, dumpShard(shard, n.storage.restored[shard]))
	}
	return dumped
}

// idleTraffic reports that no request is in flight.
type idleTraffic struct{}

func (idleTraffic) InFlight(string) int { return 0 }

// goldenDeployment runs core nodes on data folders.
type goldenDeployment struct {
	folder string
	seeded bool
	now    time.Duration
	nodes  map[string]*goldenNode
	// names are the names of all nodes, in the order in which their ticks run.
	names   []string
	sends   []control.Send
	tickets uint64
	replies map[uint64]control.Reply
	// versions are the weight versions that the replicas run.
	versions map[string]string
	// groupRestored is set once a node has written an EntryRestore, which contains the
	// state of a group that is formed again after a loss of disks.
	groupRestored bool
}

// newGoldenDeployment returns a deployment that is not started, whose replicas run the
// weight version weights.
func newGoldenDeployment(folder string, seeded bool, weights string) *goldenDeployment {
	deployment := &goldenDeployment{
		folder: folder,
		seeded: seeded,
		nodes:  map[string]*goldenNode{}, names: []string{"core-1", "core-2", "core-3"},
		replies: map[uint64]control.Reply{}, versions: map[string]string{},
	}
	for _, address := range replicaAddresses {
		deployment.versions[address] = weights
	}
	return deployment
}

func (d *goldenDeployment) settings(name string) *static.Settings {
	addresses := []string{"127.1.1.1:7100", "127.1.2.1:7100", "127.1.3.1:7100"}
	settings := &static.Settings{
		Node: name, Zone: "a", Internal: addresses[slices.Index(d.names, name)], Seeds: addresses[:1],
		DataFolder: filepath.Join(d.folder, name), ServiceShards: 1,
		HeartbeatEveryMS: 100, PlatformPollEveryMS: 1000, CommandGapMS: 3000,
	}
	if d.seeded {
		settings.Founding = d.now == 0
		if settings.Founding {
			settings.Seeds = addresses
		}
	} else {
		settings.Group = d.names
	}
	return settings
}

// start starts a node with its existing folder, or with a new one.
func (d *goldenDeployment) start(name string) *goldenNode {
	settings := d.settings(name)
	opened, err := openStorage(settings)
	Expect(err).NotTo(HaveOccurred())
	config := controlConfig(settings, opened)
	config.Self.Incarnation = member.Incarnation(d.now/time.Millisecond) + 1
	config.MaxLogEntries = goldenLogEntries
	machine, err := control.New(config, opened.restored, idleTraffic{}, d.now)
	Expect(err).NotTo(HaveOccurred())
	started := &goldenNode{settings: settings, storage: opened, machine: machine}
	d.nodes[name] = started
	return started
}

// stop closes the storage of a node and removes the node, as when its process is killed.
func (d *goldenDeployment) stop(name string) {
	if running := d.nodes[name]; running != nil {
		running.storage.close()
		delete(d.nodes, name)
	}
}

func (d *goldenDeployment) stopAll() {
	for _, name := range d.names {
		d.stop(name)
	}
}

func (d *goldenDeployment) perform(node *goldenNode, output control.Output) {
	d.sends = append(d.sends, output.Sends...)
	for _, reply := range output.Replies {
		d.replies[reply.Ticket] = reply
	}
	for _, command := range output.Commands {
		d.versions[command.Address] = command.WeightVersion
		d.perform(node, node.machine.CommandDone(d.now, command, control.CommandAccepted))
	}
	for _, request := range output.ReportRequests {
		d.perform(node, node.machine.SetReplicaReport(d.now, control.ReplicaReport{
			Address: request.Address, Incarnation: 1, WeightVersion: d.versions[request.Address], MeasuredAt: d.now,
		}))
	}
	if output.ReadEndpoints {
		d.perform(node, node.machine.EndpointsRead(d.now, d.reading()))
	}
	for _, save := range output.Writes {
		d.save(node, save)
	}
}

func (d *goldenDeployment) save(node *goldenNode, save control.StorageWrite) {
	log := node.storage.logs[save.Shard]
	if kept := save.Checkpoint; kept != nil {
		Expect(log.Checkpoint(kept.HardState, kept.Snapshot, kept.Entries)).To(Succeed())
	} else {
		Expect(log.Save(save.Ready)).To(Succeed())
	}
	for _, entry := range save.Ready.Entries {
		d.groupRestored = d.groupRestored || entry.Kind == replication.EntryRestore
	}
	d.perform(node, node.machine.StorageWritten(d.now, save.Shard))
}

// reading returns a list with all replicas.
func (d *goldenDeployment) reading() control.EndpointReading {
	service := control.ServiceEndpoints{Name: "summaries"}
	for _, address := range replicaAddresses {
		service.Endpoints = append(service.Endpoints, control.Endpoint{Address: address, Zone: "a"})
	}
	return control.EndpointReading{StartedAt: d.now, Services: []control.ServiceEndpoints{service}}
}

// run advances the virtual time by duration. The messages of a tick are delivered, in the
// order of sending, after all nodes have run the tick.
func (d *goldenDeployment) run(duration time.Duration) {
	for end := d.now + duration; d.now < end; d.now += control.DefaultTickEvery {
		for _, name := range d.names {
			if node := d.nodes[name]; node != nil {
				d.perform(node, node.machine.Tick(d.now))
			}
		}
		sends := d.sends
		d.sends = nil
		for _, send := range sends {
			if node := d.receiver(send); node != nil {
				d.perform(node, node.machine.Receive(d.now, send.Envelope))
			}
		}
	}
}

func (d *goldenDeployment) receiver(send control.Send) *goldenNode {
	for _, name := range d.names {
		node := d.nodes[name]
		if node != nil && (send.To == member.ID(node.settings.MemberID()) || send.To == "" && send.Address == node.settings.Internal) {
			return node
		}
	}
	return nil
}

// submit submits an order to a node and expects that the order is accepted.
func (d *goldenDeployment) submit(name string, order *controlpb.Order, err error) {
	Expect(err).NotTo(HaveOccurred())
	d.tickets++
	node := d.nodes[name]
	d.perform(node, node.machine.Submit(d.now, d.tickets, order))
	d.run(6 * time.Second)
	reply := d.replies[d.tickets]
	Expect(reply.Err).NotTo(HaveOccurred())
	Expect(reply.Answer.GetProblem()).To(BeNil())
	Expect(reply.Answer.GetRevision()).NotTo(BeZero())
}

// dump returns the state that a running node serves.
func (d *goldenDeployment) dump(name string) deploymentDump {
	node := d.nodes[name]
	d.tickets++
	d.perform(node, node.machine.ReadSource(d.now, d.tickets))
	d.run(2 * time.Second)
	reply := d.replies[d.tickets]
	Expect(reply.Err).NotTo(HaveOccurred())
	return deploymentDump{
		Configuration: marshalJSON(node.machine.Configuration()),
		Document:      marshalJSON(reply.Source),
		Weights:       marshalJSON(node.machine.WeightsStatus("summaries")),
		Groups:        [][]memberDump{d.group(0), d.group(1)},
	}
}

// group returns the group of a shard, as its leader knows it.
func (d *goldenDeployment) group(shard uint32) []memberDump {
	for _, name := range d.names {
		if group, leads := d.nodes[name].machine.GroupSlots(shard); leads {
			return dumpGroup(group)
		}
	}
	Fail(fmt.Sprintf("shard %d has no leader", shard))
	return nil
}

// goldenConfiguration returns the configuration of the golden deployments.
func goldenConfiguration(weights string) *ridgeswitchv1.Configuration {
	return &ridgeswitchv1.Configuration{
		Tenants: []*ridgeswitchv1.Tenant{{Name: "registry", Limits: &ridgeswitchv1.Limits{
			RequestsPerSecond: 20, Burst: 40, ConcurrentRequests: 16, QueuedRequests: 32, QueueTimeoutMs: 2000,
		}}},
		Pools: []*ridgeswitchv1.Pool{{
			Name: "summaries", Model: "base-70b", Service: "summaries", WeightVersion: weights, RequestTimeoutMs: 60_000,
		}},
		Routes: []*ridgeswitchv1.Route{{Host: "summaries.example.org", Destination: &ridgeswitchv1.Route_Pool{Pool: "summaries"}, Public: true}},
	}
}

// submitChanges submits a document, evacuations and a weights order.
func (d *goldenDeployment) submitChanges() {
	source := &ridgeswitchv1.Source{Version: 3, Document: []byte("pools: [summaries]\n")}
	order, err := dynamic.DocumentOrder(goldenConfiguration("w1"), source)
	d.submit("core-1", order, err)
	for _, zone := range []string{"b", "c", "d"} {
		order, err = dynamic.EvacuationOrder("evacuate-"+zone, zone, true, "power work")
		d.submit("core-2", order, err)
	}
	order, err = dynamic.NameWeightsOrder("weights", "summaries", "w2")
	d.submit("core-3", order, err)
	d.run(30 * time.Second)
}

func (d *goldenDeployment) startAll() {
	for _, name := range d.names {
		if !d.seeded && d.now == 0 {
			Expect(Initialise(d.settings(name))).To(Succeed())
		}
		d.start(name)
	}
	d.run(10 * time.Second)
}

// loseDisk stops a node and removes its folder.
func (d *goldenDeployment) loseDisk(name string) {
	d.stop(name)
	Expect(os.RemoveAll(filepath.Join(d.folder, name))).To(Succeed())
}

// writeAddresses writes addressesFile of all nodes, as addressService does in a running node.
func (d *goldenDeployment) writeAddresses() {
	for _, name := range d.names {
		node := d.nodes[name]
		data, err := json.Marshal(node.machine.CoreNodeAddresses())
		Expect(err).NotTo(HaveOccurred())
		Expect(node.storage.disk.WriteFile(addressesFile, data)).To(Succeed())
	}
}

// tearLogs truncates the newest record of each shard of a node.
func (d *goldenDeployment) tearLogs(name string) {
	for _, shard := range []string{"shard-000", "shard-001"} {
		path := filepath.Join(d.folder, name, shard)
		newest := path + ".log0"
		if fileInfo(path + ".log1").ModTime().After(fileInfo(newest).ModTime()) {
			newest = path + ".log1"
		}
		Expect(os.Truncate(newest, fileInfo(newest).Size()-tornBytes)).To(Succeed())
	}
}

func fileInfo(path string) os.FileInfo {
	info, err := os.Stat(path)
	Expect(err).NotTo(HaveOccurred())
	return info
}

// goldenScenario is the history of a deployment whose folders are below goldenFolders/name.
type goldenScenario struct {
	name   string
	seeded bool
	// prepare runs the deployment through the scenario and stops all nodes.
	prepare func(d *goldenDeployment)
}

var goldenScenarios = []goldenScenario{
	// The nodes find each other through seeds; one of them then gets an empty disk.
	{name: "seeded", seeded: true, prepare: func(d *goldenDeployment) {
		d.startAll()
		d.submitChanges()
		d.loseDisk("core-2")
		d.run(10 * time.Second)
		d.start("core-2")
		d.run(30 * time.Second)
		d.writeAddresses()
		d.stopAll()
	}},
	// The settings name the group; the last record of each log of one node is torn.
	{name: "torn", prepare: func(d *goldenDeployment) {
		d.startAll()
		d.submitChanges()
		d.stopAll()
		d.tearLogs("core-3")
	}},
	// Two of three nodes lose their disks, and all nodes stop just after the first
	// EntryRestore was written.
	{name: "recovery", prepare: func(d *goldenDeployment) {
		d.startAll()
		d.submitChanges()
		d.loseDisk("core-2")
		d.loseDisk("core-3")
		d.run(5 * time.Second)
		d.start("core-2")
		d.start("core-3")
		for limit := d.now + time.Minute; !d.groupRestored && d.now < limit; {
			d.run(control.DefaultTickEvery)
		}
		Expect(d.groupRestored).To(BeTrue())
		d.stopAll()
	}},
}

// checkGolden compares a dump with the golden file at path. If the file does not exist and
// writeGolden is set, checkGolden writes it.
func checkGolden(path string, dump any) {
	data, err := json.MarshalIndent(dump, "", "  ")
	Expect(err).NotTo(HaveOccurred())
	data = append(data, '\n')
	if _, err := os.Stat(path); os.IsNotExist(err) && os.Getenv(writeGolden) != "" {
		Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	}
	golden, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	ExpectWithOffset(1, string(data)).To(Equal(string(golden)))
}

var _ = Describe("A data folder that an earlier release wrote", func() {
	for _, scenario := range goldenScenarios {
		It("is read with the same state: "+scenario.name, func() {
			golden := filepath.Join(goldenFolders, scenario.name)
			if _, err := os.Stat(golden); os.Getenv(writeGolden) != "" && os.IsNotExist(err) {
				scenario.prepare(newGoldenDeployment(golden, scenario.seeded, "w1"))
			}
			deployment := newGoldenDeployment(GinkgoT().TempDir(), scenario.seeded, "w2")
			Expect(os.CopyFS(deployment.folder, os.DirFS(golden))).To(Succeed())
			deployment.now = time.Hour
			for _, name := range deployment.names {
				checkGolden(filepath.Join(golden, name+".json"), deployment.start(name).dump())
			}
			defer deployment.stopAll()
			deployment.run(time.Minute)
			for _, name := range deployment.names {
				checkGolden(filepath.Join(golden, "deployment.json"), deployment.dump(name))
			}
		})
	}
})
