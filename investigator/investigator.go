package investigator

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/quarantiner"
)

const (
	// confirmAlive is the number of checks in a row that a unit must pass before an attempt that broke off counts as no crash.
	confirmAlive = 2
	// crashTTL is how long further attempts that broke off at a crashed unit belong to the same crash.
	crashTTL = 10 * time.Second
	// proofDelayPerPeer is the time by which proofs are spread for each other entry, so that few of many entries send the same one.
	proofDelayPerPeer = time.Millisecond
	// maxPending bounds the messages that wait to be sent, maxDue those that are sent at a time.
	maxPending = 256
	maxDue     = 16
)

var (
	// confirmDelays are the pauses before the checks of a unit at which an attempt broke off.
	confirmDelays = []time.Duration{30 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond}
	// sendDelays are when evidence is sent, since datagrams get lost.
	sendDelays = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
)

// Finding is what a check says about a unit.
type Finding int

// A unit is Alive if the same instance answers, and Crashed if nothing listens at its address or another instance does; otherwise it is Unclear.
const (
	Unclear Finding = iota
	Alive
	Crashed
)

// Options configures an Investigator: Check checks a unit, Peers returns the number of other entries, and Random numbers in [0, 1), by default from math/rand.
type Options struct {
	Quarantine *quarantiner.Quarantiner
	Check      func(ctx context.Context, uni dispatcher.Unit) Finding
	Peers      func() int
	Random     func() float64
	Clock      clockwork.Clock
	Logger     logrus.FieldLogger
}

// Investigator collects evidence about crashes for a Quarantiner; it is safe for concurrent use.
type Investigator struct {
	opt Options
	mux sync.Mutex
	// inquiries holds the units at which attempts broke off, by unit ID.
	inquiries map[string]*inquiry
	pending   []message
}

// inquiry is whether a unit has crashed.
type inquiry struct {
	began    time.Time
	crashed  bool
	subjects []string
}

// message is evidence to send: the subjects of a crash, or, if it names none, the proof that clears a subject of crashes up to a time.
type message struct {
	crashID  string
	at       time.Time
	subjects []string
	due      time.Time
	sent     int
}

// New returns an Investigator.
func New(opt Options) *Investigator {
	if opt.Random == nil {
		opt.Random = rand.Float64
	}
	return &Investigator{opt: opt, inquiries: map[string]*inquiry{}}
}

// Check returns the verdict on a request by its subjects, and whether it is refused; a verdict without refusal lets the request run as a trial.
func (inv *Investigator) Check(subs []string) (quarantiner.Verdict, bool) {
	return inv.opt.Quarantine.Check(subs)
}

// Implicated reports whether any of the subjects may be the cause of the crash of another unit than the given one.
func (inv *Investigator) Implicated(subs []string, unit string) bool {
	return inv.opt.Quarantine.Implicated(subs, unit)
}

// RecordSound records that a request proved its subjects sound, which clears them of the crashes up to a time.
func (inv *Investigator) RecordSound(subs []string, at time.Time) {
	cleared := inv.opt.Quarantine.Uncleared(subs, at)
	inv.opt.Quarantine.RecordSound(subs, at)
	if len(cleared) == 0 {
		return
	}
	inv.mux.Lock()
	defer inv.mux.Unlock()
	delay := time.Duration(inv.opt.Random() * float64(proofDelayPerPeer) * float64(inv.opt.Peers()))
	for sub, last := range cleared {
		inv.enqueue(message{at: last, subjects: []string{sub}, due: inv.opt.Clock.Now().Add(delay)})
	}
}

