package detector

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/registrar"
)

const (
	// askWithin bounds one question: an answer takes two round trips of at most 3 ms, and a lost packet is sent again after 200 ms.
	askWithin = 150 * time.Millisecond
	// questions is how many unanswered ones in a row make a doubt; one alone may be a lost packet.
	questions = 2
	// againAfter is the time between two looks at the same unit, and at a server in doubt.
	againAfter = 400 * time.Millisecond
	// doubtFor is how long a doubt lasts unless it is renewed.
	doubtFor = 3 * againAfter
	// doubtMost is for how long a server in doubt is asked; the list drops a dead one within three heartbeats.
	doubtMost = 30 * time.Second
)

// ErrDown says that the VM answers and no process listens at the address.
const ErrDown = errors.ConstError("nothing listens at the address")

// Asker asks a backend server for a sign of life; it fails with ErrDown or another error.
type Asker interface {
	Ask(ctx context.Context, ser registrar.Server) error
}

// Doubts keeps which lives of backend servers do not answer.
type Doubts interface {
	Doubt(lif registrar.Life, until time.Time)
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
	doubted map[registrar.Life]bool
}

// New returns a detector.
func New(opt Options) *Detector {
	return &Detector{opt: opt, looked: map[string]time.Time{}, doubted: map[registrar.Life]bool{}}
}

// Suspect has the servers of a unit asked, unless that was done just now.
func (det *Detector) Suspect(unit string) {
	det.mux.Lock()
	now := det.opt.Clock.Now()
	for name, at := range det.looked {
		if now.Sub(at) >= againAfter {
			delete(det.looked, name)
		}
	}
	_, recent := det.looked[unit]
	det.looked[unit] = now
	det.mux.Unlock()
	if recent {
		return
	}
	for _, ser := range det.opt.Members(unit) {
		go det.look(ser)
	}
}

// SuspectServer has one server asked, because another entry doubts it.
func (det *Detector) SuspectServer(ser registrar.Server) {
	det.mux.Lock()
	known := det.doubted[ser.Life()]
	det.mux.Unlock()
	if !known {
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
	if err == nil || !det.begin(ser, err) {
		return
	}
	defer det.end(ser)
	began := det.opt.Clock.Now()
	for det.opt.Clock.Since(began) < doubtMost {
		det.opt.Doubts.Doubt(ser.Life(), det.opt.Clock.Now().Add(doubtFor))
		det.opt.Clock.Sleep(againAfter)
		if now, listed := det.opt.Doubts.View().Servers[ser.ID]; !listed || now.Started != ser.Started {
			return
		}
		if det.ask(ser) == nil {
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
		ctx, cancel := context.WithTimeout(context.Background(), askWithin)
		err = det.opt.Asker.Ask(ctx, ser)
		cancel()
		if err == nil || errors.Is(err, ErrDown) {
			return err
		}
	}
	return err
}
