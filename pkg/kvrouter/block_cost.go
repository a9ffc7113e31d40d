package kvrouter

// blockCostInputs are the terms of the cost of one replica, in blocks.
type blockCostInputs struct {
	activePrefill  float64
	incomingPrompt float64
	overlapCredit  float64
	activeDecode   float64
	incomingDecode float64
	activeRequests float64
}

// blockCost estimates, in blocks, what it costs the fleet to run a request on a
// replica: the prompt work that is left after the credit for kept parts, the
// memory that active requests hold, and a flat cost per active request.
func blockCost(settings Settings, inputs blockCostInputs) float64 {
	prefill := max(0, inputs.activePrefill+inputs.incomingPrompt-inputs.overlapCredit)
	potentialDecode := inputs.activeDecode + inputs.incomingDecode
	return settings.PrefillLoadScale*prefill +
		potentialDecode +
		settings.RequestWeight*inputs.activeRequests
}
