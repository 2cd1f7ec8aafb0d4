//go:build soak

package prover

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/platform/storefaker"
)

type gateMaker = func(gts *gates, rng *rand.Rand) fault

var (
	storeDown   = storeFault("store down", func(flt *storefaker.Faults) { flt.Down = true })
	storePause  = storeFault("store silent", func(flt *storefaker.Faults) { flt.Pause = true })
	storeSlow   = storeFault("store slow", func(flt *storefaker.Faults) { flt.SlowMS = 200 })
	storeLosing = storeFault("store loses answers", func(flt *storefaker.Faults) { flt.LoseAnswers, flt.LateBy = 6, 2*time.Second })
	storeBusy   = storeFault("store turns two entries away", func(flt *storefaker.Faults) { flt.Busy = []string{gateIP(1), gateIP(3)} })
	// gateFaults is every fault that the soak draws from.
	gateFaults = []gateMaker{
		killGate, pauseGate, stopGate, hangUpGate, cutFromStore, cutFromWorker, resetWorker, slowNetwork, killWorker, killWorker, drainWorker, lateOrders,
		storeDown, storePause, storeSlow, storeLosing, storeBusy, forgetHistory, dealLease, takeZoneOut, changeRoutes,
	}
)

func gateFault(name string, begin func(gts *gates, num int), end func(gts *gates, num int)) gateMaker {
	return func(gts *gates, rng *rand.Rand) fault {
		num := 1 + rng.IntN(gateCount)
		return fault{
			name: fmt.Sprintf("%s gate-%d", name, num), target: fmt.Sprintf("gate-%d", num),
			begin: func() { begin(gts, num) }, end: func() { end(gts, num) },
		}
	}
}

var (
	killGate = gateFault("kill", func(gts *gates, num int) { gts.gate(num).kill() }, func(gts *gates, num int) {
		gts.startGate(num)
		gts.awaitAlive(num)
	})
	pauseGate = gateFault("pause", func(gts *gates, num int) { gts.gate(num).signal(syscall.SIGSTOP) }, func(gts *gates, num int) {
		gts.gate(num).signal(syscall.SIGCONT)
	})
	// stopGate asks for an end and, some time later, starts anew: signals follow each other and overlap with the end.
	stopGate = gateFault("stop", func(gts *gates, num int) {
		gts.gate(num).signal(syscall.SIGTERM)
		gts.gate(num).signal(syscall.SIGHUP)
	}, func(gts *gates, num int) {
		Eventually(gts.gate(num).done, gateGrace+endTimeout).Should(BeClosed(), "gate-%d ends within its grace", num)
		gts.startGate(num)
		gts.awaitAlive(num)
	})
	hangUpGate   = gateFault("hang up", func(gts *gates, num int) { gts.gate(num).signal(syscall.SIGHUP) }, func(gts *gates, num int) { gts.gate(num).signal(syscall.SIGHUP) })
	cutFromStore = gateFault("cut from the store", func(gts *gates, num int) {
		gts.ntw.cut(gateIP(num), storeIP, 1)
	}, func(gts *gates, num int) {
		gts.ntw.cut(gateIP(num), storeIP, -1)
	})
)

// awaitAlive waits until a process listens; without the store it is not ready.
func (gts *gates) awaitAlive(num int) {
	Eventually(func() bool { return listens(gateIP(num) + ":8001") }, gateStarts, 20*time.Millisecond).Should(BeTrue(), "gate-%d listens", num)
}

func storeFault(name string, set func(flt *storefaker.Faults)) gateMaker {
	return func(gts *gates, _ *rand.Rand) fault {
		var flt storefaker.Faults
		set(&flt)
		return fault{
			name: name, target: "store",
			begin: func() {
				gts.setBlind(flt.Down || flt.Pause)
				Expect(gts.sto.Set(flt)).To(Succeed())
			},
			end: func() {
				Expect(gts.sto.Set(storefaker.Faults{})).To(Succeed())
				gts.setBlind(false)
			},
		}
	}
}

