package keeper_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	steps          = 400
	seedsInCI      = 6
	recoverySteps  = 80
	maxRunDuration = 3 * time.Second
	// coolingReportDelay is the maximum time until the home of a warm unit that turns cold gets a report of it.
	coolingReportDelay = 1250 * time.Millisecond
)

// step advances the simulation by one tick.
func (sim *simulation) step() {
	sim.clk.Advance(tick)
	if len(sim.delayedRecords) > 0 && sim.rnd.IntN(8) == 0 {
		sim.append(sim.delayedRecords[0])
		sim.delayedRecords = sim.delayedRecords[1:]
	}
	for _, nod := range sim.shuffled() {
		if !nod.dead && !nod.paused {
			nod.step()
		}
	}
	calls := sim.pendingCalls
	sim.pendingCalls = nil
	for _, call := range calls {
		call()
	}
	sim.finishRequests()
	sim.trackConfirmations()
	sim.checkConfigurations()
}

func (sim *simulation) shuffled() []*node {
	out := slices.Clone(sim.nodes)
	sim.rnd.Shuffle(len(out), func(one, two int) { out[one], out[two] = out[two], out[one] })
	return out
}

func (nod *node) step() {
	ctx := canceledContext()
	_ = nod.fol.ReadAndApply(ctx, 0)
	if _, bootstrapped := nod.fol.Bootstrapped(); !bootstrapped {
		if sna, err := nod.Snapshot(ctx); err == nil {
			_ = nod.fol.InstallSnapshot(sna)
		}
	}
	nod.gos.PullAll(ctx)
	nod.joi.Step(ctx)
	if nod.sim.rnd.IntN(3) == 0 {
		nod.evi.Check(ctx)
	}
	nod.kee.UpdateUnits(ctx)
	nod.sendReports()
	nod.requestTickets()
}

// sendReports sends this node reports of the backend servers that are up to a second old.
func (nod *node) sendReports() {
	for _, unit := range nod.sim.unitNames() {
		bac := nod.sim.units[unit]
		lag := nod.sim.rnd.IntN(min(3, len(bac.reports)))
		nod.kee.OnReport(unit, prober.Probe{Status: bac.reports[len(bac.reports)-1-lag], LastSuccess: nod.sim.clk.Now()})
	}
}

// requestTickets asks this node for tickets as if it were the home of every unit, and starts a request for each ticket that it gets.
func (nod *node) requestTickets() {
	for range 4 {
		names := nod.sim.unitNames()
		if len(names) == 0 {
			return
		}
		unit := names[nod.sim.rnd.IntN(len(names))]
		adm := nod.kee.Admit(canceledContext(), admitter.Request{
			ID: strconv.Itoa(nod.sim.granted) + nod.name + strconv.Itoa(nod.sim.rnd.Int()), Unit: unit, Holder: nod.self(), Workspace: "w", Weight: 1, Cost: 1,
		})
		if adm.Refusal == nil {
			nod.sim.startRequest(nod, unit, adm.Ticket.ID)
		}
	}
}

func (sim *simulation) unitNames() []string {
	var names []string
	for unit := range sim.units {
		names = append(names, unit)
	}
	slices.Sort(names)
	return names
}

func (sim *simulation) startRequest(nod *node, unit, ticket string) {
	bac := sim.units[unit]
	sim.granted++
	sim.checkZoneOut(nod, unit)
	now := sim.clk.Now()
	bac.running = append(bac.running, &simulatedRequest{unit: unit, home: nod, ticket: ticket, startedAt: now, endsAt: now.Add(time.Duration(sim.rnd.Int64N(int64(maxRunDuration))))})
	known := now.Sub(bac.cooledAt) > coolingReportDelay
	Expect(bac.warm || !known || len(bac.running) <= coldLimit).To(BeTrue(), "cold unit %s runs %d requests, the last one admitted by %s; %s", unit, len(bac.running), nod.name, sim.describeUnit(unit)+sim.describe())
	Expect(len(bac.running)).To(BeNumerically("<=", 2*warmLimit), unit)
}

func (sim *simulation) describeUnit(unit string) string {
	text := sim.clk.Now().Format("04:05.00 ")
	for _, req := range sim.units[unit].running {
		text += req.home.name + req.startedAt.Format("@04:05.00 until ") + req.endsAt.Format("04:05.00; ")
	}
	for _, nod := range sim.nodes {
		if sta, known := nod.adm.Status(unit); known {
			text += fmt.Sprintf("%s %+v home %+v; ", nod.name, sta, nod.fol.View().Homes[unit])
		}
	}
	return text
}

// toggleWarm makes a cold unit warm, or a warm one cold unless it runs more requests than the cold limit.
func (bac *backend) toggleWarm() {
	bac.warm = !bac.warm || len(bac.running) > coldLimit
}

