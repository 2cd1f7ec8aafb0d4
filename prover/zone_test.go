//go:build soak

package prover

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
)

const (
	drainLimit          = 5 * time.Second
	observationTime     = 5 * time.Second
	observationInterval = 250 * time.Millisecond
	leaveRounds         = 4
	leaveNotice         = time.Minute
)

// concurrentFault is a fault that is injected before a change to a zone or VM, or right after it.
type concurrentFault struct {
	name   string
	before func(dep *deployment, rng *rand.Rand, vms []string) (mend func())
	after  func(dep *deployment, rng *rand.Rand) (mend func())
}

var concurrentFaults = []concurrentFault{
	{name: "no fault"},
	{name: "log unavailable right after the change", after: func(dep *deployment, _ *rand.Rand) func() {
		dep.setFaults(logAddress, fields{"down": true})
		return func() { dep.setFaults(logAddress, fields{"down": false}) }
	}},
	{name: "entries paused during the change", before: func(dep *deployment, rng *rand.Rand, vms []string) func() {
		return dep.pauseFor(dep.homeEntries(rng, vms, 2), time.Second)
	}},
	{name: "entries paused beyond the drain limit", before: func(dep *deployment, rng *rand.Rand, vms []string) func() {
		return dep.pauseFor(dep.homeEntries(rng, vms, 2), drainLimit+time.Second)
	}},
	{name: "three entries partitioned from the log and all entries", before: func(dep *deployment, rng *rand.Rand, vms []string) func() {
		return dep.isolateEntries(dep.homeEntries(rng, vms, 3))
	}},
	{name: "log unavailable right after the change and an entry paused", before: func(dep *deployment, rng *rand.Rand, vms []string) func() {
		return dep.pauseFor(dep.homeEntries(rng, vms, 1), drainLimit+time.Second)
	}, after: func(dep *deployment, _ *rand.Rand) func() {
		dep.setFaults(logAddress, fields{"down": true})
		return func() { dep.setFaults(logAddress, fields{"down": false}) }
	}},
}

// pauseFor pauses entries and resumes them after a fixed time. The returned function waits until they are resumed.
func (dep *deployment) pauseFor(nums []int, limit time.Duration) func() {
	for _, num := range nums {
		dep.markFaulted(num)
		dep.entry(num).signal(syscall.SIGSTOP)
	}
	report("paused %v for %s", nums, limit)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		time.Sleep(limit)
		for _, num := range nums {
			dep.entry(num).signal(syscall.SIGCONT)
			dep.markRecovered(num)
		}
	}()
	return func() { <-gone }
}

// homeEntries picks entries: first the home entries of groups that include one of the VMs, then random ones.
func (dep *deployment) homeEntries(rng *rand.Rand, vms []string, count int) []int {
	sta, err := dep.status(1)
	Expect(err).NotTo(HaveOccurred())
	var out []int
	add := func(num int) {
		if num > 0 && !slices.Contains(out, num) {
			out = append(out, num)
		}
	}
	for _, grp := range sta.Groups {
		if slices.ContainsFunc(grp.VMs, func(vm string) bool { return slices.Contains(vms, vm) }) {
			add(entryNumber(grp.Home))
		}
	}
	for _, idx := range rng.Perm(entryCount) {
		add(idx + 1)
	}
	return out[:count]
}

// isolateEntries partitions entries from the log and from all other entries. Backend servers and callers still reach them.
func (dep *deployment) isolateEntries(nums []int) func() {
	turn := func(num, by int) {
		dep.setSourceBlocked(logAddress, entryIP(num), by > 0)
		for oth := 1; oth <= entryCount; oth++ {
			if oth != num {
				dep.ntw.addBlock(entryIP(num), entryIP(oth), by)
				dep.ntw.addBlock(entryIP(oth), entryIP(num), by)
			}
		}
	}
	report("isolated %v", nums)
	for _, num := range nums {
		turn(num, 1)
	}
	return func() {
		for _, num := range nums {
			turn(num, -1)
		}
	}
}

// runWith makes a change, injects the fault before or after it, and returns a function that clears the fault.
func (cof concurrentFault) runWith(dep *deployment, rng *rand.Rand, vms []string, change func()) (mend func()) {
	var mends []func()
	if cof.before != nil {
		mends = append(mends, cof.before(dep, rng, vms))
	}
	change()
	if cof.after != nil {
		mends = append(mends, cof.after(dep, rng))
	}
	return func() {
		for _, one := range mends {
			one()
		}
	}
}

// checkNoWork checks that VMs accept no work later than drainLimit after a change.
func (dep *deployment) checkNoWork(tly *tally, what string, changed time.Time, vms []string) {
	limit := changed.Add(drainLimit)
	latest := int64(0)
	for time.Now().Before(limit.Add(observationTime)) {
		time.Sleep(observationInterval)
		at := dep.lastAcceptedAt()
		for _, vm := range vms {
			latest = max(latest, at[vm])
		}
	}
	last := time.UnixMilli(latest).Sub(changed).Round(time.Millisecond)
	report("%s: last work accepted %s after the change", what, last)
	if latest > limit.UnixMilli() {
		tly.recordViolation("work accepted until %s after the change: %s", last, what)
	}
}

