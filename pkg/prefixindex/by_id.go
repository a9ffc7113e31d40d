package prefixindex

// byIDDomain separates the hashes of chunks by ID from chain hashes: without it, the
// two hashes of the first chunk of a prompt would be equal.
const byIDDomain ChainHash = 0x6A09E667F3BCC909

// HashByID returns the hash of a chunk that its owner reports by ID. It does not depend
// on the chunks before it in a prompt.
func HashByID(model, cacheSalt, chunkID string) ChainHash {
	return NextHash(RootHash(model, cacheSalt)^byIDDomain, chunkID)
}

// LinksByID returns the links of a prompt by the IDs of its chunks, under a model
// and a cache salt. It is used for replicas that report chunks by ID and without a
// position. A lookup of these links in order returns the same as a lookup of a chain,
// since a chunk counts only when all chunks before it are cached.
func LinksByID(model, cacheSalt string, chunks []Chunk) []Link {
	links := make([]Link, len(chunks))
	root := RootHash(model, cacheSalt) ^ byIDDomain
	for position, chunk := range chunks {
		links[position] = Link{Hash: NextHash(root, chunk.ID), Tokens: chunk.Tokens}
	}
	return links
}
