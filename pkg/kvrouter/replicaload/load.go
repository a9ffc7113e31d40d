package replicaload

// Load is the work of a replica.
type Load struct {
	// PrefillTokens are still to be computed before first tokens.
	PrefillTokens float64
	// DecodeTokens are in memory for active requests.
	DecodeTokens float64
	// Requests counts the active requests.
	Requests float64
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{
		PrefillTokens: l.PrefillTokens + other.PrefillTokens,
		DecodeTokens:  l.DecodeTokens + other.DecodeTokens,
		Requests:      l.Requests + other.Requests,
	}
}

// Times returns the load multiplied by a factor.
func (l Load) Times(factor float64) Load {
	return Load{
		PrefillTokens: l.PrefillTokens * factor,
		DecodeTokens:  l.DecodeTokens * factor,
		Requests:      l.Requests * factor,
	}
}

// excessOver returns what l has more than other, nothing of it negative.
func (l Load) excessOver(other Load) Load {
	return Load{
		PrefillTokens: max(0, l.PrefillTokens-other.PrefillTokens),
		DecodeTokens:  max(0, l.DecodeTokens-other.DecodeTokens),
		Requests:      max(0, l.Requests-other.Requests),
	}
}
