package watcher_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/watcher"
)

var stages = []struct {
	name    string
	leaving bool
	stage   watcher.Stage
}{
	{"is leaving", true, watcher.StageQuiesced},
	{"has not been probed yet", false, watcher.StageBroken},
}

var _ = Describe("Stage", func() {
	for _, cas := range stages {
		It("of a service VM that "+cas.name+" is "+string(cas.stage), func() {
			wat := watcher.New(watcher.Options{
				Leaving: func(string) (time.Duration, bool) { return time.Minute, cas.leaving },
				Clock:   clockwork.NewFakeClock(),
			})
			vie := reducer.NewState().View()
			vie.Catalog.Inventory.VMs = map[string]cataloger.VM{"desk-0": {WorkerKind: cataloger.WorkerService, Service: "desk"}}
			stage, _ := wat.Stage(vie, "desk-0")
			Expect(stage).To(Equal(cas.stage))
		})
	}

	It("of a group is loading until its VMs are probed, and quiesced while one is leaving", func() {
		leaving := false
		wat := watcher.New(watcher.Options{
			Leaving: func(vm string) (time.Duration, bool) { return time.Minute, leaving && vm == "b" },
			Clock:   clockwork.NewFakeClock(),
		})
		vie := reducer.NewState().View()
		vie.Groups = map[string]reducer.Group{"g": {Name: "g", VMs: []string{"a", "b"}}}
		stage, _ := wat.Stage(vie, "g")
		Expect(stage).To(Equal(watcher.StageLoading))
		leaving = true
		stage, _ = wat.Stage(vie, "g")
		Expect(stage).To(Equal(watcher.StageQuiesced))
	})
})
