package prefixindex

// byIDDomain separates the hashes of chunks by ID from chain hashes: without it
// the first chunk of a prompt would have the same hash in both.
const byIDDomain ChainHash = 0x6A09E667F3BCC909

// HashByID returns the hash of a chunk that its owner reports by ID, whatever
// comes before it in a prompt.
func HashByID(model, cacheSalt, chunkID string) ChainHash {
	return NextHash(RootHash(model, cacheSalt)^byIDDomain, chunkID)
}

// LinksByID returns the links of a prompt by the IDs of its chunks, under a model
// and a cache salt. It serves replicas that report chunks by ID and without a
// position: a lookup over the chunks in order has the same meaning as one along a
// chain, since a chunk counts only when all before it are cached.
func LinksByID(model, cacheSalt string, chunks []Chunk) []Link {
	links := make([]Link, len(chunks))
	root := RootHash(model, cacheSalt) ^ byIDDomain
	for position, chunk := range chunks {
		links[position] = Link{Hash: NextHash(root, chunk.ID), Tokens: chunk.Tokens}
	}
	return links
}
