// Package prefixindex remembers which replica or store keeps which parts of
// which prompts, and answers how many leading tokens of a prompt each of them
// keeps.
//
// A part is named by its chain hash, which covers the part and everything
// before it: chain[i] = hash(chain[i-1] || part[i]), where chain[-1] is the
// hash of the model and the cache salt. One name therefore stands for one exact
// prefix under one model, one weight version and one sharing domain.
package prefixindex