func (dep *deployment) vmsOf(zone string) []string {
	var out []string
	for name, vm := range dep.cat.Inventory.VMs {
		if vm.Zone == zone {
			out = append(out, name)
		}
	}
	return out
}

var _ = Describe("An availability zone that is taken out", func() {
	It("receives no new work", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		dep := newDeployment(options{})
		reg := &register{dep: dep, tly: tly}
		stops := dep.startCallers(rng, tly, led)
		order := rng.Perm(len(concurrentFaults))
		for _, idx := range order {
			cof := concurrentFaults[idx]
			zone := zones[rng.IntN(len(zones))]
			report("take out zone %s, %s", zone, cof.name)
			var changed time.Time
			mend := cof.runWith(dep, rng, dep.vmsOf(zone), func() { changed = reg.setZonesOut(rng, []string{zone}) })
			dep.checkNoWork(tly, "zone "+zone+" taken out, "+cof.name, changed, dep.vmsOf(zone))
			mend()
			reg.setZonesOut(rng, []string{})
			dep.awaitServing()
		}
		stops()
		tly.print("zone taken out")
		Expect(tly.count("completion succeeded")).NotTo(BeZero())
		Expect(tly.violations).To(BeEmpty())
	})
})

var leavingVMs = []struct {
	name string
	pick func(dep *deployment, rng *rand.Rand) string
}{
	{"of a plain service", func(_ *deployment, rng *rand.Rand) string { return serviceVM(rng.IntN(serviceVMs)) }},
	{"of a replica group", (*deployment).busyEngine},
}

var _ = Describe("A leaving VM", func() {
	for _, cas := range leavingVMs {
		It(cas.name+" receives no new work", func() { testLeavingVM(cas.pick) })
	}
})

func testLeavingVM(pick func(dep *deployment, rng *rand.Rand) string) {
	rng, tly, led := newRandom(), newTally(), newLedger()
	dep := newDeployment(options{})
	stops := dep.startCallers(rng, tly, led)
	order := rng.Perm(len(concurrentFaults))
	for num := range leaveRounds {
		cof := concurrentFaults[order[num%len(order)]]
		vm := pick(dep, rng)
		report("%s leaves, %s", vm, cof.name)
		var changed time.Time
		mend := cof.runWith(dep, rng, []string{vm}, func() {
			dep.setListedVM(vm, fields{"state": "leaving", "leaves_in_ms": leaveNotice.Milliseconds()})
			changed = time.Now().Add(vmListDelay)
			time.Sleep(2 * vmListDelay)
		})
		dep.checkNoWork(tly, "departure of VM "+vm+", "+cof.name, changed, []string{vm})
		mend()
		dep.setListedVM(vm, fields{"state": "live"})
		dep.awaitServing()
	}
	stops()
	tly.print("leaving")
	Expect(tly.violations).To(BeEmpty())
}

// startCallers starts the default mix of callers and returns a function that stops them.
func (dep *deployment) startCallers(rng *rand.Rand, tly *tally, led *ledger) (stop func()) {
	stops := []func(){
		dep.load(rng, tly, completionCallers, (*caller).complete),
		dep.load(rng, tly, reservationCallers, func(cal *caller) { cal.reserve(led) }),
		dep.load(rng, tly, fetchCallers, (*caller).fetch),
	}
	time.Sleep(time.Second)
	return func() {
		for _, one := range stops {
			one()
		}
	}
}

// setZonesOut publishes the list of zones that are taken out, retries until it is accepted, and returns the time of acceptance.
func (reg *register) setZonesOut(rng *rand.Rand, out []string) time.Time {
	var accepted time.Time
	Eventually(func() string {
		pub := reg.publish(rng, func(rul *cataloger.Rules) { rul.DisabledZones = out })
		accepted = pub.ended
		return pub.state
	}, serveTimeout, 100*time.Millisecond).Should(Equal(stateAccepted))
	return accepted
}

// busyEngine returns the name of an engine VM that has accepted work.
func (dep *deployment) busyEngine(rng *rand.Rand) string {
	var engines []string
	Eventually(func() []string {
		engines = nil
		for vm, cnt := range dep.fetchEngineCounts() {
			if cnt.AcceptedAtMS > 0 {
				engines = append(engines, vm)
			}
		}
		return engines
	}, startTimeout, observationInterval).ShouldNot(BeEmpty())
	slices.Sort(engines)
	return engines[rng.IntN(len(engines))]
}

// setListedVM changes the record of a VM in the VM list.
func (dep *deployment) setListedVM(vm string, body fields) {
	body["name"], body["address"] = vm, dep.cat.Inventory.VMs[vm].Address
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	res, err := dep.cli.Post("http://"+vmListAddress+"/v1/vms", "application/json", bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	Expect(res.StatusCode).To(BeNumerically("<", http.StatusMultipleChoices))
}
