//go:build soak

package prover

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/requester"
)

const pollInterval = 250 * time.Millisecond

// engineStatus is the status that an engine reports.
type engineStatus struct {
	VM    string `json:"vm"`
	Group string `json:"group"`
	Fence int64  `json:"fence"`
	State string `json:"state"`
}

// groupWatch detects VMs that belong to two groups, in the status of every entry and in the status of the engines.
type groupWatch struct {
	dep      *deployment
	tly      *tally
	lastSeen map[string]requester.Group
}

func (gwa *groupWatch) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(pollInterval):
			for num := 1; num <= entryCount; num++ {
				if sta, err := gwa.dep.status(num); err == nil {
					gwa.checkStatus(sta)
				}
			}
		}
	}
}

func (gwa *groupWatch) checkStatus(sta requester.Status) {
	gwa.tly.add("statuses")
	owner := map[string]string{}
	for _, grp := range sta.Groups {
		if old, known := gwa.lastSeen[grp.Name]; known && old.Fence == grp.Fence && !sameVMs(old.VMs, grp.VMs) {
			gwa.tly.recordViolation("group %s with fence %d has both the VMs %v and %v", grp.Name, grp.Fence, old.VMs, grp.VMs)
		}
		gwa.lastSeen[grp.Name] = grp
		for _, vm := range grp.VMs {
			if oth, twice := owner[vm]; twice {
				gwa.tly.recordViolation("%s reports VM %s in both groups %s and %s", sta.AnsweredBy, vm, oth, grp.Name)
			}
			owner[vm] = grp.Name
			if dom := gwa.dep.cat.Inventory.VMs[vm].Domain; dom != grp.Domain {
				gwa.tly.recordViolation("%s reports VM %s of domain %s in group %s of domain %s", sta.AnsweredBy, vm, dom, grp.Name, grp.Domain)
			}
		}
	}
}

func sameVMs(one, two []string) bool {
	if len(one) != len(two) {
		return false
	}
	for num := range one {
		if one[num] != two[num] {
			return false
		}
	}
	return true
}

// expectEngineGroups checks that each engine reports the group that the entries list it in, and that an engine without a group reports no live one.
func (gwa *groupWatch) expectEngineGroups() {
	Eventually(func() []string {
		var wrong []string
		sta, err := gwa.dep.status(1)
		if err != nil {
			return []string{err.Error()}
		}
		owner, live := map[string]requester.Group{}, map[string]bool{}
		for _, grp := range sta.Groups {
			live[grp.Name] = true
			for _, vm := range grp.VMs {
				owner[vm] = grp
			}
		}
		for name, vm := range gwa.dep.cat.Inventory.VMs {
			if vm.Domain == "" {
				continue
			}
			eng, err := fetch[engineStatus](gwa.dep.cli, vm.Address, "/v1/status")
			want, grouped := owner[name]
			stale := !grouped && live[eng.Group]
			if err != nil || stale || grouped && (eng.Group != want.Name || eng.Fence != want.Fence) {
				wrong = append(wrong, name+" reports group "+eng.Group+", want "+want.Name)
			}
		}
		return wrong
	}, serveTimeout, time.Second).Should(BeEmpty())
}

var _ = Describe("A VM", func() {
	It("is never in two groups", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		dep := newDeployment(smallLog)
		gwa := &groupWatch{dep: dep, tly: tly, lastSeen: map[string]requester.Group{}}
		done, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(ended)
			gwa.run(done)
		}()
		soak(dep, rng, tly, led, entryFaults, engineFaults, logFaults)
		close(done)
		<-ended
		dep.awaitServing()
		gwa.expectEngineGroups()
		tly.print("groups")
		Expect(tly.violations).To(BeEmpty())
	})
})
