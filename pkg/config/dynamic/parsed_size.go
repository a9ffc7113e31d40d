package dynamic

import "github.com/ridgeswitch/ridgeswitch/pkg/jsontext"

// What the parts of a document take until its order has been answered.
const (
	// textCopies counts the copies of a document's text: the text itself, the source in the order,
	// the texts of the parsed fields, and the encoded order.
	textCopies = 4
	// objectBytes is what an object takes as an entry of the document, as a message of the
	// configuration, and as the copy of that in the order.
	objectBytes = 768
	// elementBytes is what an element of a list takes, beside the object that it may be.
	elementBytes = 192
)

// ParsedBytes estimates how much memory a JSON document takes once it is parsed and turned into an
// order. The text need not be valid JSON; then it takes what its text does.
func ParsedBytes(text []byte) int64 {
	size := int64(textCopies * len(text))
	if jsontext.Check(text) != nil {
		return size
	}
	counts := jsontext.Count(text)
	return size + int64(counts.Objects)*objectBytes + int64(counts.Elements)*elementBytes
}
