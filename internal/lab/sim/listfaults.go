package sim

import "time"

// listFaultKinds are what befalls the reader of the platform's list, and the list.
// Runs on the product's own protocols choose them only by name.
var listFaultKinds = []faultKind{
	{"reader-crash", 4, (*simulation).crashReader},
	{"reader-freeze", 4, (*simulation).freezeReader},
	{"reader-cut", 4, (*simulation).cutReader},
	{"platform-down", 2, (*simulation).stopPlatform},
}

// beforeDrain is how long before the fault's effect a replica may leave the list.
const beforeDrain = 500 * time.Millisecond

// reader returns a node that reads the list, or any node if none does.
func (w *simulation) reader() *node {
	for _, one := range w.nodes {
		if one.up && !one.frozen && one.machine.ReadsEndpoints() {
			return one
		}
	}
	return pick(w, w.nodes)
}

// crashReader ends the reader about when a replica leaves the list.
func (w *simulation) crashReader() {
	w.changeListing()
	w.after(w.upTo(beforeDrain), func() {
		w.restartAfter(w.reader(), w.lasting(100*time.Millisecond, 6*time.Second))
	})
}

func (w *simulation) freezeReader() {
	w.changeListing()
	w.after(w.upTo(beforeDrain), func() { w.reader().freeze(w.lasting(time.Second, 9*time.Second)) })
}

func (w *simulation) cutReader() {
	w.changeListing()
	w.after(w.upTo(beforeDrain), func() { w.cutFor([]*node{w.reader()}, w.nodes, w.chance(0.5)) })
}

// stopPlatform has every reading fail for a while.
func (w *simulation) stopPlatform() {
	w.platform.down++
	w.note(worldColumn, "platform down")
	w.after(w.lasting(time.Second, 6*time.Second), func() {
		w.platform.down--
		w.platform.backAt = w.now
		w.note(worldColumn, "platform back")
	})
}
