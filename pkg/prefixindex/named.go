package prefixindex

// namedDomain keeps the names of parts on their own apart from those of chains:
// without it the first part of a prompt would have the same name in both.
const namedDomain ChainHash = 0x6A09E667F3BCC909

// NamedPart returns the name of a part that its holder reports by its own ID,
// whatever comes before it.
func NamedPart(model, cacheSalt, partID string) ChainHash {
	return Next(Root(model, cacheSalt)^namedDomain, partID)
}

// Named names every part of a prompt on its own, under a model and a cache
// salt. It serves replicas that report parts by ID and without a position: a
// walk over the parts in order has the same meaning as one along a chain, since
// a part counts only when all before it are kept.
func Named(model, cacheSalt string, parts []Part) []Link {
	links := make([]Link, len(parts))
	root := Root(model, cacheSalt) ^ namedDomain
	for position, part := range parts {
		links[position] = Link{Hash: Next(root, part.ID), Tokens: part.Tokens}
	}
	return links
}
