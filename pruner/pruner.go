package pruner

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/advertiser"
)

const (
	// DefaultSilentFor is how long an entry must be silent before its registration is withdrawn; regions lose each other for an hour now and then.
	DefaultSilentFor = 3 * time.Hour
	// minHeardShare is the share of the registered entries that a leader must hear to take others for gone.
	minHeardShare = 0.5
	// interval is the time between two checks, each of which withdraws one registration at most.
	interval = 30 * time.Second
	// withdrawTimeout limits one withdrawal.
	withdrawTimeout = 2 * time.Second
)

// Options configure a Pruner: Entries returns the other registered entries, Heard whether one was heard recently, IsLeader whether this entry leads, and Withdraw removes a registration unless entries have registered since it was read.
type Options struct {
	Entries  func() []advertiser.Entry
	Heard    func(name string) bool
	IsLeader func() bool
	Withdraw func(ctx context.Context, name string) error
	// SilentFor replaces DefaultSilentFor if it is set.
	SilentFor time.Duration
	Clock     clockwork.Clock
	Logger    *logrus.Entry
}

// silence is since when one process of an entry has not been heard.
type silence struct {
	incarnation uint64
	since       time.Time
}

// Pruner watches the registered entries; it is not safe for concurrent use.
type Pruner struct {
	opt    Options
	silent map[string]silence
	// withdrawn has the incarnations that were withdrawn: one that registers again runs, though this entry does not hear it.
	withdrawn map[string]uint64
}

// New returns a pruner with the given options.
func New(opt Options) *Pruner {
	if opt.SilentFor <= 0 {
		opt.SilentFor = DefaultSilentFor
	}
	return &Pruner{opt: opt, silent: map[string]silence{}, withdrawn: map[string]uint64{}}
}

// Run checks the registrations until the context ends.
func (pru *Pruner) Run(ctx context.Context) {
	tic := pru.opt.Clock.NewTicker(interval)
	defer tic.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tic.Chan():
		}
		pru.Check(ctx)
	}
}

// Check withdraws the registration of an entry that has been silent for long, if this entry leads.
func (pru *Pruner) Check(ctx context.Context) {
	entries := pru.opt.Entries()
	pru.update(entries)
	heard := len(entries) - len(pru.silent)
	if !pru.opt.IsLeader() || float64(heard) < minHeardShare*float64(len(entries)) {
		return
	}
	for _, ent := range entries {
		sil, silent := pru.silent[ent.Name]
		if silent && pru.withdrawn[ent.Name] != ent.Incarnation && pru.opt.Clock.Since(sil.since) >= pru.opt.SilentFor {
			pru.withdraw(ctx, ent.Name, sil)
			return
		}
	}
}

// update records which entries are silent, and forgets those that were heard, have started again or are no longer registered.
func (pru *Pruner) update(entries []advertiser.Entry) {
	now := pru.opt.Clock.Now()
	next := make(map[string]silence, len(pru.silent))
	for _, ent := range entries {
		if pru.opt.Heard(ent.Name) {
			continue
		}
		sil, known := pru.silent[ent.Name]
		if !known || sil.incarnation != ent.Incarnation {
			sil = silence{incarnation: ent.Incarnation, since: now}
		}
		next[ent.Name] = sil
	}
	pru.silent = next
}

func (pru *Pruner) withdraw(ctx context.Context, name string, sil silence) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	log := pru.opt.Logger.WithFields(logrus.Fields{"silent_entry": name, "incarnation": sil.incarnation, "silent_for_s": int(pru.opt.Clock.Since(sil.since).Seconds())})
	if err := pru.opt.Withdraw(ctx, name); err != nil {
		log.WithError(err).Info("failed to withdraw the registration of a silent entry, trying again")
		return
	}
	pru.withdrawn[name] = sil.incarnation
	log.Warn("registration of a silent entry withdrawn")
}
