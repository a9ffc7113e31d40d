// Package recording is the format of recorded traffic: JSON lines, of which the
// first is a header that names the format and its version. A recording tells
// which requests came when and what became of them, but neither prompts nor
// keys: the chunks of a prompt are named by digests. docs/REPLAY.md describes
// every field.
package recording
