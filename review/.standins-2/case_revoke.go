package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// revokeCase takes the keys of two tenants away, one after the other, each together with its
// tenant, and looks for requests that run with such a key, or with one that no configuration
// ever held.
func revokeCase(trouble bool) bool {
	const first, second, unknown = "ctnfzs989anu6wsjnban", "fqasnmgkcuyj8pjbvk9m", "never0held0by0any0one"
	d := newDeployment(3, 2)
	for number := range 3 {
		d.newReplica(number, "bell-portal", "", d.zones[number%3])
	}
	d.publish()
	d.startAll()
	one := map[string]any{"name": "sese880", "apiKeys": []string{first}, "priority": 1, "isolated": false}
	two := map[string]any{"name": "tibo12", "apiKeys": []string{second}, "priority": 1, "isolated": false}
	configure := func(base, version int, tenants ...any) int {
		document := configuration(version, []any{route("r-export", "export.example", "/file/", "unsafe", "bell-portal", 1, nil)}, []any{web("bell-portal")})
		document["tenants"] = append([]any{}, tenants...)
		return d.configure(base, document)
	}
	if configure(0, 2, one, two) != http.StatusOK {
		fail("the first configuration was not taken")
	}
	d.waitReady(20 * time.Second)
	pause(3)
	ask := func(label, key string, count int) map[int]int {
		answers := map[int]int{}
		for number := range count {
			header := map[string]string{"Authorization": "Bearer " + key}
			reply := d.send(d.fronts[number%2], fmt.Sprintf("%s-%02d", label, number), "export.example", "/file/x", header, []byte("request"), 1500*time.Millisecond)
			d.record.line("client: %s answered %d %v", reply.id, reply.status, reply.err)
			answers[reply.status]++
		}
		d.say("answers to the requests %q, by status: %v", label, answers)
		return answers
	}
	served := ask("before-first", first, 10)[http.StatusOK] + ask("before-second", second, 10)[http.StatusOK]
	if served != 20 || ask("before-unknown", unknown, 10)[http.StatusUnauthorized] != 10 {
		fail("the keys do not work as they should before the change")
	}
	// configApplyMs is 2 s and revokeMs 5 s. Nothing else is in disruption.
	if trouble {
		if configure(2, 3, two) != http.StatusOK {
			fail("the first key was not taken away")
		}
	}
	pause(6)
	ask("between-first", first, 10)
	ask("between-unknown", unknown, 10)
	secondTaken := false
	if trouble {
		// A refusal of such a configuration breaks no rule of this case.
		secondTaken = configure(3, 4) == http.StatusOK
	}
	pause(6)
	ask("after-first", first, 10)
	ask("after-second", second, 10)
	ask("after-unknown", unknown, 10)
	taken, never := 0, 0
	for _, one := range d.allRuns() {
		label := one.id[:strings.LastIndex(one.id, "-")]
		switch {
		case strings.HasSuffix(label, "unknown"):
			never++
		case trouble && strings.HasSuffix(label, "-first") && label != "before-first", secondTaken && label == "after-second":
			taken++
		}
	}
	d.say("%d requests ran with a key that was taken away, %d with a key that no configuration ever held", taken, never)
	// The rule is ROUTE; requests with a key that was taken away are counted beside it.
	return never > 0
}
