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
	// probeTimeout bounds one probe: an answer takes two round trips of at most 3 ms.
	probeTimeout = 50 * time.Millisecond
	// maxProbes is the number of consecutive failed probes after which a server is suspected: a single probe is lost with a probability of about 0.1 on links that lose 2.5% of the packets.
	maxProbes = 3
	// overrunFactor limits the duration of a failed probe to a multiple of probeTimeout; beyond it this entry itself is too slow to judge the server.
	overrunFactor = 2
	// overloadPause is how long an entry that was too slow to judge sends no probes: the other entries go on, and report the servers that they suspect to it.
	overloadPause = 4 * recheckInterval
	// activityTTL is how long activity of a unit proves that all its members are healthy: a busy unit sends events at most about 100 ms apart.
	activityTTL = 120 * time.Millisecond
	// recheckInterval is the time between two checks of the same unit, and between two checks of a suspected server.
	recheckInterval = 400 * time.Millisecond
	// remoteRecheckInterval is the time between two checks of the same server because other entries suspect it. Every heartbeat of each of them names the server.
	remoteRecheckInterval = 4 * recheckInterval
	// suspicionTTL is how long a suspicion lasts unless it is renewed.
	suspicionTTL = 3 * recheckInterval
	// maxSuspicion is how long a suspected server is probed; the server list drops a dead server within three heartbeats.
	maxSuspicion = 30 * time.Second
)

// ErrDown means that the VM answers, but no process listens at the address of the backend server.
const ErrDown = errors.ConstError("nothing listens at the address")

// errOverloaded means that this entry was too slow to tell whether a backend server answers.
const errOverloaded = errors.ConstError("this entry was too slow to judge the probe")

// Prober probes a backend server; it returns ErrDown when the VM answers that nothing listens, or another error when there was no answer.
type Prober interface {
	Probe(ctx context.Context, ser registrar.Server) error
}

// Links says which services this entry reaches at all.
type Links interface {
	// Lost reports whether no backend server of a service answers this entry while another entry reaches the service.
	Lost(service string) bool
	// ConfirmLost finds that out after a backend server of the service has not answered.
	ConfirmLost(service string) bool
}

// Registrar records which instances of backend servers this entry suspects, and holds the server list.
type Registrar interface {
	Suspect(ins registrar.Instance, until time.Time, certain bool)
	ClearSuspicion(ins registrar.Instance)
	View() *registrar.View
}

// Options configures a Detector; Members returns the backend servers that a unit depends on.
type Options struct {
	Members   func(unit string) []registrar.Server
	Prober    Prober
	Links     Links
	Registrar Registrar
	Clock     clockwork.Clock
	Logger    *logrus.Entry
}

// Detector checks the backend servers of units; it is safe for concurrent use.
type Detector struct {
	opt                 Options
	mux                 sync.Mutex
	checkedAt           map[string]time.Time
	lastActivity        map[string]time.Time
	remoteActivityUntil map[string]time.Time
	// suspected holds when the suspicion of each suspected server began.
	suspected map[registrar.Instance]time.Time
	// remotelyCheckedAt holds when servers were last checked because other entries suspect them.
	remotelyCheckedAt map[registrar.Instance]time.Time
	// pausedUntil is the time until which this entry sends no probes, because it was too slow.
	pausedUntil time.Time
}

// New returns a Detector.
func New(opt Options) *Detector {
	return &Detector{opt: opt, checkedAt: map[string]time.Time{}, lastActivity: map[string]time.Time{}, remoteActivityUntil: map[string]time.Time{}, suspected: map[registrar.Instance]time.Time{}, remotelyCheckedAt: map[registrar.Instance]time.Time{}}
}

// RecordActivity records activity of a unit that this entry observed itself.
func (det *Detector) RecordActivity(unit string) {
	det.mux.Lock()
	defer det.mux.Unlock()
	det.lastActivity[unit] = det.opt.Clock.Now()
}

// RecordRemoteActivity records that another entry reported recent activity of a unit; again is the time within which it is due to report the unit again.
func (det *Detector) RecordRemoteActivity(unit string, again time.Duration) {
	det.mux.Lock()
	defer det.mux.Unlock()
	det.remoteActivityUntil[unit] = det.opt.Clock.Now().Add(max(activityTTL, again))
}

// ActiveUnits returns the units whose activity this entry itself observed within activityTTL.
func (det *Detector) ActiveUnits() map[string]bool {
	det.mux.Lock()
	defer det.mux.Unlock()
	out := map[string]bool{}
	now := det.opt.Clock.Now()
	for unit, at := range det.lastActivity {
		if now.Sub(at) < activityTTL {
			out[unit] = true
		} else {
			delete(det.lastActivity, unit)
		}
	}
	return out
}

// CheckUnit probes the servers of a unit in the background, unless the unit was checked or showed activity recently this entry has paused its checks or reaches no server of the service.
func (det *Detector) CheckUnit(unit string) {
	if !det.needsCheck(unit) {
		return
	}
	for _, ser := range det.opt.Members(unit) {
		if !det.opt.Links.Lost(ser.Service) {
			go det.monitorServer(ser)
		}
	}
}

