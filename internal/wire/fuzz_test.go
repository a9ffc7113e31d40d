package wire

import (
	"bytes"
	"errors"
	"testing"
)

// FuzzDecode checks that any bytes give an envelope that survives another
// round trip, or a typed error.
func FuzzDecode(f *testing.F) {
	for _, envelope := range filledEnvelopes() {
		f.Add(Encode(envelope))
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		envelope, err := Decode(frame)
		if err != nil {
			var refused *Error
			if !errors.As(err, &refused) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		encoded := Encode(envelope)
		again, err := Decode(encoded)
		if err != nil {
			t.Fatalf("own frame refused: %v", err)
		}
		if !bytes.Equal(Encode(again), encoded) {
			t.Fatal("second round trip differs from the first")
		}
	})
}
