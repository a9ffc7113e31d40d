package kvrouter

import (
	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// Defaults of Settings. The busy threshold lies above the blocks that fit into
// a replica's memory, since requests that share a prefix share its blocks there
// but count them each.
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

// Settings are the knobs of selection for one pool. Those that name no cost model apply
// to both.
type Settings struct {
	// PrefillLoadScale is the weight of the prefill term in the cost.
	PrefillLoadScale float64
	// RequestWeight is a flat cost, in blocks, per active request.
	RequestWeight float64
	// BusyThresholdBlocks is the number of active blocks, prefill and decode
	// together, from which on a replica takes no further request. 0 means that
	// none is ever busy.
	BusyThresholdBlocks float64
	// Temperature of the softmax over the costs; 0 selects the lowest cost.
	Temperature float64

	// The block cost model alone, that of pools without an engine profile, uses the
	// three credits.

	// LocalCredit is the credit per block that the replica caches itself.
	LocalCredit float64
	// PeerCredit is the most credit per block that it would pull from a peer.
	PeerCredit float64
	// StoreCredit is the most credit per block that it would pull from the store.
	StoreCredit float64

	// The time cost model alone, that of pools with an engine profile, uses the rest.

	// DecodeWeight is the weight of a block of memory in use.
	DecodeWeight float64
	// HarmWeight is the weight of harm: how many times the request's own prefill counts
	// beyond its own delay, for the delay that it causes to the requests behind it.
	HarmWeight float64
	// HarmTime is the median backlog of the replicas, in milliseconds, at which
	// HarmWeight has doubled; it grows linearly, up to maxHarmWeight. The more
	// prompts are queued, the more of them wait for this one. With 0 HarmWeight does not depend on the backlog.
	HarmTime float64
	// LessUrgentWeight is the fraction of less urgent prompts that counts as queued
	// before the request.
	LessUrgentWeight float64
	// ChurnFraction is the backlog, as a fraction of a replica's memory, from which on
	// all pulled chunks count as evicted by the time that they are used; below it, a
	// part of them in proportion. 0 means that they never are.
	ChurnFraction float64
	// SpreadTime bounds the preference, in milliseconds, that each router has of its
	// own for each replica. Load updates of other routers are old by about as much, and
	// without the preference all would choose the same idle replica.
	SpreadTime float64
	// ZonePrice is what a request to a replica in another zone costs, in
	// milliseconds.
	ZonePrice float64
	// ZonePricePerKilobyte is added to it for each kilobyte of the request's body.
	ZonePricePerKilobyte float64
	// TransferPrice is what the transfer of a megabyte costs, in milliseconds.
	TransferPrice float64
}

// DefaultSettings returns the settings of a pool that configures none.
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

// SettingsFrom reads a pool's configuration, which may be nil. Zero values
// mean the defaults.
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
