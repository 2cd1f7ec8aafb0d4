//go:build soak

package prover

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/disturber"
	"github.com/lovagelever/lovagelever/platform/storefaker"
	"github.com/lovagelever/lovagelever/platform/workerfaker"
)

type gateFaultGenerator = func(gts *gates, rng *rand.Rand) fault

var (
	storeDown   = storeFault("store down", func(flt *storefaker.Faults) { flt.Down = true })
	storePause  = storeFault("store unresponsive", func(flt *storefaker.Faults) { flt.Pause = true })
	storeSlow   = storeFault("store slow", func(flt *storefaker.Faults) { flt.SlowMS = 200 })
	storeLosing = storeFault("store drops responses", func(flt *storefaker.Faults) { flt.LostResponses, flt.LostAppendDelay = 6, 2*time.Second })
	storeBusy   = storeFault("store refuses two entries as busy", func(flt *storefaker.Faults) { flt.BusySources = []string{gateIP(1), gateIP(3)} })
	// gateFaults lists the fault generators of the soak test.
	gateFaults = []gateFaultGenerator{
		killGate, pauseGate, stopGate, reloadGate, partitionFromStore, partitionFromWorker, cutGate, cutGate, silenceConnections, resetWorker, slowNetwork, killWorker, killWorker, drainWorker, pauseWorker, limitWorker, delayOrders, spoilAnswers, spoilAnswers, slowWorker, slowCallers,
		storeDown, storePause, storeSlow, storeLosing, storeBusy, dropHistory, restoreStore, reassignLeases, takeZoneOut, changeRoutes,
	}
)

func gateFault(name string, begin func(gts *gates, num int), end func(gts *gates, num int)) gateFaultGenerator {
	return func(gts *gates, rng *rand.Rand) fault {
		num := 1 + rng.IntN(gateCount)
		return fault{
			name: fmt.Sprintf("%s gate-%d", name, num), target: fmt.Sprintf("gate-%d", num),
			begin: func() { begin(gts, num) }, end: func() { end(gts, num) },
		}
	}
}

// gateDisturbance is a fault that stops an entry for a while; what backend servers have told it before does not bind it afterwards.
func gateDisturbance(name string, begin func(gts *gates, num int), end func(gts *gates, num int)) gateFaultGenerator {
	return gateFault(name, func(gts *gates, num int) {
		gts.disturb(gateIP(num), 1)
		begin(gts, num)
	}, func(gts *gates, num int) {
		end(gts, num)
		gts.disturb(gateIP(num), -1)
	})
}

var (
	killGate = gateDisturbance("kill", func(gts *gates, num int) { gts.gate(num).kill() }, func(gts *gates, num int) {
		gts.startGate(num)
		gts.awaitAlive(num)
	})
	pauseGate = gateDisturbance("pause", func(gts *gates, num int) { gts.gate(num).signal(syscall.SIGSTOP) }, func(gts *gates, num int) {
		gts.gate(num).signal(syscall.SIGCONT)
	})
	// stopGate requests a graceful shutdown and starts the entry again when the fault ends. The SIGHUP sent right after SIGTERM overlaps with the shutdown.
	stopGate = gateDisturbance("stop", func(gts *gates, num int) {
		gts.gate(num).signal(syscall.SIGTERM)
		gts.gate(num).signal(syscall.SIGHUP)
	}, func(gts *gates, num int) {
		Eventually(gts.gate(num).done, gateStopGrace+exitTimeout).Should(BeClosed(), "gate-%d exits within the grace period", num)
		gts.startGate(num)
		gts.awaitAlive(num)
	})
	reloadGate         = gateFault("reload", func(gts *gates, num int) { gts.gate(num).signal(syscall.SIGHUP) }, func(gts *gates, num int) { gts.gate(num).signal(syscall.SIGHUP) })
	partitionFromStore = gateFault("partition from the store", func(gts *gates, num int) {
		gts.ntw.addBlock(gateIP(num), storeIP, 1)
	}, func(gts *gates, num int) {
		gts.ntw.addBlock(gateIP(num), storeIP, -1)
	})
)

// awaitAlive waits until an entry listens. It does not wait for readiness, which depends on the store.
func (gts *gates) awaitAlive(num int) {
	Eventually(func() bool { return listens(gateIP(num) + ":8001") }, gateStartTimeout, 20*time.Millisecond).Should(BeTrue(), "gate-%d listens", num)
}

func storeFault(name string, set func(flt *storefaker.Faults)) gateFaultGenerator {
	return func(gts *gates, _ *rand.Rand) fault {
		var flt storefaker.Faults
		set(&flt)
		return fault{
			name: name, target: "store",
			begin: func() {
				gts.setStoreUnreachable(flt.Down || flt.Pause)
				Expect(gts.sto.Set(flt)).To(Succeed())
			},
			end: func() {
				Expect(gts.sto.Set(storefaker.Faults{})).To(Succeed())
				gts.setStoreUnreachable(false)
			},
		}
	}
}

