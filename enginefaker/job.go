package enginefaker

import (
	"cmp"
	"context"
	"slices"
	"strings"
)

// job is one request on rank 0.
type job struct {
	// caller ends when the caller goes away.
	caller   context.Context
	id       string
	priority int
	// coldLimit is how many requests the caller lets a cold engine run at once, 0 for any number.
	coldLimit int
	marked    bool
	key       string
	prompt    int
	tokens    []string
	// next is the index of the next token, prefill what is left of the prompt, and chunk what the current step does of it.
	next    int
	prefill int
	chunk   int
	broken  bool
	out     chan int
}

func newJob(caller context.Context, id string, priority, resume int, msgs []Message, maxTokens int, marker string) *job {
	prompt := Prompt(msgs)
	toks := Answer(msgs, maxTokens)
	next := min(max(resume, 0), len(toks))
	return &job{
		caller: caller, id: id, priority: priority, marked: strings.Contains(prompt, marker), key: prefixKey(prompt),
		prompt: promptTokens(prompt), tokens: toks, next: next, out: make(chan int, len(toks)-next),
	}
}

func (jb *job) gone() bool {
	return jb.caller.Err() != nil
}

func (jb *job) done() bool {
	return jb.next >= len(jb.tokens)
}

// fail ends the job before its last token.
func (jb *job) fail() {
	jb.broken = true
	close(jb.out)
}

// emit hands the next token out and reports whether it was the last.
func (jb *job) emit() bool {
	if !jb.done() {
		jb.out <- jb.next
		jb.next++
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

// enqueue puts the job behind those of its priority and above.
func (eng *engine) enqueue(jb *job) {
	eng.queue = append(eng.queue, jb)
	slices.SortStableFunc(eng.queue, func(one, two *job) int { return cmp.Compare(two.priority, one.priority) })
}

// cancel ends the requests that match and reports whether there were any.
func (eng *engine) cancel(matches func(*job) bool) bool {
	eng.fkr.mut.Lock()
	defer eng.fkr.mut.Unlock()
	return eng.drop(matches)
}

func (eng *engine) drop(matches func(*job) bool) bool {
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
	eng.note()
	return known
}
