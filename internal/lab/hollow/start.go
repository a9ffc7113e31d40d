package hollow

import (
	"context"
	"runtime"
	"time"

	"github.com/samber/lo"

	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/wire"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// A start of all nodes at once, without a configuration, as after a loss of all
// power. The nodes find each other through seeds and fail open.
const (
	// startWindow is the time within which all processes begin.
	startWindow = 300 * time.Millisecond
	// startLimit is when a start is given up that has come to no agreement.
	startLimit = 60 * time.Second
	// startSteady is for how long all nodes must hold one table.
	startSteady = time.Second
	// startCheckEvery is how often the tables are compared.
	startCheckEvery = 50 * time.Millisecond
	// startHeartbeat, startContact and startAcknowledge are those of a platform.
	startHeartbeat   = 250 * time.Millisecond
	startContact     = 5 * time.Second
	startAcknowledge = 6 * time.Second
)

// StartFigures tell what a start of all nodes at once takes.
type StartFigures struct {
	Nodes int    `json:"nodes"`
	Core  int    `json:"core"`
	Zones int    `json:"zones"`
	Seed  uint64 `json:"seed"`
	// Agreed reports whether all nodes came to hold one table of members, and
	// AgreedSeconds when they first did for startSteady.
	Agreed        bool    `json:"agreed"`
	AgreedSeconds float64 `json:"agreed_seconds"`
	// ProcessorSeconds is the processor time of all nodes until then.
	ProcessorSeconds float64 `json:"processor_seconds"`
	// Frames, Megabytes and MegabytesAcross count what was sent until then, the
	// latter to other zones alone.
	Frames uint64 `json:"frames"`
	// FramesRefused are those that their receivers could not read.
	FramesRefused   uint64      `json:"frames_refused"`
	Megabytes       float64     `json:"megabytes"`
	MegabytesAcross float64     `json:"megabytes_across"`
	Kinds           []StartKind `json:"kinds"`
}

// StartKind is what one kind of message took.
type StartKind struct {
	Kind            string  `json:"kind"`
	Frames          uint64  `json:"frames"`
	Megabytes       float64 `json:"megabytes"`
	MegabytesAcross float64 `json:"megabytes_across"`
}

// MeasureStart starts all nodes of settings at once, on the virtual clock.
func MeasureStart(ctx context.Context, settings Settings) (*StartFigures, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	// The processor time of inputs is read from this thread.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	settings.Virtual = true
	settings.SimultaneousStart = true
	fleet, err := newVirtualFleet(settings)
	if err != nil {
		return nil, err
	}
	for _, node := range fleet.nodes {
		fleet.queue.Add(time.Duration(fleet.random.Int64N(int64(startWindow))), node.start)
	}
	figures := &StartFigures{Nodes: settings.Nodes, Core: settings.Core, Zones: settings.Zones, Seed: settings.Seed}
	figures.awaitAgreement(ctx, fleet)
	figures.count(fleet)
	return figures, ctx.Err()
}

// awaitAgreement runs until all nodes have held one table for a while.
func (f *StartFigures) awaitAgreement(ctx context.Context, fleet *virtualFleet) {
	var since, checked time.Duration
	var lastDigest uint64
	fleet.runUntil(ctx, startLimit, func() bool {
		if fleet.now < checked+startCheckEvery {
			return false
		}
		checked = fleet.now
		digest, agreed := fleet.commonTable()
		if !agreed || digest != lastDigest {
			since, lastDigest = fleet.now, digest
		}
		f.Agreed = agreed && fleet.now-since >= startSteady
		f.AgreedSeconds = since.Seconds()
		return f.Agreed
	})
}

// commonTable returns the digest of the table of members if all nodes hold the same,
// with all nodes in it.
func (f *virtualFleet) commonTable() (digest uint64, agreed bool) {
	digest = f.nodes[0].machine.TableDigest()
	agreed = len(f.nodes[0].machine.Members()) == len(f.nodes) && lo.EveryBy(f.nodes, func(node *virtualNode) bool {
		return node.machine.TableDigest() == digest
	})
	return digest, agreed
}

// count sums up what all nodes sent and used.
func (f *StartFigures) count(fleet *virtualFleet) {
	f.FramesRefused = fleet.badFrames
	var all reading
	for _, node := range fleet.nodes {
		all = all.plus(node.meter.read())
		f.ProcessorSeconds += node.used.Seconds()
	}
	for kind := range wire.KindCount {
		sent, across := all.sent[kind], all.crossZone[kind]
		if sent.messages == 0 {
			continue
		}
		f.Frames += sent.messages
		f.Megabytes += megabytes(sent.bytes)
		f.MegabytesAcross += megabytes(across.bytes)
		f.Kinds = append(f.Kinds, StartKind{
			Kind:            kind.String(),
			Frames:          sent.messages,
			Megabytes:       megabytes(sent.bytes),
			MegabytesAcross: megabytes(across.bytes),
		})
	}
}

const bytesPerMegabyte = 1e6

func megabytes(bytes uint64) float64 { return float64(bytes) / bytesPerMegabyte }

// simultaneousStartConfig is the configuration of a node that finds the others through seeds.
func (t *topology) simultaneousStartConfig(number int, incarnation member.Incarnation) control.Config {
	seeds := min(seedCount, t.settings.Core)
	config := control.Config{
		Self:          t.info(number, incarnation),
		Seeds:         t.addresses[:seeds],
		Seeded:        true,
		FailOpen:      true,
		ServiceShards: 1,
		Times:         control.FailOpenTimes(startContact, startAcknowledge),
	}
	config.Times.HeartbeatEvery = startHeartbeat
	if config.Self.HoldsState {
		config.DiskIncarnation = uint64(number) + 1
	}
	if number < seeds {
		config.DiskIncarnation = 0
		for _, address := range t.addresses[:seeds] {
			config.Group = append(config.Group, member.ID(address))
		}
	}
	return config
}
