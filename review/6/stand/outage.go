package main

import (
	"context"
	"time"
)

const (
	outageCycles = 9
	// storeCut is how long one entry is cut off from the store.
	storeCut = 4 * time.Second
	// lingerTime is how long a worker goes on serving after the store has accepted that it leaves.
	lingerTime = 3500 * time.Millisecond
)

// playOutage cuts one entry that reads the store off from it. As that entry reads the list of workers again, a worker leaves. The rule is broken by each request that another entry sends to the worker later than drainTime after the store's acknowledgement.
func playOutage(ctx context.Context, sys *system, trouble bool) (int, error) {
	cli := newClients(ctx, sys, 8)
	if !wait(ctx, 4*time.Second) {
		return 0, ctx.Err()
	}
	broken := 0
	for num := range outageCycles {
		num, err := outageCycle(ctx, sys, cli, sys.workers[num], trouble)
		if err != nil {
			return 0, err
		}
		broken += num
	}
	num, served := cli.stop()
	sys.rec.add("%d requests sent, %d answered with 200", num, served)
	return broken, nil
}

func outageCycle(ctx context.Context, sys *system, cli *clients, leaving *worker, trouble bool) (int, error) {
	if err := sys.addWorker(ctx, sys.number); err != nil {
		return 0, err
	}
	reader := sys.reader(ctx)
	if trouble {
		sys.rec.add("%s is cut off from the store", reader.name)
		reader.store.setCut(true)
	}
	if !wait(ctx, storeCut) {
		return 0, ctx.Err()
	}
	if trouble {
		reader.store.setCut(false)
		sys.rec.add("%s reaches the store again", reader.name)
		if err := reader.store.awaitRequest(ctx, "topic=keyed.servers"); err != nil {
			return 0, err
		}
		sys.rec.add("%s reads the list of workers again", reader.name)
	}
	// The store has been without disruption all the while; the entry's own link is the only one that was cut.
	left := leaving.leave()
	if !wait(ctx, lingerTime) {
		return 0, ctx.Err()
	}
	broken := 0
	for _, arr := range leaving.arrivedAfter(left.Add(drainTime)) {
		one := cli.of(arr.id)
		// The entry that was cut off is not in touch until stableTime after the end of the cut.
		if trouble && arr.from == reader.ip {
			continue
		}
		broken++
		sys.rec.addAt(arr.at, "BROKEN DRAIN: %s from %s reached %s %d ms after the acknowledgement, its client sent it %d ms after it",
			arr.id, sys.nameOf(arr.from), leaving.id, arr.at.Sub(left).Milliseconds(), one.at.Sub(left).Milliseconds())
	}
	leaving.close()
	return broken, nil
}

// reader returns an entry that reads the store for the others: the one that has sent it most lately.
func (sys *system) reader(ctx context.Context) *entry {
	before := make([]int, len(sys.entries))
	for num, ent := range sys.entries {
		before[num] = ent.store.sent()
	}
	wait(ctx, time.Second)
	most, out := -1, sys.entries[0]
	for num, ent := range sys.entries {
		if sent := ent.store.sent() - before[num]; sent > most {
			most, out = sent, ent
		}
	}
	return out
}

// wait returns false if the context ends first.
func wait(ctx context.Context, dur time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(dur):
		return true
	}
}
