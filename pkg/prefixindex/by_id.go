package prefixindex

// byIDDomain keeps the names of parts on their own apart from those of chains:
// without it the first part of a prompt would have the same name in both.
const byIDDomain ChainHash = 0x6A09E667F3BCC909

// HashByID returns the name of a part that its holder reports by its own ID,
// whatever comes before it.
func HashByID(model, cacheSalt, chunkID string) ChainHash {
	return NextHash(RootHash(model, cacheSalt)^byIDDomain, chunkID)
}

// LinksByID names every part of a prompt on its own, under a model and a cache
// salt. It serves replicas that report parts by ID and without a position: a
// walk over the parts in order has the same meaning as one along a chain, since
// a part counts only when all before it are kept.
func LinksByID(model, cacheSalt string, chunks []Chunk) []Link {
	links := make([]Link, len(chunks))
	root := RootHash(model, cacheSalt) ^ byIDDomain
	for position, chunk := range chunks {
		links[position] = Link{Hash: NextHash(root, chunk.ID), Tokens: chunk.Tokens}
	}
	return links
}
