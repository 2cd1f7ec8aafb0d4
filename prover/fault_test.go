//go:build soak

package prover

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

// fault is an injected failure: begin causes it and end clears it. drawFaults combines no two faults with the same target.
type fault struct {
	name   string
	target string
	begin  func()
	end    func()
}

// faultGenerator returns a fault with randomly chosen parameters.
type faultGenerator = func(dep *deployment, rng *rand.Rand) fault

type fields map[string]any

// injectFaults runs rounds of one or two concurrent faults until limit has passed, and clears the faults of each round.
func injectFaults[D any](dep D, rng *rand.Rand, limit time.Duration, generators []func(D, *rand.Rand) fault) {
	defer GinkgoRecover()
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		flts := drawFaults(dep, rng, 1+rng.IntN(2), generators)
		for _, flt := range flts {
			report("begin %s", flt.name)
			flt.begin()
			time.Sleep(randomDuration(rng, 0, 700*time.Millisecond))
		}
		time.Sleep(randomDuration(rng, time.Second, 6*time.Second))
		for _, flt := range flts {
			report("end   %s", flt.name)
			flt.end()
		}
		time.Sleep(randomDuration(rng, 0, 3*time.Second))
	}
}

func drawFaults[D any](dep D, rng *rand.Rand, count int, generators []func(D, *rand.Rand) fault) []fault {
	var out []fault
	for range count {
		flt := generators[rng.IntN(len(generators))](dep, rng)
		taken := slices.ContainsFunc(out, func(oth fault) bool { return oth.target == flt.target })
		if !taken {
			out = append(out, flt)
		}
	}
	return out
}

