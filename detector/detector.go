package detector

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/registrar"
)

const (
	// askWithin bounds one question: an answer takes two round trips of at most 3 ms.
	askWithin = 50 * time.Millisecond
	// questions is how many unanswered ones in a row make a doubt: each is lost with a chance of about a tenth where links lose 2.5% of the packets.
	questions = 3
	// lateFactor times the bound of a question is how late its end may be noticed before this entry itself counts as too slow to judge.
	lateFactor = 2
	// heldUpFor is how long an entry that was too slow to judge asks nobody: the others go on, and their doubts reach it.
	heldUpFor = 4 * againAfter
	// pulse is how long a sign of a unit proves that all its members are well: events are at most about 100 ms apart on a busy unit.
	pulse = 120 * time.Millisecond
	// againAfter is the time between two looks at the same unit, and at a server in doubt.
	againAfter = 400 * time.Millisecond
	// doubtFor is how long a doubt lasts unless it is renewed.
	doubtFor = 3 * againAfter
	// doubtMost is for how long a server in doubt is asked; the list drops a dead one within three heartbeats.
	doubtMost = 30 * time.Second
)

// ErrDown says that the VM answers and no process listens at the address.
const ErrDown = errors.ConstError("nothing listens at the address")

// errHeldUp says that this entry was too slow to tell whether a backend server answers.
const errHeldUp = errors.ConstError("this entry was held up")

// Asker asks a backend server for a sign of life; it fails with ErrDown or another error.
type Asker interface {
	Ask(ctx context.Context, ser registrar.Server) error
}

// Doubts keeps which lives of backend servers do not answer.
type Doubts interface {
	Doubt(lif registrar.Life, until time.Time, certain bool)
	Trust(lif registrar.Life)
	View() *registrar.View
}

// Options are what a detector needs; Members returns the backend servers that a unit rests on.
type Options struct {
	Members func(unit string) []registrar.Server
	Asker   Asker
	Doubts  Doubts
	Clock   clockwork.Clock
	Logger  *logrus.Entry
}

// Detector checks units; it is safe for concurrent use.
type Detector struct {
	opt     Options
	mux     sync.Mutex
	looked  map[string]time.Time
	heard   map[string]time.Time
	told    map[string]time.Time
	doubted map[registrar.Life]bool
	// heldUp is until when this entry asks nobody.
	heldUp time.Time
}

// New returns a detector.
func New(opt Options) *Detector {
	return &Detector{opt: opt, looked: map[string]time.Time{}, heard: map[string]time.Time{}, told: map[string]time.Time{}, doubted: map[registrar.Life]bool{}}
}

// Heard notes that a unit gave this entry a sign.
func (det *Detector) Heard(unit string) {
	det.mux.Lock()
	defer det.mux.Unlock()
	det.heard[unit] = det.opt.Clock.Now()
}

// Told notes that another entry had a sign of a unit not long ago, and that it tells again within some time.
func (det *Detector) Told(unit string, again time.Duration) {
	det.mux.Lock()
	defer det.mux.Unlock()
	det.told[unit] = det.opt.Clock.Now().Add(max(pulse, again))
}

// Alive returns the units that gave this entry a sign not long ago.
func (det *Detector) Alive() map[string]bool {
	det.mux.Lock()
	defer det.mux.Unlock()
	out := map[string]bool{}
	now := det.opt.Clock.Now()
	for unit, at := range det.heard {
		if now.Sub(at) < pulse {
			out[unit] = true
		} else {
			delete(det.heard, unit)
		}
	}
	return out
}

// Suspect has the servers of a unit asked, unless that was done or the unit gave a sign just now.
func (det *Detector) Suspect(unit string) {
	if !det.due(unit) {
		return
	}
	for _, ser := range det.opt.Members(unit) {
		go det.look(ser)
	}
}

func (det *Detector) due(unit string) bool {
	det.mux.Lock()
	defer det.mux.Unlock()
	now := det.opt.Clock.Now()
	maps.DeleteFunc(det.looked, func(_ string, at time.Time) bool { return now.Sub(at) >= againAfter })
	maps.DeleteFunc(det.told, func(_ string, until time.Time) bool { return !now.Before(until) })
	if now.Before(det.heldUp) || now.Sub(det.heard[unit]) < pulse {
		return false
	}
	if _, told := det.told[unit]; told {
		return false
	}
	if _, recent := det.looked[unit]; recent {
		return false
	}
	det.looked[unit] = now
	return true
}

// SuspectServer has one server asked, because another entry doubts it.
func (det *Detector) SuspectServer(ser registrar.Server) {
	det.mux.Lock()
	skip := det.doubted[ser.Life()] || det.opt.Clock.Now().Before(det.heldUp)
	det.mux.Unlock()
	if !skip {
		go det.look(ser)
	}
}

// Doubted returns the lives in doubt.
func (det *Detector) Doubted() []registrar.Life {
	det.mux.Lock()
	defer det.mux.Unlock()
	out := make([]registrar.Life, 0, len(det.doubted))
	for lif := range det.doubted {
		out = append(out, lif)
	}
	return out
}

// look asks a server, and once it is in doubt goes on asking until it answers or leaves the list.
func (det *Detector) look(ser registrar.Server) {
	err := det.ask(ser)
	if err == nil || errors.Is(err, errHeldUp) || !det.begin(ser, err) {
		return
	}
	defer det.end(ser)
	began := det.opt.Clock.Now()
	for det.opt.Clock.Since(began) < doubtMost {
		det.opt.Doubts.Doubt(ser.Life(), det.opt.Clock.Now().Add(doubtFor), errors.Is(err, ErrDown))
		det.opt.Clock.Sleep(againAfter)
		if now, listed := det.opt.Doubts.View().Servers[ser.ID]; !listed || now.Started != ser.Started {
			return
		}
		if err = det.ask(ser); err == nil {
			det.opt.Doubts.Trust(ser.Life())
			return
		}
	}
}

func (det *Detector) begin(ser registrar.Server, err error) bool {
	det.mux.Lock()
	defer det.mux.Unlock()
	if det.doubted[ser.Life()] {
		return false
	}
	det.doubted[ser.Life()] = true
	det.opt.Logger.WithError(err).WithFields(logrus.Fields{"server": ser.ID, "address": ser.Address, "group": ser.Group.Name}).Info("backend server does not answer")
	return true
}

func (det *Detector) end(ser registrar.Server) {
	det.mux.Lock()
	defer det.mux.Unlock()
	delete(det.doubted, ser.Life())
	det.opt.Logger.WithField("server", ser.ID).Info("doubt about backend server ended")
}

func (det *Detector) ask(ser registrar.Server) error {
	var err error
	for range questions {
		began := det.opt.Clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), askWithin)
		err = det.opt.Asker.Ask(ctx, ser)
		cancel()
		if err == nil || errors.Is(err, ErrDown) {
			return err
		}
		if det.opt.Clock.Since(began) > lateFactor*askWithin {
			det.holdUp()
			return errHeldUp
		}
	}
	return err
}

func (det *Detector) holdUp() {
	det.mux.Lock()
	defer det.mux.Unlock()
	now := det.opt.Clock.Now()
	if !now.Before(det.heldUp) {
		det.opt.Logger.WithField("pause_ms", heldUpFor.Milliseconds()).Info("entry held up, health checks paused")
	}
	det.heldUp = now.Add(heldUpFor)
}
