package enginefaker

import (
	"cmp"
	"context"
	"slices"
	"strings"
)

// job is one chat request on the rank 0 engine of a group.
type job struct {
	// caller is the request context, which ends when the caller disconnects.
	caller   context.Context
	id       string
	priority int
	// coldLimit is the caller's bound on concurrent requests while the engine is cold, 0 if there is none.
	coldLimit      int
	hasCrashMarker bool
	prefixKey      string
	promptTokens   int
	tokens         []string
	// nextToken is the index of the next token, prefill the number of prompt tokens left to process, and stepPrefill how many of them the current step processes.
	nextToken   int
	prefill     int
	stepPrefill int
	broken      bool
	out         chan int
}

func newJob(caller context.Context, id string, priority, resume int, msgs []ChatMessage, maxTokens int, marker string) *job {
	prompt := Prompt(msgs)
	toks := AnswerTokens(msgs, maxTokens)
	next := min(max(resume, 0), len(toks))
	return &job{
		caller: caller, id: id, priority: priority, hasCrashMarker: strings.Contains(prompt, marker), prefixKey: prefixKey(prompt),
		promptTokens: promptTokens(prompt), tokens: toks, nextToken: next, out: make(chan int, len(toks)-next),
	}
}

func (jb *job) callerGone() bool {
	return jb.caller.Err() != nil
}

func (jb *job) done() bool {
	return jb.nextToken >= len(jb.tokens)
}

// fail ends the job before its last token is sent.
func (jb *job) fail() {
	jb.broken = true
	close(jb.out)
}

// emit sends the index of the next token to out and reports whether it was the last.
func (jb *job) emit() bool {
	if !jb.done() {
		jb.out <- jb.nextToken
		jb.nextToken++
	}
	if !jb.done() {
		return false
	}
	close(jb.out)
	return true
}

func (eng *engine) jobs() []*job {
	return slices.Concat(eng.running, eng.queue)
}

func (eng *engine) breakJobs() {
	for _, jb := range eng.jobs() {
		jb.fail()
		eng.cnt.Broken++
	}
	eng.running, eng.queue = nil, nil
}

// enqueue inserts the job after all jobs of the same or a higher priority.
func (eng *engine) enqueue(jb *job) {
	eng.queue = append(eng.queue, jb)
	slices.SortStableFunc(eng.queue, func(one, two *job) int { return cmp.Compare(two.priority, one.priority) })
}

// cancel cancels the matching requests and reports whether there were any.
func (eng *engine) cancel(matches func(*job) bool) bool {
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	return eng.cancelLocked(matches)
}

func (eng *engine) cancelLocked(matches func(*job) bool) bool {
	known := false
	for _, jb := range eng.jobs() {
		if matches(jb) {
			known = true
			jb.fail()
			eng.cnt.Cancelled++
		}
	}
	eng.running = slices.DeleteFunc(eng.running, matches)
	eng.queue = slices.DeleteFunc(eng.queue, matches)
	eng.recordReport()
	return known
}