func randomDuration(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

func (dep *deployment) markFaulted(num int) {
	dep.mtx.Lock()
	defer dep.mtx.Unlock()
	dep.faultSpans[num] = append(dep.faultSpans[num], span{begun: time.Now()})
}

func (dep *deployment) markRecovered(num int) {
	dep.mtx.Lock()
	defer dep.mtx.Unlock()
	dep.faultSpans[num][len(dep.faultSpans[num])-1].ended = time.Now()
}

// hadFault reports whether a fault of an entry overlapped the given period.
func (dep *deployment) hadFault(num int, begun, ended time.Time) bool {
	dep.mtx.Lock()
	defer dep.mtx.Unlock()
	return slices.ContainsFunc(dep.faultSpans[num], func(spa span) bool {
		return spa.begun.Before(ended) && (spa.ended.IsZero() || spa.ended.After(begun))
	})
}

func killEntry(dep *deployment, rng *rand.Rand) fault {
	num := 1 + rng.IntN(entryCount)
	return fault{
		name: "kill " + entryName(num), target: entryName(num),
		begin: func() {
			dep.markFaulted(num)
			dep.entry(num).kill()
		},
		end: func() {
			dep.startEntry(num)
			dep.awaitAnswer(entryAddress(num), "/v1/self")
			dep.markRecovered(num)
		},
	}
}

func pauseEntry(dep *deployment, rng *rand.Rand) fault {
	num := 1 + rng.IntN(entryCount)
	return fault{
		name: "pause " + entryName(num), target: entryName(num),
		begin: func() {
			dep.markFaulted(num)
			dep.entry(num).signal(syscall.SIGSTOP)
		},
		end: func() {
			dep.entry(num).signal(syscall.SIGCONT)
			dep.markRecovered(num)
		},
	}
}

// partitionEntry blocks traffic between an entry and all others, in one or both directions.
func partitionEntry(dep *deployment, rng *rand.Rand) fault {
	num := 1 + rng.IntN(entryCount)
	out, in := true, true
	switch rng.IntN(3) {
	case 0:
		out = false
	case 1:
		in = false
	}
	turn := func(by int) {
		for oth := 1; oth <= entryCount; oth++ {
			if out && oth != num {
				dep.ntw.addBlock(entryIP(num), entryIP(oth), by)
			}
			if in && oth != num {
				dep.ntw.addBlock(entryIP(oth), entryIP(num), by)
			}
		}
	}
	return fault{
		name: fmt.Sprintf("partition %s from entries (out %t, in %t)", entryName(num), out, in), target: "links of " + entryName(num),
		begin: func() { turn(1) }, end: func() { turn(-1) },
	}
}

// partitionPair blocks traffic from one entry to another.
func partitionPair(dep *deployment, rng *rand.Rand) fault {
	one := 1 + rng.IntN(entryCount)
	two := 1 + (one+rng.IntN(entryCount-1))%entryCount
	return fault{
		name: "partition " + entryName(one) + " to " + entryName(two), target: fmt.Sprint(one, "-", two),
		begin: func() { dep.ntw.addBlock(entryIP(one), entryIP(two), 1) },
		end:   func() { dep.ntw.addBlock(entryIP(one), entryIP(two), -1) },
	}
}

func (dep *deployment) setSourceBlocked(address, source string, blocked bool) {
	dep.mtx.Lock()
	if dep.blockedSources[address] == nil {
		dep.blockedSources[address] = map[string]bool{}
	}
	if blocked {
		dep.blockedSources[address][source] = true
	} else {
		delete(dep.blockedSources[address], source)
	}
	list := slices.Collect(maps.Keys(dep.blockedSources[address]))
	dep.mtx.Unlock()
	if list == nil {
		list = []string{}
	}
	dep.setFaults(address, fields{"cut_sources": list})
}

func partitionFromLog(dep *deployment, rng *rand.Rand) fault {
	num := 1 + rng.IntN(entryCount)
	return fault{
		name: "partition " + entryName(num) + " from log", target: "log of " + entryName(num),
		begin: func() { dep.setSourceBlocked(logAddress, entryIP(num), true) },
		end:   func() { dep.setSourceBlocked(logAddress, entryIP(num), false) },
	}
}

func partitionFromDomain(dep *deployment, rng *rand.Rand) fault {
	num, dom := 1+rng.IntN(entryCount), rng.IntN(domainCount)
	return fault{
		name: "partition " + entryName(num) + " from " + domainOf(dom), target: fmt.Sprint(num, " ", dom),
		begin: func() { dep.setSourceBlocked(domainControl(dom), entryIP(num), true) },
		end:   func() { dep.setSourceBlocked(domainControl(dom), entryIP(num), false) },
	}
}

func logFault(name string, on, off fields) faultGenerator {
	return func(dep *deployment, _ *rand.Rand) fault {
		return fault{
			name: "log " + name, target: "log",
			begin: func() { dep.setFaults(logAddress, on) },
			end:   func() { dep.setFaults(logAddress, off) },
		}
	}
}

var (
	logDown              = logFault("down", fields{"down": true}, fields{"down": false})
	logPaused            = logFault("paused", fields{"pause": true}, fields{"pause": false})
	logSlow              = logFault("slow", fields{"slow_ms": 400}, fields{"slow_ms": 0})
	logLosingAnswers     = logFault("drops responses", fields{"lose_answers": 8}, fields{"lose_answers": 0})
	logRefusing          = logFault("refuses appends", fields{"refuse_appends": true}, fields{"refuse_appends": false})
	killEngine           = engineFault("kill", fields{"kill": true}, fields{"revive": true})
	pauseEngine          = engineFault("pause", fields{"pause": true}, fields{})
	slowEngine           = engineFault("slow", fields{"slow_factor": 5}, fields{})
	coldEngine           = busyEngineFault("turn cold", fields{"turn_cold": true}, fields{})
	lateEngine           = busyEngineFault("delay answers of", fields{"late_answer_ms": 1500}, fields{})
	crossEngine          = busyEngineFault("swap answers of", fields{"cross_answers": true}, fields{})
	truncateEngine       = busyEngineFault("truncate", fields{"truncate": true}, fields{})
	repeatEngine         = busyEngineFault("repeat chunk of", fields{"repeat_chunk": true}, fields{})
	killService          = serviceFault("kill", fields{"kill": true}, fields{"revive": true})
	pauseService         = serviceFault("pause", fields{"pause": true}, fields{})
	coldService          = serviceFault("turn cold", fields{"turn_cold": true}, fields{})
	serviceLosingAnswers = serviceFault("drop responses of", fields{"lose_answers": 5}, fields{})
)

func engineFault(name string, on, off fields) faultGenerator {
	return func(dep *deployment, rng *rand.Rand) fault {
		num := rng.IntN(domainCount * vmsPerDomain)
		vm := fmt.Sprintf("engine-%02d", num)
		return dep.vmFault(domainControl(num/vmsPerDomain), name, vm, on, off)
	}
}

// busyEngineFault returns a generator of faults in an engine that has started requests. While no engine has, it generates a coldService fault.
func busyEngineFault(name string, on, off fields) faultGenerator {
	return func(dep *deployment, rng *rand.Rand) fault {
		var busy []string
		for vm, cnt := range dep.fetchEngineCounts() {
			if cnt.Started > 0 {
				busy = append(busy, vm)
			}
		}
		if len(busy) == 0 {
			return coldService(dep, rng)
		}
		slices.Sort(busy)
		vm := busy[rng.IntN(len(busy))]
		return dep.vmFault(domainControl(domainNumber(dep.cat.Inventory.VMs[vm].Domain)), name, vm, on, off)
	}
}

func serviceFault(name string, on, off fields) faultGenerator {
	return func(dep *deployment, rng *rand.Rand) fault {
		return dep.vmFault(serviceControl, name, serviceVM(rng.IntN(serviceVMs)), on, off)
	}
}

func (dep *deployment) vmFault(control, name, vm string, on, off fields) fault {
	return fault{
		name: name + " " + vm, target: vm,
		begin: func() { dep.setFaults(control, fields{"vms": fields{vm: on}}) },
		end:   func() { dep.setFaults(control, fields{"vms": fields{vm: off}}) },
	}
}

func domainDown(dep *deployment, rng *rand.Rand) fault {
	dom := rng.IntN(domainCount)
	return fault{
		name: "domain down " + domainOf(dom), target: domainOf(dom),
		begin: func() { dep.setFaults(domainControl(dom), fields{"down": true}) },
		end:   func() { dep.setFaults(domainControl(dom), fields{"down": false}) },
	}
}
