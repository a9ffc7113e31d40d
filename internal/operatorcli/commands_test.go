package operatorcli_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ridgeswitch/ridgeswitch/internal/operatorcli"
	"github.com/ridgeswitch/ridgeswitch/pkg/config/dynamic"
)

const configuration = `{"tenants":[{"name":"t","limits":{"requests_per_second":1,"burst":1,"concurrent_requests":1,"queued_requests":1,"queue_timeout_ms":1}}],` +
	`"pools":[{"name":"p","model":"m","service":"s","weight_version":"w","request_timeout_ms":5}]}`

var _ = Describe("Operator verbs", func() {
	var (
		state *cluster
		first *node
	)

	BeforeEach(func() {
		state = &cluster{machine: dynamic.NewMachine(nil)}
		first = startNode(state)
		applied := run(configuration, "apply --file - --order-id first", first)
		Expect(applied).To(Equal(result{out: "{\n  \"outcome\": \"ACKNOWLEDGED\",\n  \"revision\": \"1\"\n}\n", log: "order-id: first\n"}))
	})

	DescribeTable("return an exit status and print the reason", func(line string, code int, fragment string) {
		ended := run("hidden\n", line, first)
		Expect(ended.code).To(Equal(code), ended.err)
		Expect(ended.out + ended.err).To(ContainSubstring(fragment))
	},
		Entry("get", "get", 0, `"wall_epoch": "1"`),
		Entry("get of the configuration that the node serves", "get --local", 0, `"wall_epoch": "1"`),
		Entry("key add", "key add --tenant t --key k --sha256 "+strings.Repeat("a", 64), 0, "ACKNOWLEDGED"),
		Entry("key add with a malformed digest", "key add --tenant t --key k --sha256 x", operatorcli.ExitRefused, "invalid: key.sha256"),
		Entry("key add without secret", "key add --tenant t --key k", operatorcli.ExitUsage, "either --secret or --sha256"),
		Entry("key revoke of a key that does not exist", "key revoke --tenant t --key k", operatorcli.ExitRefused, "(revision in force: 1)"),
		Entry("missing field of the URL path", "key revoke --key k", operatorcli.ExitUsage, "--tenant is missing"),
		Entry("tenant wall", "tenant wall --tenant t --base-revision 1", 0, "ACKNOWLEDGED"),
		Entry("tenant unwall", "tenant unwall --tenant t", 0, `"revision": "1"`),
		Entry("zone evacuate", "zone evacuate --zone a --reason fire", 0, "ACKNOWLEDGED"),
		Entry("zone restore", "zone restore --zone a --base-revision 9", operatorcli.ExitRefused, "base_revision_stale: order.base_revision"),
		Entry("malformed base revision", "zone restore --zone a --base-revision x", operatorcli.ExitUsage, "order.base_revision"),
		Entry("weights name", "weights name --pool p --weight-version w2", 0, "ACKNOWLEDGED"),
		Entry("weights status", "weights status --pool p", operatorcli.ExitRefused, "not_found: pool"),
		Entry("status", "status", 0, `"node": "front-1"`),
		Entry("status in an unknown output format", "status --output xml", operatorcli.ExitUsage, "use json or table"),
		Entry("status of all as JSON", "status --all", operatorcli.ExitUsage, "--all needs --output table"),
		Entry("unexpected argument of a table", "status --output table now", operatorcli.ExitUsage, "unexpected argument now"),
		Entry("unexpected argument", "status now", operatorcli.ExitUsage, "unexpected argument now"),
		Entry("unknown flag", "status --nope", operatorcli.ExitUsage, "-nope; see --help"),
		Entry("unknown flag of a check", "config check --nope", operatorcli.ExitUsage, "-nope; see --help"),
		Entry("missing --file", "apply", operatorcli.ExitUsage, "--file is missing"),
		Entry("file that does not exist", "apply --file /absent", operatorcli.ExitUsage, "name a readable file"),
		Entry("file that is not JSON", "apply --file -", operatorcli.ExitUsage, "holds no JSON"),
		Entry("order ID of another order", "zone evacuate --zone a --order-id first", operatorcli.ExitRefused, "order_id_conflict"),
	)

	It("applies a configuration with its source document, and reads the version back", func() {
		folder := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(folder, "document"), []byte("as written"), 0o600)).To(Succeed())
		line := "apply --file - --version 3 --document " + filepath.Join(folder, "document")
		Expect(run(configuration, line, first).out).To(ContainSubstring("ACKNOWLEDGED"))
		Expect(string(state.machine.Source().GetDocument())).To(Equal("as written"))
		Expect(run("", "source", first).out).To(ContainSubstring(`"version": "3"`))
		Expect(run("", "apply --file - --version 4 --document /absent", first).code).To(Equal(operatorcli.ExitUsage))
	})

	It("reports a fault of the configuration before anything is sent", func() {
		ended := run(`{"tennants":[]}`, "apply --file -", first)
		Expect(ended.code).To(Equal(operatorcli.ExitUsage))
		Expect(ended.err).To(ContainSubstring("configuration.tennants"))
		Expect(first.requests).To(HaveLen(1))
	})

	It("sends only the digest of a secret", func() {
		Expect(run("hidden\n", "key add --tenant t --key k --secret -", first).code).To(BeZero())
		Expect(run("", "key add --tenant t --key l --secret open", first).code).To(BeZero())
		keys := state.machine.Configuration().GetTenants()[0].GetKeys()
		Expect(keys[0].GetSha256()).To(Equal(dynamic.KeyDigest("hidden")))
		Expect(keys[1].GetSha256()).To(Equal(dynamic.KeyDigest("open")))
		Expect(strings.Join(first.requests, "")).NotTo(Or(ContainSubstring("hidden"), ContainSubstring(`"open"`)))
	})

	It("sends the identical order to the next node until one gives a final response", func() {
		unreachable := &node{address: "127.0.0.1:1"}
		broken := startNode(state, http.StatusServiceUnavailable)
		waiting := startNode(state, http.StatusAccepted)
		spare := startNode(state)
		ended := run("", "zone evacuate --zone a", unreachable, broken, waiting, first, spare)
		Expect(ended.code).To(BeZero(), ended.err)
		Expect(ended.out).To(ContainSubstring(`"revision": "2"`))
		Expect(broken.requests).To(Equal(waiting.requests))
		Expect(broken.requests).To(Equal(first.requests[1:]))
		Expect(spare.requests).To(BeEmpty())
		id := strings.TrimPrefix(strings.TrimSpace(ended.log), "order-id: ")
		Expect(first.requests[1]).To(ContainSubstring(id))
		Expect(state.machine.Answer(id)).NotTo(BeNil())
	})

	It("reports an unconfirmed order as pending, and that an order may take effect if no node responds", func() {
		state.pending = true
		pending := run("", "zone evacuate --zone a --order-id x", first, first)
		Expect(pending.code).To(Equal(operatorcli.ExitPending))
		Expect(pending.out).To(ContainSubstring("PENDING"))
		Expect(pending.err).To(ContainSubstring("resend it with --order-id x"))
		Expect(first.requests).To(HaveLen(3))
		unreachable := &node{address: "127.0.0.1:1"}
		Expect(run("", "zone restore --zone a", unreachable).code).To(Equal(operatorcli.ExitUnanswered))
		Expect(run("", "zone restore --zone a", unreachable).err).To(ContainSubstring("the order may take effect"))
		Expect(run("", "get", unreachable).err).NotTo(ContainSubstring("the order may take effect"))
	})

	It("prints the status as a table", func() {
		Expect(run("", "status --output table", first).out).To(Equal(strings.TrimLeft(`
summary
CHECK      RESULT   DETAIL
shards     ok       each of 1 has a leader, as far as front-1 knows
members    ok       1 alive
traffic    ok       front-1 serves; --all asks every node
revisions  unknown  0 on front-1; --all asks every node
roll-outs  unknown  `+first.address+`: not_found: pool: there is no such pool

node                front-1
zone                -
holds_state         false
fenced              false
served_revision     0
fences              0
serve_remaining_ms  0

members
NODE    ADDRESS  ZONE  HOLDS_STATE  STATE  INCARNATION  CONTROL_ADDRESS
core-1  -        a     false        alive  0            -

shards
SHARD  LEADER  TERM  REVISION  GROUP          COMMIT  APPLIED  BAD_ENTRIES
3      core-1  0     0         core-1,core-2  0       0        0

rollouts
POOL  WEIGHT_VERSION  NAMED_FOR_MS  OVERDUE  REPLICAS  OUTDATED  OUTDATED_ADMITTING
p     2               1500          true     9         4         3
`, "\n")))
	})

	It("reports all faults of settings and of a configuration at once", func() {
		settings := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(os.WriteFile(settings, []byte("node: front-1\nzone: a\ngroup: [core-1]\ninternal: 127.0.0.1:1\ntraffic: 127.0.0.1:2\n"), 0o600)).To(Succeed())
		ended := run(`{"routes":[{"host":"h"},{"host":"h"}]}`, "config check --configuration - --settings "+settings)
		Expect(ended.code).To(Equal(operatorcli.ExitRefused))
		Expect(ended.err).To(Equal("faults found: 5"))
		Expect(strings.Split(ended.out, "\n")).To(HaveExactElements(
			HavePrefix("settings: control: is empty"), HavePrefix("settings: platform_address: is empty"),
			HavePrefix("configuration: routes[0]: "), HavePrefix("configuration: routes[1].host: "), HavePrefix("configuration: routes[1]: "), ""))
		Expect(run(configuration, "config check --configuration -")).To(Equal(result{out: "no faults\n"}))
		fixed := "config check --control 127.0.0.1:3 --platform-address 127.0.0.1:4 --settings " + settings
		Expect(run("", fixed)).To(Equal(result{out: "no faults\n"}))
		Expect(run("", "config check").out).To(ContainSubstring("settings: node: is empty"))
		Expect(run("", "config check --configuration /absent").code).To(Equal(operatorcli.ExitUsage))
	})
})
