package enginefaker

import (
	"context"
	"time"
)

const (
	prefillTokensPerStep = 512
	crossDomainFactor    = 10
)

// stepPlan is the order, its generation and the duration of one step.
type stepPlan struct {
	generation int64
	ord        order
	duration   time.Duration
}

// run executes steps until the batch is empty.
func (eng *engine) run() {
	for {
		pln, ok := eng.planStep()
		if !ok || !eng.sim.wait(pln.duration) {
			return
		}
		slow, err := eng.callRemoteMembers(pln.ord, memberCall{SteppedUS: pln.duration.Microseconds()})
		eng.waitWhilePaused(pln.ord)
		if eng.finishStep(pln, slow, err) {
			_, _ = eng.callRemoteMembers(pln.ord, memberCall{Crash: true})
		}
	}
}

// planStep admits requests from the queue and plans the next step; it is false when there are none to run.
func (eng *engine) planStep() (stepPlan, bool) {
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	for len(eng.queue) > 0 && len(eng.running) < eng.sim.opt.BatchLimit {
		eng.admitJob(eng.queue[0])
		eng.queue = eng.queue[1:]
	}
	eng.recordReport()
	if len(eng.running) == 0 {
		eng.stepping = false
		return stepPlan{}, false
	}
	eng.lastStep = eng.stepDuration(eng.assignPrefill())
	return stepPlan{generation: eng.generation, ord: eng.ord, duration: eng.lastStep}, true
}

func (eng *engine) admitJob(jb *job) {
	cached, evs := eng.cache.use(jb.prefixKey, jb.promptTokens)
	eng.publish(evs)
	jb.prefill = jb.promptTokens - cached + jb.nextToken
	eng.running = append(eng.running, jb)
}

func (eng *engine) assignPrefill() int {
	left := prefillTokensPerStep
	for _, jb := range eng.running {
		jb.stepPrefill = min(jb.prefill, left)
		left -= jb.stepPrefill
	}
	return prefillTokensPerStep - left
}

func (eng *engine) stepDuration(prefill int) time.Duration {
	opt := eng.sim.opt
	span := opt.StepBase + opt.StepPerRequest*time.Duration(len(eng.running)) + opt.PrefillPerToken*time.Duration(prefill)
	slow := eng.remoteSlowFactor
	for _, local := range eng.localMembers(eng.ord) {
		slow = max(slow, local.slowFactor())
	}
	if len(eng.remoteMembers(eng.ord)) > 0 {
		slow *= crossDomainFactor
	}
	return time.Duration(float64(span) * slow)
}

func (eng *engine) waitWhilePaused(ord order) {
	for _, local := range eng.localMembers(ord) {
		local.machine.WaitWhilePaused(context.Background())
	}
}

// finishStep completes the step and reports whether a request crashed the group.
// Running and queued requests fail when a member is no longer ready.
func (eng *engine) finishStep(pln stepPlan, slow float64, err error) bool {
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	if eng.generation != pln.generation {
		return false
	}
	eng.remoteSlowFactor = slow
	if err != nil || !eng.localMembersReady(pln.ord) {
		eng.breakJobs()
		eng.reason = "member lost"
		eng.recordReport()
		return false
	}
	eng.cancelLocked((*job).callerGone)
	if eng.anyCrashMarker() {
		for _, local := range eng.localMembers(pln.ord) {
			local.crash()
		}
		return true
	}
	for _, local := range eng.localMembers(pln.ord) {
		local.addBusyTime(pln.duration)
	}
	eng.emitTokens(pln.ord)
	return false
}

func (eng *engine) anyCrashMarker() bool {
	for _, jb := range eng.running {
		if jb.hasCrashMarker {
			return true
		}
	}
	return false
}

func (eng *engine) emitTokens(ord order) {
	if eng.sim.aud.memberMissing(ord) {
		eng.cnt.ServedWithMemberMissing++
	}
	kept := eng.running[:0]
	for _, jb := range eng.running {
		jb.prefill -= jb.stepPrefill
		jb.stepPrefill = 0
		if jb.prefill > 0 || !jb.emit() {
			kept = append(kept, jb)
			continue
		}
		eng.cnt.Completed++
	}
	eng.running = kept
}
