package enginefaker

import (
	"context"
	"time"
)

const (
	prefillBudget     = 512
	crossDomainFactor = 10
)

// stepPlan is what one step runs.
type stepPlan struct {
	generation int64
	ord        order
	span       time.Duration
}

// run steps the batch until it is empty.
func (eng *engine) run() {
	for {
		pln, ok := eng.plan()
		if !ok || !eng.fkr.wait(pln.span) {
			return
		}
		slow, err := eng.ask(pln.ord, memberCall{SteppedUS: pln.span.Microseconds()})
		eng.waitMates(pln.ord)
		if eng.finish(pln, slow, err) {
			_, _ = eng.ask(pln.ord, memberCall{Crash: true})
		}
	}
}

// plan admits requests from the queue; it is false when there are none to run.
func (eng *engine) plan() (stepPlan, bool) {
	eng.fkr.mut.Lock()
	defer eng.fkr.mut.Unlock()
	for len(eng.queue) > 0 && len(eng.running) < eng.fkr.opt.BatchLimit {
		eng.admit(eng.queue[0])
		eng.queue = eng.queue[1:]
	}
	eng.note()
	if len(eng.running) == 0 {
		eng.stepping = false
		return stepPlan{}, false
	}
	eng.step = eng.stepTime(eng.takePrefill())
	return stepPlan{generation: eng.generation, ord: eng.ord, span: eng.step}, true
}

func (eng *engine) admit(jb *job) {
	cached, evs := eng.cache.use(jb.key, jb.prompt)
	eng.publish(evs)
	jb.prefill = jb.prompt - cached + jb.next
	eng.running = append(eng.running, jb)
}

func (eng *engine) takePrefill() int {
	left := prefillBudget
	for _, jb := range eng.running {
		jb.chunk = min(jb.prefill, left)
		left -= jb.chunk
	}
	return prefillBudget - left
}

func (eng *engine) stepTime(prefill int) time.Duration {
	opt := eng.fkr.opt
	span := opt.Step + opt.StepEach*time.Duration(len(eng.running)) + opt.PrefillEach*time.Duration(prefill)
	slow := eng.remoteSlow
	for _, mate := range eng.mates(eng.ord) {
		slow = max(slow, mate.slow())
	}
	if len(eng.remotes(eng.ord)) > 0 {
		slow *= crossDomainFactor
	}
	return time.Duration(float64(span) * slow)
}

func (eng *engine) waitMates(ord order) {
	for _, mate := range eng.mates(ord) {
		mate.machine.Wait(context.Background())
	}
}

// finish ends the step and reports whether a request crashed the group.
func (eng *engine) finish(pln stepPlan, slow float64, err error) bool {
	eng.fkr.mut.Lock()
	defer eng.fkr.mut.Unlock()
	if eng.generation != pln.generation {
		return false
	}
	eng.remoteSlow = slow
	if err != nil || !eng.matesReady(pln.ord) {
		eng.breakJobs()
		eng.reason = "member lost"
		eng.note()
		return false
	}
	eng.drop((*job).gone)
	if eng.anyMarked() {
		for _, mate := range eng.mates(pln.ord) {
			mate.crash()
		}
		return true
	}
	for _, mate := range eng.mates(pln.ord) {
		mate.addBusy(pln.span)
	}
	eng.emit(pln.ord)
	return false
}

func (eng *engine) anyMarked() bool {
	for _, jb := range eng.running {
		if jb.marked {
			return true
		}
	}
	return false
}

func (eng *engine) emit(ord order) {
	if eng.fkr.aud.missing(ord) {
		eng.cnt.ServedWithMemberMissing++
	}
	kept := eng.running[:0]
	for _, jb := range eng.running {
		jb.prefill -= jb.chunk
		jb.chunk = 0
		if jb.prefill > 0 || !jb.emit() {
			kept = append(kept, jb)
			continue
		}
		eng.cnt.Completed++
	}
	eng.running = kept
}
