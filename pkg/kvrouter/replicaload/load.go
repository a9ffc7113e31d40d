package replicaload

// Load is an amount of work of a replica.
type Load struct {
	// PrefillTokens are the prompt tokens that are still to be computed.
	PrefillTokens float64
	// DecodeTokens are the tokens that active requests occupy in memory.
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

// excessOver returns by how much l exceeds other: in each field, 0 or more.
func (l Load) excessOver(other Load) Load {
	return Load{
		PrefillTokens: max(0, l.PrefillTokens-other.PrefillTokens),
		DecodeTokens:  max(0, l.DecodeTokens-other.DecodeTokens),
		Requests:      max(0, l.Requests-other.Requests),
	}
}
