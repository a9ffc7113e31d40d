package dispatch

import "testing"

func TestInFlightBoundsAttempts(t *testing.T) {
	attempts := newInFlight(2)
	if !attempts.begin("a") || !attempts.begin("b") {
		t.Fatal("an attempt within the limit was refused")
	}
	if attempts.begin("a") || attempts.begin("c") {
		t.Fatal("an attempt beyond the limit was admitted")
	}
	if attempts.count("a") != 1 || attempts.count("c") != 0 {
		t.Fatal("a refused attempt was counted")
	}
	attempts.end("b")
	if !attempts.begin("c") {
		t.Fatal("an attempt was refused after another one had ended")
	}
}

func TestInFlightWithoutLimit(t *testing.T) {
	attempts := newInFlight(0)
	for range 1000 {
		if !attempts.begin("a") {
			t.Fatal("an attempt was refused without a limit")
		}
	}
}