// RecordBreak records that an attempt broke off at a unit before the request proved sound there, and finds out in the background whether the unit crashed.
func (inv *Investigator) RecordBreak(uni dispatcher.Unit, subs []string) {
	inv.mux.Lock()
	defer inv.mux.Unlock()
	now := inv.opt.Clock.Now()
	for id, inq := range inv.inquiries {
		if now.Sub(inq.began) >= crashTTL {
			delete(inv.inquiries, id)
		}
	}
	inq := inv.inquiries[uni.ID]
	switch {
	case inq == nil:
		inq = &inquiry{began: now, subjects: slices.Clone(subs)}
		inv.inquiries[uni.ID] = inq
		go inv.inquire(uni, inq)
	case inq.crashed:
		inv.recordCrash(uni.ID, subs, inq.began)
	default:
		inq.subjects = append(inq.subjects, subs...)
	}
}

// inquire checks a unit until it is clear whether it crashed.
func (inv *Investigator) inquire(uni dispatcher.Unit, inq *inquiry) {
	alive := 0
	for _, delay := range confirmDelays {
		inv.opt.Clock.Sleep(delay)
		switch inv.opt.Check(context.Background(), uni) {
		case Crashed:
			inv.close(uni.ID, inq, true)
			return
		case Alive:
			alive++
		}
		if alive == confirmAlive {
			break
		}
	}
	inv.close(uni.ID, inq, false)
}

func (inv *Investigator) close(unit string, inq *inquiry, crashed bool) {
	inv.mux.Lock()
	defer inv.mux.Unlock()
	if !crashed {
		delete(inv.inquiries, unit)
		return
	}
	inq.crashed = true
	inv.opt.Logger.WithFields(logrus.Fields{"unit": unit, "subjects": len(inq.subjects)}).Info("backend server crashed under requests")
	inv.recordCrash(unit, inq.subjects, inq.began)
}

func (inv *Investigator) recordCrash(unit string, subs []string, at time.Time) {
	subs = slices.Compact(slices.Sorted(slices.Values(subs)))
	inv.opt.Quarantine.RecordSuspects(subs, unit, at)
	inv.enqueue(message{crashID: unit, at: at, subjects: subs, due: inv.opt.Clock.Now()})
}

func (inv *Investigator) enqueue(msg message) {
	if len(inv.pending) >= maxPending {
		inv.pending = inv.pending[1:]
	}
	inv.pending = append(inv.pending, msg)
}

// Due returns the evidence that is to be sent to all other entries now.
func (inv *Investigator) Due() quarantiner.Evidence {
	inv.mux.Lock()
	defer inv.mux.Unlock()
	now := inv.opt.Clock.Now()
	var out quarantiner.Evidence
	proofs, due := map[string]bool{}, 0
	inv.pending = slices.DeleteFunc(inv.pending, func(msg message) bool { return msg.sent == len(sendDelays) })
	for num := range inv.pending {
		msg := &inv.pending[num]
		if now.Before(msg.due) {
			continue
		}
		if due++; due > maxDue {
			break
		}
		if msg.crashID != "" {
			out.Crashes = append(out.Crashes, quarantiner.Crash{ID: msg.crashID, Age: now.Sub(msg.at), Subjects: msg.subjects})
		}
		for _, sub := range msg.subjects {
			proofs[sub] = true
		}
		if msg.sent++; msg.sent < len(sendDelays) {
			msg.due = now.Add(sendDelays[msg.sent] - sendDelays[msg.sent-1])
		}
	}
	out.Proofs = inv.opt.Quarantine.Proofs(slices.Sorted(maps.Keys(proofs)))
	return out
}

// Receive adds the evidence of another entry. Proofs that it makes needless are not sent.
func (inv *Investigator) Receive(evi quarantiner.Evidence) {
	inv.opt.Quarantine.Apply(evi)
	inv.mux.Lock()
	defer inv.mux.Unlock()
	now := inv.opt.Clock.Now()
	clearedAt := map[string]time.Time{}
	for _, pro := range evi.Proofs {
		clearedAt[pro.Subject] = now.Add(-pro.Age)
	}
	inv.pending = slices.DeleteFunc(inv.pending, func(msg message) bool {
		at, cleared := clearedAt[msg.subjects[0]]
		return cleared && msg.crashID == "" && msg.sent == 0 && !msg.at.After(at)
	})
}
