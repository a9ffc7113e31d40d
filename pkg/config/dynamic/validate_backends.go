package dynamic

import (
	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
)

// engine checks the description of a pool's inference engines, which is optional.
func (v *validation) engine(path string, engine *ridgeswitchv1.Engine) {
	if engine == nil {
		return
	}
	v.positive(path+".slots", engine.GetSlots(), MaxEngineSlots)
	if engine.GetMemoryTokens() == 0 {
		v.add(KindOutOfRange, path+".memory_tokens", "is 0; give the tokens that fit into a replica's memory")
	}
	v.atMost(path+".memory_tokens", engine.GetMemoryTokens(), MaxMemoryTokens)
	v.atMost(path+".token_bytes", uint64(engine.GetTokenBytes()), MaxTokenBytes)
	v.nonNegative(path+".link_bits_per_second", engine.GetLinkBitsPerSecond(), MaxLinkBitsPerSecond)
	v.atMost(path+".tokens_per_event", uint64(engine.GetTokensPerEvent()), MaxTokensPerEvent)
	v.atMost(path+".max_report_readers", uint64(engine.GetMaxReportReaders()), MaxReportReaders)
}

// backends checks the limits that apply to each back end of a destination; 0 means no limit.
func (v *validation) backends(path string, limits *ridgeswitchv1.BackendLimits) {
	v.atMost(path+".max_connections", uint64(limits.GetMaxConnections()), MaxBackendConnections)
	v.path(path+".health_path", limits.GetHealthPath())
	v.timeoutOrZero(path+".cold_start_ms", limits.GetColdStartMs(), MaxSlowStart)
	v.nonNegative(path+".cold_requests_per_second", limits.GetColdRequestsPerSecond(), MaxRequestsPerSecond)
}