func (det *Detector) needsCheck(unit string) bool {
	det.mux.Lock()
	defer det.mux.Unlock()
	now := det.opt.Clock.Now()
	maps.DeleteFunc(det.checkedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= recheckInterval })
	maps.DeleteFunc(det.remoteActivityUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	if now.Before(det.pausedUntil) || now.Sub(det.lastActivity[unit]) < activityTTL {
		return false
	}
	if _, active := det.remoteActivityUntil[unit]; active {
		return false
	}
	if _, recent := det.checkedAt[unit]; recent {
		return false
	}
	det.checkedAt[unit] = now
	return true
}

// CheckServer probes a server that another entry suspects, in the background, unless this entry suspects it already, has checked it for the same reason recently, has paused its checks or reaches no server of the service.
func (det *Detector) CheckServer(ser registrar.Server) {
	if !det.opt.Links.Lost(ser.Service) && det.needsRemoteCheck(ser.Instance()) {
		go det.monitorServer(ser)
	}
}

func (det *Detector) needsRemoteCheck(ins registrar.Instance) bool {
	det.mux.Lock()
	defer det.mux.Unlock()
	now := det.opt.Clock.Now()
	maps.DeleteFunc(det.remotelyCheckedAt, func(_ registrar.Instance, at time.Time) bool { return now.Sub(at) >= remoteRecheckInterval })
	_, suspected := det.suspected[ins]
	if _, recent := det.remotelyCheckedAt[ins]; recent || suspected || now.Before(det.pausedUntil) {
		return false
	}
	det.remotelyCheckedAt[ins] = now
	return true
}

// Suspected returns the server instances that this entry suspects, and those of them whose suspicion began within a duration.
func (det *Detector) Suspected(within time.Duration) (all, recent []registrar.Instance) {
	det.mux.Lock()
	defer det.mux.Unlock()
	now := det.opt.Clock.Now()
	for ins, since := range det.suspected {
		all = append(all, ins)
		if now.Sub(since) < within {
			recent = append(recent, ins)
		}
	}
	return all, recent
}

// monitorServer probes a server, which is not suspected while this entry reaches no server of its service. Once it suspects the server, it keeps probing until the server answers, leaves the list or maxSuspicion has passed. The suspicion ends while this entry is too slow to judge.
func (det *Detector) monitorServer(ser registrar.Server) {
	err := det.probe(ser)
	if err == nil || errors.Is(err, errOverloaded) || det.opt.Links.ConfirmLost(ser.Service) || !det.beginSuspicion(ser, err) {
		return
	}
	defer det.endSuspicion(ser)
	began := det.opt.Clock.Now()
	for det.opt.Clock.Since(began) < maxSuspicion {
		if errors.Is(err, errOverloaded) {
			det.opt.Registrar.ClearSuspicion(ser.Instance())
		} else {
			det.opt.Registrar.Suspect(ser.Instance(), det.opt.Clock.Now().Add(suspicionTTL), errors.Is(err, ErrDown))
		}
		det.opt.Clock.Sleep(recheckInterval)
		if now, listed := det.opt.Registrar.View().Servers[ser.ID]; !listed || now.Started != ser.Started {
			return
		}
		if err = det.probe(ser); err == nil {
			det.opt.Registrar.ClearSuspicion(ser.Instance())
			return
		}
	}
}

func (det *Detector) beginSuspicion(ser registrar.Server, err error) bool {
	det.mux.Lock()
	defer det.mux.Unlock()
	if _, suspected := det.suspected[ser.Instance()]; suspected {
		return false
	}
	det.suspected[ser.Instance()] = det.opt.Clock.Now()
	det.opt.Logger.WithError(err).WithFields(logrus.Fields{"server": ser.ID, "address": ser.Address, "group": ser.Group.Name}).Info("backend server does not answer")
	return true
}

func (det *Detector) endSuspicion(ser registrar.Server) {
	det.mux.Lock()
	defer det.mux.Unlock()
	delete(det.suspected, ser.Instance())
	det.opt.Logger.WithField("server", ser.ID).Info("suspicion of backend server ended")
}

func (det *Detector) probe(ser registrar.Server) error {
	var err error
	for range maxProbes {
		began := det.opt.Clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err = det.opt.Prober.Probe(ctx, ser)
		cancel()
		if err == nil || errors.Is(err, ErrDown) {
			return err
		}
		if det.opt.Clock.Since(began) > overrunFactor*probeTimeout {
			det.pauseChecks()
			return errOverloaded
		}
	}
	return err
}

func (det *Detector) pauseChecks() {
	det.mux.Lock()
	defer det.mux.Unlock()
	now := det.opt.Clock.Now()
	if !now.Before(det.pausedUntil) {
		det.opt.Logger.WithField("pause_ms", overloadPause.Milliseconds()).Info("entry too slow to judge backend servers; health checks paused")
	}
	det.pausedUntil = now.Add(overloadPause)
}
