package main

import (
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ridgeswitch/ridgeswitch/internal/lab/emulator"
)

// standInFlags returns the flags of a stand-in that caches chunks: its own flags, and those of
// the clock, of the cache events and of the links.
func standInFlags(own ...cli.Flag) []cli.Flag {
	return slices.Concat(own, timeFlags(), feedFlags(), linkFlags())
}

// timeFlags returns the flags of every stand-in that runs on a scaled clock.
func timeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Float64Flag{Name: "time-scale", Usage: "how many times faster than real machines work runs", Value: 1},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of all faults", Value: 1},
	}
}

// feedFlags returns the flags for the faults in the delivery of cache events. Their durations
// are in real time, not scaled by --time-scale.
func feedFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{Name: "event-delay", Usage: "delay of cache events", Value: 50 * time.Millisecond},
		&cli.DurationFlag{Name: "event-jitter", Usage: "further delay, at random", Value: 50 * time.Millisecond},
		&cli.Float64Flag{Name: "event-loss", Usage: "share of cache events that are lost"},
		&cli.Float64Flag{Name: "event-duplicates", Usage: "share of cache events that come twice"},
		&cli.Float64Flag{Name: "event-reorder", Usage: "share of cache events that come out of order"},
		&cli.DurationFlag{Name: "event-reorder-by", Usage: "how much later those come", Value: 200 * time.Millisecond},
	}
}

// feedPlan returns the delivery faults that the flags describe.
func feedPlan(command *cli.Command) emulator.FeedPlan {
	return emulator.FeedPlan{
		Delay:          command.Duration("event-delay"),
		Jitter:         command.Duration("event-jitter"),
		LossRatio:      command.Float64("event-loss"),
		DuplicateRatio: command.Float64("event-duplicates"),
		ReorderRatio:   command.Float64("event-reorder"),
		ReorderBy:      command.Duration("event-reorder-by"),
	}
}

// linkFlags returns the flags for the links between machines.
func linkFlags() []cli.Flag {
	const gigabytePerSecond = 1e9
	return []cli.Flag{
		&cli.DurationFlag{Name: "cross-zone-latency", Usage: "latency between zones", Value: 2 * time.Millisecond},
		&cli.Float64Flag{Name: "same-zone-bandwidth", Usage: "bytes per second within a zone", Value: 6.25 * gigabytePerSecond},
		&cli.Float64Flag{Name: "cross-zone-bandwidth", Usage: "bytes per second between zones", Value: 2.5 * gigabytePerSecond},
	}
}

// linkModel returns the links that the flags describe.
func linkModel(command *cli.Command) emulator.LinkModel {
	model := emulator.DefaultLinks(command.Duration("cross-zone-latency"))
	model.SameZone.BytesPerSecond = command.Float64("same-zone-bandwidth")
	model.CrossZone.BytesPerSecond = command.Float64("cross-zone-bandwidth")
	return model
}
