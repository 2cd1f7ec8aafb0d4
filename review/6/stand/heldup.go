package main

import (
	"context"
	"time"
)

const (
	// workerCut is how long the entries are cut off from one worker.
	workerCut = 9 * time.Second
	// drainAfter is when the worker begins to leave, after the end of the cut.
	drainAfter = time.Second
	// lingerHeldUp is how long it goes on serving then.
	lingerHeldUp = 7 * time.Second
)

// playHeldUp cuts all entries off from one worker, which leaves after the cut. The rule is broken by each request that reaches the worker later than drainTime after the store's acknowledgement, and later than stableTime after the end of the cut.
func playHeldUp(ctx context.Context, sys *system, trouble bool) (int, error) {
	cli := newClients(ctx, sys, 10)
	if !wait(ctx, 4*time.Second) {
		return 0, ctx.Err()
	}
	leaving := sys.workers[0]
	if trouble {
		sys.rec.add("the entries are cut off from %s", leaving.id)
		sys.links[leaving.id].setCut(true)
	}
	if !wait(ctx, workerCut) {
		return 0, ctx.Err()
	}
	if trouble {
		sys.links[leaving.id].setCut(false)
	}
	healed := time.Now()
	sys.rec.addAt(healed, "the entries reach %s", leaving.id)
	if !wait(ctx, drainAfter) {
		return 0, ctx.Err()
	}
	left := leaving.drain()
	if !wait(ctx, lingerHeldUp) {
		return 0, ctx.Err()
	}
	num, served := cli.stop()
	sys.rec.add("%d requests sent, %d answered with 200", num, served)
	from := left.Add(drainTime)
	if held := healed.Add(stableTime); held.After(from) {
		from = held
	}
	broken, lateAfterEnd := 0, 0
	for _, arr := range leaving.arrivedAfter(from) {
		one := cli.of(arr.id)
		broken++
		if arr.at.Sub(one.ended) > 500*time.Millisecond {
			lateAfterEnd++
		}
		sys.rec.addAt(arr.at, "BROKEN DRAIN: %s from %s reached %s %d ms after the acknowledgement, %d ms after its client sent it and %d ms after that got %d or left",
			arr.id, sys.nameOf(arr.from), leaving.id, arr.at.Sub(left).Milliseconds(), arr.at.Sub(one.at).Milliseconds(), arr.at.Sub(one.ended).Milliseconds(), one.status)
	}
	sys.rec.add("%d of them reached the worker over half a second after their clients had an answer or had left", lateAfterEnd)
	return broken, nil
}
