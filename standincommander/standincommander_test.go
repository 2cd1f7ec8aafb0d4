package standincommander

import (
	"context"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const inventory = `
inventory:
  vms:
    a1: {fabric_domain: d1, address: "127.0.0.1:0", worker: engine, checks_fence: true}
    s1: {address: "127.0.0.1:0", worker: service, service: desk}
`

var _ = Describe("Command", func() {
	cases := []struct {
		name string
		file string
		args []string
		err  string
	}{
		{"log", inventory, []string{"log", "--listen", "127.0.0.1:0", "--retain-records", "10", "--retain-for", "1h"}, ""},
		{"VM list", inventory, []string{"vm_list", "--listen", "127.0.0.1:0", "--inventory", "FILE"}, ""},
		{"weight store", inventory, []string{"weight_store", "--listen", "127.0.0.1:0", "--gigabytes-per-second", "2.5"}, ""},
		{"engine", inventory, []string{"engine", "--inventory", "FILE", "--domain", "d1", "--control", "127.0.0.1:0", "--step", "1ms"}, ""},
		{"service", inventory, []string{"service", "--inventory", "FILE", "--service", "desk", "--control", "127.0.0.1:0"}, ""},
		{"engine with a broken inventory", "inventory: [", []string{"engine", "--inventory", "FILE", "--domain", "d1", "--control", "127.0.0.1:0"}, "inventory"},
		{"log at a bad address", inventory, []string{"log", "--listen", "nowhere"}, "listen at nowhere"},
	}
	for _, cas := range cases {
		It("runs "+cas.name, func() {
			path := filepath.Join(GinkgoT().TempDir(), "inventory.yaml")
			Expect(os.WriteFile(path, []byte(cas.file), 0o600)).To(Succeed())
			args := []string{"standin"}
			for _, arg := range cas.args {
				if arg == "FILE" {
					arg = path
				}
				args = append(args, arg)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			err := command().Run(ctx, args)
			if cas.err != "" {
				Expect(err).To(MatchError(ContainSubstring(cas.err)))
				return
			}
			Expect(err).NotTo(HaveOccurred())
		})
	}
})
