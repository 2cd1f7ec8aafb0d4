package checker_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/checker"
)

const inventory = `inventory:
  deployment: test
  availability_zones:
    za: {region: r}
    zb: {region: r}
  models:
    m: {version: "1", replicas: 1, vms_per_replica: 1, accelerators_per_vm: 4, weights_gigabytes: 1.5, cold_limit: 1, warm_limit: 2}
  services: {}
  workspaces:
    w: {models: [m], services: []}
  vms:
    a: {availability_zone: za, fabric_domain: f, address: "127.0.0.1:9000", worker: engine, accelerators: 4}
    b.1: {availability_zone: za, fabric_domain: f, address: "127.0.0.2:9000", worker: engine, accelerators: 4}
`

const rules = `rules:
  availability_zones_out: [zb]
  workspaces:
    w: {priority: 1, weight: 2, objectives: {model: {target: 0.95, first_token_in: 490ms}}}
`

var invalidFiles = []struct {
	name    string
	yaml    string
	current *cataloger.Catalog
	wants   []string
}{
	{"an empty publication", "{}", nil, []string{"f.yaml:1: neither inventory nor rules are given"}},
	{"an unknown top-level key", inventory + "notes: x\n", nil, []string{"f.yaml:14: notes: unknown key"}},
	{"an unknown nested key", strings.Replace(inventory, "worker: engine", "wrker: engine", 1), nil,
		[]string{"f.yaml:12: inventory.vms.a.wrker: unknown key", "f.yaml:12: inventory.vms.a.worker: unknown kind"}},
	{"a duplicate VM", inventory + `    a: {availability_zone: zx}` + "\n", nil, []string{"f.yaml:14: inventory.vms.a: is already given at line 12"}},
	{"a value of the wrong type", strings.Replace(inventory, "replicas: 1", "replicas: many", 1), nil, []string{`f.yaml:7: inventory.models.m.replicas: "many" is not a whole number`}},
	{"a number for a text", strings.Replace(inventory, `version: "1"`, "version: 1.10", 1), nil, []string{`f.yaml:7: inventory.models.m.version: "1.10" is not text`}},
	{"a list for a mapping", strings.Replace(inventory, "services: {}", "services: []", 1), nil, []string{"f.yaml:8: inventory.services: must be a mapping"}},
	{"a text for a list", strings.Replace(inventory, "models: [m]", "models: m", 1), nil, []string{"f.yaml:10: inventory.workspaces.w.models: must be a list"}},
	{"a part without a value", inventory + "rules:\n", nil, []string{"f.yaml:14: rules: has no value"}},
	{"a YAML alias", strings.Replace(inventory, "za: {region: r}", "za: &z {region: r}", 1) + "rules: *z\n", nil, []string{"f.yaml:14: rules: YAML aliases are not supported; write the value out"}},
	{"a duration without a unit", strings.Replace(rules, "490ms", "490", 1), nil, []string{"f.yaml:4: rules.workspaces.w.objectives.model.first_token_in: must be a duration with its unit"}},
	{"a zero duration without a unit", strings.Replace(rules, "490ms", "0", 1), nil, []string{"f.yaml:4: rules.workspaces.w.objectives.model.first_token_in:"}},
	{"a validation error at a name that contains a dot", strings.Replace(inventory, "127.0.0.2", "127.0.0.1", 1), nil, []string{"f.yaml:13: inventory.vms.b.1.address: 127.0.0.1:9000 is already the address of VM \"a\""}},
	{"a missing key, at the line of its parent", strings.Replace(inventory, "fabric_domain: f, address: \"127.0.0.2", "address: \"127.0.0.2", 1), nil, []string{"f.yaml:13: inventory.vms.b.1.fabric_domain: an engine needs"}},
	{"rules without an inventory, by their values only", strings.Replace(rules, "0.95", "95", 1), nil, []string{"f.yaml:4: rules.workspaces.w.objectives.model.target: 95 is not between 0 and 1"}},
	{"rules that do not fit the catalog in force", rules, &cataloger.Catalog{}, []string{"f.yaml:2: rules.availability_zones_out.0: unknown", "f.yaml:4: rules.workspaces.w: unknown workspace"}},
	{"an inventory that does not fit the rules in force", inventory, &cataloger.Catalog{Rules: cataloger.Rules{DisabledZones: []string{"zx"}}},
		[]string{"f.yaml:1: rules.availability_zones_out.0: conflicts with the current catalog"}},
	{"type errors and validation errors together", strings.Replace(inventory, "cold_limit: 1", "cold_limit: 0", 1) + strings.Replace(rules, "priority: 1", "priority: high", 1), nil,
		[]string{"f.yaml:7: inventory.models.m.cold_limit", "f.yaml:17: rules.workspaces.w.priority"}},
}

var _ = Describe("Check", func() {
	It("reads the inventory and the rules from two files", func() {
		pub, err := checker.Check([]checker.File{{Name: "i", Data: []byte(inventory)}, {Name: "r", Data: []byte(rules)}}, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(pub.Inventory.VMs).To(HaveLen(2))
		Expect(time.Duration(pub.Rules.Workspaces["w"].Objectives["model"].FirstTokenIn)).To(Equal(490 * time.Millisecond))
	})
	It("rejects a part that is given in two files", func() {
		_, err := checker.Check([]checker.File{{Name: "i", Data: []byte(rules)}, {Name: "r", Data: []byte(rules)}}, nil)
		Expect(err).To(MatchError("r:1: rules: is already given in i at line 1"))
	})
	It("leaves a part nil that is not given", func() {
		pub, err := checker.Check([]checker.File{{Name: "r", Data: []byte(rules)}}, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(pub.Inventory).To(BeNil())
	})
	for _, cas := range invalidFiles {
		It("rejects "+cas.name, func() {
			_, err := checker.Check([]checker.File{{Name: "f.yaml", Data: []byte(cas.yaml)}}, cas.current)
			Expect(err).To(HaveOccurred())
			lines := strings.Split(err.Error(), "\n")
			Expect(lines).To(HaveLen(len(cas.wants)), err.Error())
			for _, want := range cas.wants {
				Expect(lines).To(ContainElement(HavePrefix(want)))
			}
		})
	}
})
