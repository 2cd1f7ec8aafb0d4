package checker_test

import (
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/checker"
	"github.com/lovagelever/lovagelever/configurer"
)

const examples = "../examples"

// Both example deployments have the same size.
const (
	exampleVMs        = 63
	exampleWorkspaces = 10
	exampleEntries    = 7
)

var deployments = []string{"alokrekha", "rail"}

var _ = Describe("the examples", func() {
	for _, name := range deployments {
		It("are valid for "+name, func() {
			files, err := checker.Load([]string{filepath.Join(examples, name, "inventory.yaml"), filepath.Join(examples, name, "rules.yaml")})
			Expect(err).NotTo(HaveOccurred())
			pub, err := checker.Check(files, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(pub.Inventory.VMs).To(HaveLen(exampleVMs))
			Expect(pub.Inventory.Workspaces).To(HaveLen(exampleWorkspaces))
			Expect(pub.Rules.Workspaces).To(HaveLen(exampleWorkspaces))
			entries, err := filepath.Glob(filepath.Join(examples, name, "entry-*.yaml"))
			Expect(err).NotTo(HaveOccurred())
			Expect(entries).To(HaveLen(exampleEntries))
			for _, file := range entries {
				set, err := configurer.Load(file)
				Expect(err).NotTo(HaveOccurred())
				Expect(pub.Inventory.Zones).To(HaveKeyWithValue(set.Zone, HaveField("Region", set.Region)))
			}
		})
	}
})
