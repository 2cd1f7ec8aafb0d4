package linkchecker

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/registrar"
)

const (
	// sampleSize is the number of servers that are probed, and minSample the number below which their silence proves nothing: they may all have failed.
	sampleSize = 5
	minSample  = 3
	// probeTimeout bounds one probe: an answer takes two round trips of at most 3 ms.
	probeTimeout = 50 * time.Millisecond
	// overrunFactor limits the duration of a failed check to a multiple of its time-outs; beyond it this entry itself is too slow to judge.
	overrunFactor = 2
	// answerTTL is how long an answer on a new connection proves that the links work.
	answerTTL = 30 * time.Millisecond
	// checkTTL is how long the result of a check holds, so that many failures at once lead to one check.
	checkTTL = 100 * time.Millisecond
	// recheckInterval is the mean time between two checks while the links are lost.
	recheckInterval = 250 * time.Millisecond
)

// Options configures a Checker. Sample returns up to a number of random servers of a service, or of any if it is empty, that should answer, Probe fails if a server does not answer, OthersReach reports whether another entry reaches a service, and OnChange is called with the services of which no server answers when they change.
type Options struct {
	Sample      func(service string, num int) []registrar.Server
	Probe       func(ctx context.Context, ser registrar.Server) error
	OthersReach func(service string) bool
	OnChange    func(silent []string)
	Clock       clockwork.Clock
	Logger      *logrus.Entry
}

// Checker holds the state of the links to each service; it is safe for concurrent use.
type Checker struct {
	opt   Options
	mux   sync.Mutex
	links map[string]*link
}

// New returns a checker whose links work.
func New(opt Options) *Checker {
	return &Checker{opt: opt, links: map[string]*link{}}
}

// link returns the state of a service; the caller holds the lock.
func (chk *Checker) link(service string) *link {
	lin := chk.links[service]
	if lin == nil {
		lin = &link{lost: make(chan struct{})}
		chk.links[service] = lin
	}
	return lin
}

// RecordAnswer records that a server of a service has answered on a new connection.
func (chk *Checker) RecordAnswer(service string) {
	chk.mux.Lock()
	defer chk.mux.Unlock()
	chk.link(service).lastAnswer = chk.opt.Clock.Now()
}

// Silent returns the services of which no server answers this entry, be it that others reach them or not, in order.
func (chk *Checker) Silent() []string {
	chk.mux.Lock()
	defer chk.mux.Unlock()
	return chk.silent()
}

func (chk *Checker) silent() []string {
	var out []string
	for service, lin := range chk.links {
		if lin.silent {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// Lost reports whether no server of a service answers this entry while another entry reaches the service.
func (chk *Checker) Lost(service string) bool {
	chk.mux.Lock()
	silent := chk.link(service).silent
	chk.mux.Unlock()
	return silent && chk.opt.OthersReach(service)
}

// AnyLost reports whether the links to any service are lost.
func (chk *Checker) AnyLost() bool {
	return slices.ContainsFunc(chk.Silent(), chk.opt.OthersReach)
}

// LostSignal returns a channel that is closed while the links to a service are lost.
func (chk *Checker) LostSignal(service string) <-chan struct{} {
	chk.mux.Lock()
	defer chk.mux.Unlock()
	return chk.link(service).lost
}

// ConfirmLost finds out, after a server has not answered, whether the links to its service are lost. It returns after at most two time-outs of probes.
func (chk *Checker) ConfirmLost(service string) bool {
	if done := chk.begin(service); done != nil {
		<-done
	}
	return chk.Lost(service)
}

// begin begins a check unless one is under way or a recent result holds; it returns nil if there is nothing to wait for.
func (chk *Checker) begin(service string) <-chan struct{} {
	chk.mux.Lock()
	defer chk.mux.Unlock()
	lin := chk.link(service)
	if lin.checking != nil {
		return lin.checking
	}
	now := chk.opt.Clock.Now()
	if lin.silent || now.Sub(lin.lastAnswer) < answerTTL || now.Sub(lin.checkedAt) < checkTTL {
		return nil
	}
	done := make(chan struct{})
	lin.checking = done
	go func() {
		defer close(done)
		chk.check(service, lin)
	}()
	return done
}

// check probes one server and, if that does not answer, several at once.
func (chk *Checker) check(service string, lin *link) {
	began := chk.opt.Clock.Now()
	list := chk.sample(service)
	silent := false
	if len(list) >= minSample {
		silent = chk.answers(list[:1]) == 0 && chk.answers(list[1:]) == 0
	}
	tooSlow := chk.opt.Clock.Since(began) > overrunFactor*2*probeTimeout
	chk.mux.Lock()
	silent = silent && !tooSlow && lin.lastAnswer.Before(began)
	lin.checking, lin.checkedAt = nil, chk.opt.Clock.Now()
	chk.mux.Unlock()
	chk.set(service, silent)
}

// sample returns servers of a service, or of all services if it has too few.
func (chk *Checker) sample(service string) []registrar.Server {
	list := chk.opt.Sample(service, sampleSize)
	if len(list) < minSample {
		return chk.opt.Sample("", sampleSize)
	}
	return list
}

// answers probes servers at the same time and returns how many answer.
func (chk *Checker) answers(list []registrar.Server) int {
	results := make(chan error, len(list))
	for _, ser := range list {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			results <- chk.opt.Probe(ctx, ser)
		}()
	}
	num := 0
	for range list {
		if <-results == nil {
			num++
		}
	}
	return num
}

// Run checks until the context ends whether lost links work again.
func (chk *Checker) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-chk.opt.Clock.After(recheckInterval/2 + rand.N(recheckInterval)):
		}
		for _, service := range chk.Silent() {
			chk.Recheck(service)
		}
	}
}

// Recheck probes servers of a service whose links are lost; they work again once most of the servers answer.
func (chk *Checker) Recheck(service string) {
	list := chk.sample(service)
	chk.set(service, len(list) >= minSample && 2*chk.answers(list) <= len(list))
}

// set stores whether no server of a service answers, and updates the signal.
func (chk *Checker) set(service string, silent bool) {
	others := chk.opt.OthersReach(service)
	chk.mux.Lock()
	lin := chk.link(service)
	changed := silent != lin.silent
	lin.silent = silent
	lin.signal(silent && others)
	all := chk.silent()
	chk.mux.Unlock()
	if !changed {
		return
	}
	chk.opt.Logger.WithFields(logrus.Fields{"service": service, "silent": silent, "others_reach": others}).Info("links to the backend servers changed")
	chk.opt.OnChange(all)
}