func once(name, target string, do func()) fault {
	return fault{name: name, target: target, begin: do, end: func() {}}
}

func forgetHistory(gts *gates, _ *rand.Rand) fault {
	return once("store forgets its history", "history", gts.sto.Forget)
}

func dealLease(gts *gates, _ *rand.Rand) fault {
	return once("store deals leases anew", "lease", gts.sto.Deal)
}

// anyWorker draws a backend server; those of the plain service, which are few, come as often as the others.
func anyWorker(rng *rand.Rand) (zone, num int) {
	zone = rng.IntN(gateZones)
	if rng.IntN(2) == 0 {
		return zone, enginesEach + rng.IntN(desksEach)
	}
	return zone, rng.IntN(enginesEach)
}

func cutFromWorker(gts *gates, rng *rand.Rand) fault {
	from := gateIP(1 + rng.IntN(gateCount))
	to := workerIP(anyWorker(rng))
	pair := [2]string{from, to}
	if rng.IntN(2) == 0 {
		pair = [2]string{to, from}
	}
	return fault{
		name: fmt.Sprintf("cut %s to %s", pair[0], pair[1]), target: "worker at " + to,
		begin: func() { gts.ntw.cut(pair[0], pair[1], 1) }, end: func() { gts.ntw.cut(pair[0], pair[1], -1) },
	}
}

func resetWorker(gts *gates, rng *rand.Rand) fault {
	ip := workerIP(anyWorker(rng))
	return once("reset connections to "+ip, "worker at "+ip, func() { gts.ntw.reset(ip) })
}

func slowNetwork(gts *gates, rng *rand.Rand) fault {
	delay := between(rng, 5*time.Millisecond, 40*time.Millisecond)
	return fault{
		name: fmt.Sprintf("slow network, %v", delay), target: "network",
		begin: func() { gts.ntw.slow(delay) }, end: func() { gts.ntw.slow(0) },
	}
}

func killWorker(gts *gates, rng *rand.Rand) fault {
	zone, num := anyWorker(rng)
	id := workerID(zone, num)
	return fault{
		name: "kill " + id, target: "worker at " + workerIP(zone, num),
		begin: func() { gts.wor.Kill(id) },
		end:   func() { Expect(gts.wor.Revive(id)).To(Succeed()) },
	}
}

func drainWorker(gts *gates, rng *rand.Rand) fault {
	zone, num := anyWorker(rng)
	id := workerID(zone, num)
	return fault{
		name: "drain " + id, target: "worker at " + workerIP(zone, num),
		begin: func() { gts.wor.Drain(id) },
		end: func() {
			gts.wor.Kill(id)
			Expect(gts.wor.Revive(id)).To(Succeed())
		},
	}
}

func lateOrders(gts *gates, _ *rand.Rand) fault {
	return fault{
		name: "orders late", target: "orders",
		begin: func() { gts.wor.DelayOrders(0.5, 2*time.Second) }, end: func() { gts.wor.DelayOrders(0, 0) },
	}
}

func takeZoneOut(gts *gates, rng *rand.Rand) fault {
	zone := gateZone(rng.IntN(gateZones))
	return fault{
		name: "take out " + zone, target: "zones",
		begin: func() { gts.ope.TakeOut(zone) }, end: func() { gts.ope.TakeBack(zone) },
	}
}

// changeRoutes publishes two versions in quick succession; the first routes stay as they are.
func changeRoutes(gts *gates, _ *rand.Rand) fault {
	return once("change routes", "operator", func() {
		for range 2 {
			gts.addRoute()
		}
	})
}

// addRoute publishes a version with one more route, and returns its path.
func (gts *gates) addRoute() string {
	gts.cfg.Version += 3
	name := fmt.Sprintf("look-%d", gts.cfg.Version)
	rou := gts.cfg.Routes[2]
	rou.Name, rou.Prefix = name, "/"+name+"/"
	gts.cfg.Routes = append(gts.cfg.Routes[:3:3], rou)
	Expect(gts.ope.Publish(gts.cfg)).To(Succeed())
	return rou.Prefix + "x"
}
