package generator_test

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/configurer"
	"github.com/lovagelever/lovagelever/generator"
)

func size(entries, engines, cells int) generator.Size {
	return generator.Size{AddressPrefix: "127.40", Entries: entries, Engines: engines, DomainVMs: 10, WarmLimit: 16, Cells: cells}
}

var sizes = []struct {
	name string
	size generator.Size
	good bool
}{
	{"a small size", size(7, 60, 1), true},
	{"a large size", size(56, 480, 1), true},
	{"two cells", size(7, 60, 2), true},
	{"no entry", size(0, 60, 1), false},
	{"more entries than addresses", size(251, 60, 1), false},
	{"engines that are not a multiple of a unit", size(7, 50, 1), false},
	{"no cell", size(7, 60, 0), false},
}

var _ = Describe("Generate", func() {
	for _, cas := range sizes {
		It("accepts or rejects "+cas.name, func() {
			dir := GinkgoT().TempDir()
			err := generator.Generate(cas.size, dir)
			if !cas.good {
				Expect(errors.Is(err, errors.NotValid)).To(BeTrue())
				return
			}
			Expect(err).NotTo(HaveOccurred())
			inv := generator.Inventory(cas.size)
			Expect(inv.VMs).To(HaveLen(cas.size.Engines + 3))
			Expect(cataloger.Validate(cataloger.Catalog{Inventory: inv, Rules: generator.Rules(inv)})).To(BeEmpty())
			files, err := filepath.Glob(filepath.Join(dir, "entry-*.yaml"))
			Expect(err).NotTo(HaveOccurred())
			Expect(files).To(HaveLen(cas.size.Entries))
		})
	}
	It("adds settings that an entry reads", func() {
		dir := GinkgoT().TempDir()
		siz := size(1, 60, 1)
		siz.Extra = map[string]string{"limits": "none"}
		Expect(generator.Generate(siz, dir)).To(Succeed())
		set, err := configurer.Load(filepath.Join(dir, "entry-1.yaml"))
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Limits).To(Equal(configurer.LimitsNone))
	})
	It("fails if the directory can't be created", func() {
		name := filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(name, nil, 0o600)).To(Succeed())
		Expect(generator.Generate(size(1, 60, 1), name)).NotTo(Succeed())
	})
})