func instantFault(name, target string, do func()) fault {
	return fault{name: name, target: target, begin: do, end: func() {}}
}

func dropHistory(gts *gates, _ *rand.Rand) fault {
	return instantFault("store drops its history", "history", gts.sto.TruncateHistory)
}

// restoreStore takes the store away and brings it back from an older copy; what the operator and the backend servers wrote is written again later.
func restoreStore(gts *gates, rng *rand.Rand) fault {
	age := time.Duration(100+rng.IntN(8000)) * time.Millisecond
	pause := time.Duration(rng.IntN(1500)) * time.Millisecond
	return fault{
		name: fmt.Sprintf("store comes back from a copy %s old", age), target: "store",
		begin: func() {
			gts.setStoreUnreachable(true)
			Expect(gts.sto.Set(storefaker.Faults{Faults: disturber.Faults{Down: true}})).To(Succeed())
		},
		end: func() {
			gts.sto.Restore(age)
			Expect(gts.sto.Set(storefaker.Faults{})).To(Succeed())
			gts.setStoreUnreachable(false)
			time.Sleep(pause)
			gts.sto.WriteLost()
		},
	}
}

func reassignLeases(gts *gates, _ *rand.Rand) fault {
	return instantFault("store reassigns leases", "lease", gts.sto.RotateLeases)
}

// randomWorker picks a backend server. The few servers of the plain service are picked as often as all engines together.
func randomWorker(rng *rand.Rand) (zone, num int) {
	zone = rng.IntN(gateZones)
	if rng.IntN(2) == 0 {
		return zone, enginesPerZone + rng.IntN(desksPerZone)
	}
	return zone, rng.IntN(enginesPerZone)
}

func partitionFromWorker(gts *gates, rng *rand.Rand) fault {
	from := gateIP(1 + rng.IntN(gateCount))
	to := workerIP(randomWorker(rng))
	pair := [2]string{from, to}
	if rng.IntN(2) == 0 {
		pair = [2]string{to, from}
	}
	return fault{
		name: fmt.Sprintf("partition %s to %s", pair[0], pair[1]), target: "worker at " + to,
		begin: func() {
			gts.disturb(from, 1)
			gts.ntw.addBlock(pair[0], pair[1], 1)
		},
		end: func() {
			gts.ntw.addBlock(pair[0], pair[1], -1)
			gts.disturb(from, -1)
		},
	}
}

// cutGate cuts some entries off from all backend servers, or resets their new connections while the others live on.
func cutGate(gts *gates, rng *rand.Rand) fault {
	var cut []string
	for num := range 1 + rng.IntN(gateCount-1) {
		cut = append(cut, gateIP(num+1))
	}
	refuse := rng.IntN(2) == 0
	change := func(by int) {
		for _, from := range cut {
			gts.disturb(from, by)
			if refuse {
				gts.ntw.addRefusal(from, by)
				continue
			}
			for zone := range gateZones {
				for num := range enginesPerZone + desksPerZone {
					gts.ntw.addBlock(from, workerIP(zone, num), by)
					gts.ntw.addBlock(workerIP(zone, num), from, by)
				}
			}
		}
	}
	return fault{
		name: fmt.Sprintf("cut %s from all workers, refused: %v", strings.Join(cut, " "), refuse), target: "links of entries to workers",
		begin: func() { change(1) }, end: func() { change(-1) },
	}
}

func resetWorker(gts *gates, rng *rand.Rand) fault {
	ip := workerIP(randomWorker(rng))
	return instantFault("reset connections to "+ip, "worker at "+ip, func() {
		gts.ntw.reset(ip)
		for num := 1; num <= gateCount; num++ {
			gts.disturb(gateIP(num), 0)
		}
	})
}

// silenceConnections has most open connections between entries, to the store and to backend servers go silent for good.
func silenceConnections(gts *gates, rng *rand.Rand) fault {
	return instantFault("open connections go silent", "open connections", func() { gts.silence(rng) })
}

const silentShare = 0.7

func (gts *gates) silence(rng *rand.Rand) {
	report("%d connections go silent", gts.ntw.silence(rng, silentShare))
	for num := 1; num <= gateCount; num++ {
		gts.disturb(gateIP(num), 0)
	}
}

func slowNetwork(gts *gates, rng *rand.Rand) fault {
	delay := randomDuration(rng, 5*time.Millisecond, 40*time.Millisecond)
	return fault{
		name: fmt.Sprintf("slow network, %v", delay), target: "network",
		begin: func() { gts.ntw.setDelay(delay) }, end: func() { gts.ntw.setDelay(0) },
	}
}

