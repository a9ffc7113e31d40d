package main

import "testing"

func TestComparesAllKeysButThoseOfTheMachine(t *testing.T) {
	parse := func(text string) figures {
		t.Helper()
		parsed, err := parseFigures([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return parsed
	}
	before := parse(`{"frames": 7, "faults": {"crash": 2}, "reads": 3, "histories_undecided": 2, "wall_seconds": 1.5}`)
	if found := compare(before, parse(`{"faults":{"crash":2},"frames":7,"reads":3,"histories_undecided":3,"wall_seconds":9}`)); len(found) != 0 {
		t.Fatalf("equal figures differ: %v", found)
	}
	found := compare(before, parse(`{"faults":{"crash":3},"frames":7,"resends":1}`))
	want := []difference{
		{"faults", `{"crash":2}`, `{"crash":3}`},
		{"reads", "3", "nothing"},
		{"resends", "nothing", "1"},
	}
	if len(found) != len(want) {
		t.Fatalf("found %v, want %v", found, want)
	}
	for i := range want {
		if found[i] != want[i] {
			t.Fatalf("found %v, want %v", found[i], want[i])
		}
	}
}

func TestRefusesWhatIsNoSummary(t *testing.T) {
	if _, err := parseFigures([]byte("panic: no JSON")); err == nil {
		t.Fatal("no error")
	}
}
