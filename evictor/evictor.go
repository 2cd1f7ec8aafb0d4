package evictor

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/freshnesschecker"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	maxWitnesses  = 3
	appendTimeout = 5 * time.Second
)

// Peers reports which peers this entry watches and when it last heard from each.
type Peers interface {
	Self() string
	PullPeers() []string
	LastHeard(inc string) time.Time
}

// Witness asks another entry whether it can reach a member.
type Witness interface {
	Reaches(ctx context.Context, witness, target reducer.Member) bool
}

// Appender appends records to the log.
type Appender interface {
	Append(ctx context.Context, rec recorder.Record) (follower.Verdict, error)
}

// Options configures an evictor. A peer that is silent for SuspectAfter is suspected.
type Options struct {
	View         func() *reducer.View
	Freshness    func() freshnesschecker.Freshness
	Peers        Peers
	Witness      Witness
	Appender     Appender
	Clock        clockwork.Clock
	Logger       logrus.FieldLogger
	SuspectAfter time.Duration
}

// Evictor watches the peers of this entry.
type Evictor struct {
	opt          Options
	watchedSince map[string]time.Time
}

// New returns an evictor that watches no peer yet.
func New(opt Options) *Evictor {
	return &Evictor{opt: opt, watchedSince: map[string]time.Time{}}
}

// Run checks the peers until the context ends.
func (evi *Evictor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		evi.Check(ctx)
		select {
		case <-ctx.Done():
		case <-evi.opt.Clock.After(evi.opt.SuspectAfter / 4):
		}
	}
}

// Check proposes the eviction of each watched peer that neither this entry nor a witness can reach.
// An entry that is itself cut off from the log or from most peers proposes nothing.
func (evi *Evictor) Check(ctx context.Context) {
	if !evi.opt.Freshness().MayPublish {
		clear(evi.watchedSince)
		return
	}
	vie := evi.opt.View()
	now := evi.opt.Clock.Now()
	for _, inc := range evi.opt.Peers.PullPeers() {
		mem, live := vie.Members[inc]
		if !live {
			continue
		}
		if evi.isSilent(inc, now) && !evi.reachedByWitness(ctx, vie, mem) {
			evi.evict(ctx, mem)
		}
	}
}

func (evi *Evictor) isSilent(inc string, now time.Time) bool {
	first, known := evi.watchedSince[inc]
	if !known {
		evi.watchedSince[inc] = now
		return false
	}
	last := evi.opt.Peers.LastHeard(inc)
	if last.Before(first) {
		last = first
	}
	return now.Sub(last) > evi.opt.SuspectAfter
}

func (evi *Evictor) reachedByWitness(ctx context.Context, vie *reducer.View, target reducer.Member) bool {
	asked := 0
	for _, inc := range slices.Sorted(maps.Keys(vie.Members)) {
		mem := vie.Members[inc]
		if inc == target.Incarnation || inc == evi.opt.Peers.Self() || asked == maxWitnesses {
			continue
		}
		asked++
		if evi.opt.Witness.Reaches(ctx, mem, target) {
			return true
		}
	}
	return false
}

func (evi *Evictor) evict(ctx context.Context, mem reducer.Member) {
	log := evi.opt.Logger.WithFields(logrus.Fields{"entry": mem.Name, "incarnation": mem.Incarnation})
	rec, err := recorder.New(evi.opt.Clock.Now(), recorder.KindEvict, evi.opt.Peers.Self(), recorder.Departure{Incarnation: mem.Incarnation, Reason: "silent"})
	if err != nil {
		log.WithError(err).Error("could not encode the eviction record")
		return
	}
	ctx, stop := context.WithTimeout(ctx, appendTimeout)
	defer stop()
	jud, err := evi.opt.Appender.Append(ctx, rec)
	if err != nil {
		log.WithError(err).Warn("could not append the eviction record, or its outcome is unknown")
		return
	}
	log.WithField("reason", jud.Reason).Warn("entry evicted")
	delete(evi.watchedSince, mem.Incarnation)
}