func killWorker(gts *gates, rng *rand.Rand) fault {
	zone, num := randomWorker(rng)
	id := workerID(zone, num)
	return fault{
		name: "kill " + id, target: "worker at " + workerIP(zone, num),
		begin: func() { gts.wor.Kill(id) },
		end:   func() { Expect(gts.wor.Restart(id)).To(Succeed()) },
	}
}

func drainWorker(gts *gates, rng *rand.Rand) fault {
	zone, num := randomWorker(rng)
	id := workerID(zone, num)
	return fault{
		name: "drain " + id, target: "worker at " + workerIP(zone, num),
		begin: func() { gts.wor.Drain(id) },
		end: func() {
			gts.wor.Kill(id)
			Expect(gts.wor.Restart(id)).To(Succeed())
		},
	}
}

// pauseWorker has a backend server ask for pauses.
func pauseWorker(gts *gates, rng *rand.Rand) fault {
	zone, num := randomWorker(rng)
	dur := randomDuration(rng, 300*time.Millisecond, 4*time.Second)
	return instantFault(fmt.Sprintf("pause %s for %v", workerID(zone, num), dur), "worker at "+workerIP(zone, num), func() { gts.wor.Pause(workerID(zone, num), dur) })
}

// limitWorker has a backend server name a rate limit.
func limitWorker(gts *gates, rng *rand.Rand) fault {
	zone, num := randomWorker(rng)
	id := workerID(zone, num)
	perSecond := 0.5 + 8*rng.Float64()
	return fault{
		name: fmt.Sprintf("limit %s to %.1f/s", id, perSecond), target: "worker at " + workerIP(zone, num),
		begin: func() { gts.wor.Limit(id, perSecond) }, end: func() { gts.wor.Limit(id, 0) },
	}
}

// slowWorker has a backend server read requests slowly.
func slowWorker(gts *gates, rng *rand.Rand) fault {
	zone, num := randomWorker(rng)
	id := workerID(zone, num)
	pause := randomDuration(rng, 20*time.Millisecond, time.Second)
	return fault{
		name: fmt.Sprintf("%s reads with pauses of %v", id, pause), target: "worker at " + workerIP(zone, num),
		begin: func() { gts.wor.SetReadPause(id, pause) }, end: func() { gts.wor.SetReadPause(id, 0) },
	}
}

// slowCallers adds callers of one entry that get large answers and read them slowly.
func slowCallers(gts *gates, rng *rand.Rand) fault {
	num := 1 + rng.IntN(gateCount)
	pause := randomDuration(rng, 20*time.Millisecond, time.Second)
	var stop func()
	return fault{
		name: fmt.Sprintf("callers of gate-%d read with pauses of %v", num, pause), target: "slow callers",
		begin: func() { stop = gts.slowLoad(rng, num, slowSoakCallers, pause) }, end: func() { stop() },
	}
}

// spoilAnswers makes a backend server end its answers with the connection, end them early, or send them without end.
func spoilAnswers(gts *gates, rng *rand.Rand) fault {
	zone, num := randomWorker(rng)
	id := workerID(zone, num)
	flt := workerfaker.AnswerFaults[rng.IntN(len(workerfaker.AnswerFaults))]
	return fault{
		name: fmt.Sprintf("answer of %s %s", id, flt), target: "worker at " + workerIP(zone, num),
		begin: func() { gts.wor.SetAnswerFault(id, flt) }, end: func() { gts.wor.SetAnswerFault(id, "") },
	}
}

func delayOrders(gts *gates, _ *rand.Rand) fault {
	return fault{
		name: "delay orders", target: "orders",
		begin: func() { gts.wor.DelayOrders(0.5, 2*time.Second) }, end: func() { gts.wor.DelayOrders(0, 0) },
	}
}

func takeZoneOut(gts *gates, rng *rand.Rand) fault {
	zone := gateZone(rng.IntN(gateZones))
	return fault{
		name: "take zone out: " + zone, target: "zones",
		begin: func() { gts.ope.EvacuateZone(zone) }, end: func() { gts.ope.RestoreZone(zone) },
	}
}

// changeRoutes publishes two versions in quick succession; the initial routes stay unchanged.
func changeRoutes(gts *gates, _ *rand.Rand) fault {
	return instantFault("change routes", "operator", func() {
		for range 2 {
			gts.addRoute()
		}
	})
}

// addRoute publishes a version with the initial routes and one new route, and returns a path of the new route.
func (gts *gates) addRoute() string {
	gts.cfg.Version += 3
	name := fmt.Sprintf("look-%d", gts.cfg.Version)
	rou := gts.cfg.Routes[2]
	rou.Name, rou.Prefix = name, "/"+name+"/"
	gts.cfg.Routes = append(gts.cfg.Routes[:3:3], rou)
	Expect(gts.ope.Publish(gts.cfg)).To(Succeed())
	return rou.Prefix + "x"
}