func (sim *simulation) finishRequests() {
	now := sim.clk.Now()
	for _, unit := range sim.unitNames() {
		bac := sim.units[unit]
		var left []*simulatedRequest
		for _, req := range bac.running {
			if now.Before(req.endsAt) {
				left = append(left, req)
				continue
			}
			if !req.home.dead && !req.home.paused {
				req.home.kee.Release(req.ticket, limiter.Outcome{Step: 5 * time.Millisecond, FirstToken: 50 * time.Millisecond})
			}
		}
		bac.running = left
		if sim.rnd.IntN(200) == 0 {
			bac.toggleWarm()
			bac.cooledAt = now
		}
		bac.reports = append(bac.reports[max(0, len(bac.reports)-4):], prober.Status{Running: len(bac.running), Warm: bac.warm, Started: bac.started, State: prober.Ready})
	}
}

// checkZoneOut fails if a unit gets a request more than maxPropagation after its availability zone was taken out.
func (sim *simulation) checkZoneOut(nod *node, unit string) {
	if !sim.reference.Catalog.Rules.ZoneDisabled(sim.units[unit].zone) {
		return
	}
	Expect(sim.zoneOutFor(sim.units[unit].zone)).To(BeNumerically("<=", maxPropagation), "availability zone %s is out, but %s admits requests to %s; %s", sim.units[unit].zone, nod.name, unit, sim.describe())
}

// zoneOutFor returns how long an availability zone has been out since the confirmation of a revision that says so.
func (sim *simulation) zoneOutFor(zone string) time.Duration {
	var longest time.Duration
	for rev := sim.reference.Revision; rev > 0 && sim.zonesOut[rev] == "["+zone+"]"; rev-- {
		longest = max(longest, sim.confirmedFor(rev))
	}
	return longest
}

// trackConfirmations records when most entries have applied a revision, which is when its publisher gets the confirmation.
func (sim *simulation) trackConfirmations() {
	for rev := int64(1); rev <= sim.reference.Revision; rev++ {
		folded := 0
		for _, nod := range sim.nodes {
			if !nod.dead && nod.fol.View().Revision >= rev {
				folded++
			}
		}
		if _, known := sim.confirmedAt[rev]; !known && 2*folded > len(sim.nodes) {
			sim.confirmedAt[rev] = sim.clk.Now()
		}
	}
}

func (sim *simulation) confirmedFor(rev int64) time.Duration {
	since, known := sim.confirmedAt[rev]
	if !known {
		return 0
	}
	return sim.clk.Since(since)
}

// checkConfigurations asserts that no node goes back to an older revision, that each holds the accepted content, and that a fresh node has every revision within maxPropagation of its confirmation.
func (sim *simulation) checkConfigurations() {
	for _, nod := range sim.nodes {
		if nod.dead || nod.paused {
			continue
		}
		vie := nod.fol.View()
		Expect(vie.Revision).To(BeNumerically(">=", nod.lastRevision), "%s went back to an older revision", nod.name)
		nod.lastRevision = vie.Revision
		if vie.Revision > 0 {
			Expect(fmt.Sprint(vie.Catalog.Rules.DisabledZones)).To(Equal(sim.zonesOut[vie.Revision]))
		}
		if !nod.standing().Fresh {
			continue
		}
		for rev := vie.Revision + 1; rev <= sim.reference.Revision; rev++ {
			Expect(sim.confirmedFor(rev)).To(BeNumerically("<=", maxPropagation), "%s admits requests without revision %d; %s", nod.name, rev, sim.describe())
		}
	}
}

func (sim *simulation) describe() string {
	return fmt.Sprintf("log down %v, cut from log %v, cuts %d, trace %v", sim.logDown, sim.cutFromLog, len(sim.cutLinks), sim.trace[max(0, len(sim.trace)-12):])
}

// publish changes the availability zones that are out, through a random node if it may publish.
func (sim *simulation) publish() {
	nod := sim.nodes[sim.rnd.IntN(len(sim.nodes))]
	if nod.dead || nod.paused || !nod.standing().MayPublish {
		return
	}
	vie := nod.fol.View()
	next := vie.Catalog
	next.Rules.DisabledZones = nil
	if sim.rnd.IntN(2) == 0 {
		next.Rules.DisabledZones = []string{zones[sim.rnd.IntN(len(zones))]}
	}
	rec, err := recorder.New(sim.clk.Now(), recorder.KindPublication, nod.self(), recorder.Publication{BasedOn: vie.Revision, Change: cataloger.Diff(vie.Catalog, next)})
	Expect(err).NotTo(HaveOccurred())
	_, _ = nod.Append(canceledContext(), rec)
	sim.recordEvent("publish %v by %s", next.Rules.DisabledZones, nod.name)
}

func (sim *simulation) recordEvent(format string, args ...any) {
	sim.trace = append(sim.trace, sim.clk.Now().Format("04:05.00 ")+fmt.Sprintf(format, args...))
}

