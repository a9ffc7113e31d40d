package wire

import (
	"bytes"
	"errors"
	"testing"
)

// FuzzDecode checks that Decode returns, for any bytes, either an *Error or an envelope that
// another round trip encodes to the same bytes.
func FuzzDecode(f *testing.F) {
	for _, envelope := range filledEnvelopes() {
		f.Add(Encode(envelope))
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		envelope, err := Decode(frame)
		if err != nil {
			var refused *Error
			if !errors.As(err, &refused) {
				t.Fatalf("Decode returned an error that is not an *Error: %v", err)
			}
			return
		}
		encoded := Encode(envelope)
		again, err := Decode(encoded)
		if err != nil {
			t.Fatalf("Decode rejected a frame that Encode returned: %v", err)
		}
		if !bytes.Equal(Encode(again), encoded) {
			t.Fatal("the second round trip gave other bytes than the first")
		}
	})
}
