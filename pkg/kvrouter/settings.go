package kvrouter

import (
	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// Defaults of Settings. The busy threshold exceeds the number of blocks that fit into a
// replica's memory: requests with a common prefix share its blocks in memory, but the
// router's load counts these blocks once per request.
const (
	DefaultPrefillLoadScale     = 1.0
	DefaultLocalCredit          = 1.0
	DefaultPeerCredit           = 0.75
	DefaultStoreCredit          = 0.5
	DefaultBusyThresholdBlocks  = 32768
	DefaultDecodeWeight         = 0.05
	DefaultHarmWeight           = 1.0
	DefaultHarmTime             = 25.0
	DefaultLessUrgentWeight     = 0.8
	DefaultTransferPrice        = 0.05
	DefaultChurnFraction        = 0.1
	DefaultSpreadTime           = 20.0
	DefaultZonePrice            = 5.0
	DefaultZonePricePerKilobyte = 4.0
)

// Settings are the selection parameters of one pool. Fields that are not listed under one
// cost model apply to both.
type Settings struct {
	// PrefillLoadScale is the weight of the prefill term in the cost.
	PrefillLoadScale float64
	// RequestWeight is a fixed cost, in blocks, per active request.
	RequestWeight float64
	// BusyThresholdBlocks is the number of active blocks, prefill and decode together, at
	// which a replica counts as busy, or as full with the time cost model. 0 disables the
	// threshold.
	BusyThresholdBlocks float64
	// Temperature of the softmax over the costs; 0 selects the lowest cost.
	Temperature float64

	// Only the block cost model, that of pools without an engine profile, uses the three
	// credits below.

	// LocalCredit is the credit per block that the replica itself caches.
	LocalCredit float64
	// PeerCredit is the largest credit per block that the replica would pull from a peer.
	PeerCredit float64
	// StoreCredit is the largest credit per block that the replica would pull from the store.
	StoreCredit float64

	// Only the time cost model, that of pools with an engine profile, uses the fields below.

	// DecodeWeight is the cost weight per block of memory in use.
	DecodeWeight float64
	// HarmWeight is the weight of congestion, the delay that the request's prefill causes to
	// the requests queued behind it: the cost contains the time of the request's own prefill
	// once more, multiplied by HarmWeight.
	HarmWeight float64
	// HarmTime is the median backlog of the replicas, in milliseconds, at which the effective
	// weight is twice HarmWeight: the more prompts are queued, the more of them wait for this
	// one. The effective weight grows linearly with the backlog, up to maxHarmWeight. With 0
	// it does not depend on the backlog.
	HarmTime float64
	// LessUrgentWeight is the fraction of the queued tokens of less urgent prompts that
	// counts as queued before the request.
	LessUrgentWeight float64
	// ChurnFraction is the backlog, as a fraction of a replica's memory, at which all pulled
	// chunks count as evicted before they are used. With a smaller backlog a proportional part
	// of them counts as evicted. With 0 none do.
	ChurnFraction float64
	// SpreadTime is the upper bound, in milliseconds, of a pseudo-random cost that depends on
	// the router, the replica and the prompt. Load updates of other routers are about this
	// old, and without the pseudo-random cost all routers would select the same idle replica.
	SpreadTime float64
	// ZonePrice is the cost of a request to a replica in another zone, in milliseconds.
	ZonePrice float64
	// ZonePricePerKilobyte is added to ZonePrice for each kilobyte of the request's body.
	ZonePricePerKilobyte float64
	// TransferPrice is the cost of the transfer of a megabyte, in milliseconds.
	TransferPrice float64
}

// DefaultSettings returns the settings of a pool without routing configuration.
func DefaultSettings() Settings {
	return Settings{
		PrefillLoadScale:     DefaultPrefillLoadScale,
		LocalCredit:          DefaultLocalCredit,
		PeerCredit:           DefaultPeerCredit,
		StoreCredit:          DefaultStoreCredit,
		BusyThresholdBlocks:  DefaultBusyThresholdBlocks,
		DecodeWeight:         DefaultDecodeWeight,
		HarmWeight:           DefaultHarmWeight,
		HarmTime:             DefaultHarmTime,
		LessUrgentWeight:     DefaultLessUrgentWeight,
		TransferPrice:        DefaultTransferPrice,
		ChurnFraction:        DefaultChurnFraction,
		SpreadTime:           DefaultSpreadTime,
		ZonePrice:            DefaultZonePrice,
		ZonePricePerKilobyte: DefaultZonePricePerKilobyte,
	}
}

// DefaultEnginePrefillScale is PrefillLoadScale for pools with an engine profile.
const DefaultEnginePrefillScale = 16

// DefaultEngineSettings returns the settings of a pool with an engine profile.
func DefaultEngineSettings() Settings {
	settings := DefaultSettings()
	settings.PrefillLoadScale = DefaultEnginePrefillScale
	return settings
}

// SettingsFrom returns the settings of a pool's routing configuration, which may be nil. Zero
// values stand for the defaults.
func SettingsFrom(routing *ridgeswitchv1.Routing) Settings {
	settings := DefaultSettings()
	replaceIfSet(&settings.PrefillLoadScale, routing.GetPrefillLoadScale())
	replaceIfSet(&settings.PeerCredit, routing.GetPeerCredit())
	replaceIfSet(&settings.StoreCredit, routing.GetStoreCredit())
	replaceIfSet(&settings.BusyThresholdBlocks, float64(routing.GetBusyThresholdBlocks()))
	settings.RequestWeight = routing.GetRequestWeight()
	settings.Temperature = routing.GetTemperature()
	return settings
}

func replaceIfSet(setting *float64, configured float64) {
	if configured > 0 {
		*setting = configured
	}
}