// injectFault injects one random fault, or heals faults.
func (sim *simulation) injectFault() {
	sim.faults++
	nod := sim.nodes[sim.rnd.IntN(len(sim.nodes))]
	oth := sim.nodes[sim.rnd.IntN(len(sim.nodes))]
	switch sim.rnd.IntN(9) {
	case 0:
		sim.replaceNode(nod)
	case 1:
		nod.paused = !nod.paused
		sim.recordEvent("pause %s %v", nod.name, nod.paused)
	case 2:
		sim.cutFromLog[nod.name] = !sim.cutFromLog[nod.name]
		sim.recordEvent("cut %s from log %v", nod.name, sim.cutFromLog[nod.name])
	case 3:
		sim.cutLinks[[2]string{nod.name, oth.name}] = !sim.cut(nod.name, oth.name)
		sim.recordEvent("cut %s from %s %v", nod.name, oth.name, sim.cut(nod.name, oth.name))
	case 4:
		sim.logDown = !sim.logDown
		sim.recordEvent("log down %v", sim.logDown)
	case 5:
		sim.isolateZone(nod.zone)
	case 6:
		sim.truncateLog()
	case 7:
		sim.heal()
	case 8:
		bac := sim.units[sim.unitNames()[sim.rnd.IntN(len(sim.units))]]
		if len(bac.running) <= coldLimit {
			bac.warm, bac.started, bac.cooledAt = false, strconv.Itoa(sim.rnd.Int()), sim.clk.Now()
		}
	}
}

func (sim *simulation) replaceNode(nod *node) {
	sim.recordEvent("replace %s", nod.name)
	nod.dead = true
	sim.nodes[slices.Index(sim.nodes, nod)] = sim.newNode(nod.name, nod.zone)
}

func (sim *simulation) isolateZone(zone string) {
	sim.recordEvent("isolate %s", zone)
	for _, one := range sim.nodes {
		for _, two := range sim.nodes {
			if (one.zone == zone) != (two.zone == zone) {
				sim.cutLinks[[2]string{one.name, two.name}] = true
			}
		}
		if one.zone == zone && sim.rnd.IntN(2) == 0 {
			sim.cutFromLog[one.name] = true
		}
	}
}

// truncateLog appends a snapshot and removes the records that it covers from the log.
func (sim *simulation) truncateLog() {
	for _, nod := range sim.nodes {
		if sna, err := nod.fol.Snapshot(); err == nil && nod.standing().MayDecide {
			rec, _ := recorder.New(sim.clk.Now(), recorder.KindSnapshot, nod.self(), sna)
			if jud, err := nod.Append(canceledContext(), rec); err == nil && jud.Reason == reducer.Accepted {
				sim.firstOffset = sna.Covers + 1
				sim.recordEvent("retain from %d", sim.firstOffset)
			}
			return
		}
	}
}

func (sim *simulation) heal() {
	sim.recordEvent("heal")
	sim.logDown = false
	clear(sim.cutLinks)
	clear(sim.cutFromLog)
	for _, nod := range sim.nodes {
		nod.paused = false
	}
}

func (sim *simulation) run(count int, faulty bool) {
	for range count {
		if faulty && sim.rnd.IntN(12) == 0 {
			sim.injectFault()
		}
		if len(sim.units) > 0 && sim.rnd.IntN(20) == 0 {
			sim.publish()
		}
		sim.step()
	}
}

func (sim *simulation) bootstrap() {
	sim.run(8, false)
	nod := sim.nodes[0]
	rec, err := recorder.New(sim.clk.Now(), recorder.KindPublication, nod.self(), recorder.Publication{Change: cataloger.Diff(cataloger.Catalog{}, catalog())})
	Expect(err).NotTo(HaveOccurred())
	rec.ID = sim.newID()
	Expect(sim.append(rec).Reason).To(Equal(reducer.Accepted))
	for name, vm := range catalog().Inventory.VMs {
		sim.units[name] = &backend{zone: vm.Zone, started: name, reports: []prober.Status{{State: prober.Ready, Started: name}}}
	}
	sim.run(20, false)
}

func seeds() []uint64 {
	count := seedsInCI
	if more, err := strconv.Atoi(os.Getenv("LOVAGELEVER_SEEDS")); err == nil {
		count = more
	}
	var out []uint64
	for num := range count {
		out = append(out, uint64(num+1))
	}
	return out
}

var _ = Describe("Seven entries with random faults", func() {
	for _, seed := range seeds() {
		It("keep the cold limit, zones out, and the accepted configuration, seed "+strconv.FormatUint(seed, 10), func() {
			sim := newSimulation(seed)
			sim.bootstrap()
			sim.run(steps, true)
			sim.heal()
			granted := sim.granted
			sim.run(recoverySteps, false)
			Expect(sim.granted).To(BeNumerically(">", granted), "no ticket was granted after all faults were healed: %s", sim.describe())
			Expect(sim.reference.Offset).To(Equal(int64(len(sim.log))))
			for _, nod := range sim.nodes {
				GinkgoWriter.Printf("%s at offset %d of %d\n", nod.name, nod.fol.View().Offset, sim.reference.Offset)
				Expect(nod.fol.View().ChainHash).To(Equal(sim.reference.ChainHash), nod.name)
				Expect(nod.joi.Joined()).To(BeTrue(), nod.name)
			}
			GinkgoWriter.Printf("seed %d: %d faults, %d tickets, revision %d, offset %d\n", seed, sim.faults, sim.granted, sim.reference.Revision, sim.reference.Offset)
		})
	}
})
