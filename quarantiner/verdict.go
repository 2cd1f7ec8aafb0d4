package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// rule says when a subject is quarantined: after a number of crashes that are a minimum time apart, or, where it applies to requests, after Settings.RequestCrashes.
type rule struct {
	crashes  int
	spacing  time.Duration
	requests bool
}

var (
	// freshRule is for subjects that never proved sound; servers that fail together, and not because of a request, fail at once.
	freshRule = rule{crashes: 3, spacing: 200 * time.Millisecond, requests: true}
	// soundRule is for subjects that did; those in use prove sound again meanwhile.
	soundRule = rule{crashes: 4, spacing: 500 * time.Millisecond}
)

const (
	// soundFor is how long a subject that proved sound counts as one that did.
	soundFor = 10 * time.Minute
	// alikeFrom is the number of crashes from which two subjects that differ in one of them cannot be told apart: evidence may be lost.
	alikeFrom = 8
	// maxPicks bounds the subjects that one evaluation considers.
	maxPicks = 64
	// A quarantine is tried again with one request trialAfter after its last crash, until maxTrials crashes came that late after the first.
	trialAfter = 30 * time.Second
	maxTrials  = 1
	// Requests that cannot be told apart take turns of turnLength, and may begin in the first turnBegin of them: a run of the turn before has ended by then.
	turnLength = 16 * time.Second
	turnBegin  = 8 * time.Second
	// evaluationTTL is how long an evaluation is valid without new evidence.
	evaluationTTL = time.Second
)

// Verdict says that a request must not run: it has all of the subjects, which crash the units that run them, or is one of several requests of which one does.
type Verdict struct {
	Subjects []string
	Crashes  []string
	Until    time.Time
	// lastCrash is the time of the last crash, and trials the number of crashes that came long after the first.
	lastCrash time.Time
	trials    int
	// requests are the requests among the subjects if there are several. They take turns until one has proved sound or has crashed a unit without the others.
	requests []string
}

// Key returns a text that identifies the subjects of a verdict.
func (ver Verdict) Key() string {
	return strings.Join(ver.Subjects, "+")
}

// Check returns the verdict on a request by its subjects; false means that it may run.
func (qua *Quarantiner) Check(subs []string) (Verdict, bool) {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	qua.evaluate()
	var turn Verdict
	for _, sub := range subs {
		for _, ver := range qua.verdicts[sub] {
			switch {
			case len(ver.requests) > 0:
				var refused bool
				if turn, refused = qua.checkTurn(ver, sub); refused {
					return turn, true
				}
			case containsAll(subs, ver.Subjects):
				return ver, !qua.takeTrial(ver)
			}
		}
	}
	return turn, false
}

// checkTurn returns the verdict on one of several requests that cannot be told apart, and whether it is refused until its next turn. All entries agree on the turns but for the time that evidence takes.
func (qua *Quarantiner) checkTurn(ver Verdict, request string) (Verdict, bool) {
	since := max(0, qua.clk.Since(ver.lastCrash))
	num, own := len(ver.requests), slices.Index(ver.requests, request)
	turn := int(since / turnLength)
	// Each further crash passes the turn on.
	wait := (own - (turn+len(ver.Crashes))%num + num) % num
	if wait == 0 && since%turnLength < turnBegin {
		return ver, false
	}
	if wait == 0 {
		wait = num
	}
	ver.Until = ver.lastCrash.Add(time.Duration(turn+wait) * turnLength)
	return ver, true
}

// Implicated reports whether any of the subjects may be the cause of another crash than the given one: it never proved sound, and no verdict explains the crash.
func (qua *Quarantiner) Implicated(subs []string, crashID string) bool {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	qua.evaluate()
	now := qua.clk.Now()
	for _, sub := range subs {
		if qua.provedSound(sub, now) {
			continue
		}
		for _, id := range qua.countedCrashes(sub) {
			if id != crashID && !qua.explained[id] {
				return true
			}
		}
	}
	return false
}

// takeTrial reports whether a quarantined request may run to find out whether the quarantine still holds.
func (qua *Quarantiner) takeTrial(ver Verdict) bool {
	if qua.set.Tries == nil || ver.trials >= maxTrials || qua.clk.Since(ver.lastCrash) < trialAfter {
		return false
	}
	if at, tried := qua.tried[ver.Key()]; tried && qua.clk.Since(at) < trialAfter || !qua.set.Tries() {
		return false
	}
	qua.tried[ver.Key()] = qua.clk.Now()
	return true
}

func (qua *Quarantiner) provedSound(sub string, now time.Time) bool {
	return now.Sub(qua.lastSound(sub)) < soundFor
}

// evaluate renews the verdicts if there is new evidence, or evidence may have expired.
func (qua *Quarantiner) evaluate() {
	now := qua.clk.Now()
	if !qua.stale && now.Sub(qua.evaluatedAt) < evaluationTTL {
		return
	}
	qua.stale, qua.evaluatedAt = false, now
	old := qua.verdicts
	qua.verdicts, qua.explained = map[string][]Verdict{}, map[string]bool{}
	var fresh, sound []suspect
	for sub := range qua.observations {
		sus := suspect{subject: sub, crashes: qua.crashTimes(sub)}
		switch {
		case len(sus.crashes) < 2:
		case qua.provedSound(sub, now):
			sound = append(sound, sus)
		default:
			fresh = append(fresh, sus)
		}
	}
	qua.explain(fresh, freshRule)
	qua.explain(sound, soundRule)
	qua.logChanges(old)
	maps.DeleteFunc(qua.tried, func(_ string, at time.Time) bool { return now.Sub(at) > qua.set.MaxAge })
}

// suspect is a subject with the times of the crashes that count against it, by their IDs.
type suspect struct {
	subject string
	crashes map[string]time.Time
}

func (qua *Quarantiner) crashTimes(sub string) map[string]time.Time {
	out := map[string]time.Time{}
	for _, id := range qua.countedCrashes(sub) {
		out[id] = qua.observations[sub][id].At
	}
	return out
}

// explain looks for the subjects that explain most of the crashes. Subjects that were at the same crashes cannot be told apart; only requests that have them all are quarantined, so that the others show which of them it is. Several requests among them take turns.
func (qua *Quarantiner) explain(list []suspect, rul rule) {
	for range maxPicks {
		for _, sus := range list {
			maps.DeleteFunc(sus.crashes, func(id string, _ time.Time) bool { return qua.explained[id] })
		}
		list = slices.DeleteFunc(list, func(sus suspect) bool { return len(sus.crashes) < 2 })
		if len(list) == 0 {
			return
		}
		pick := slices.MaxFunc(list, func(one, two suspect) int {
			return cmp.Or(cmp.Compare(len(one.crashes), len(two.crashes)), cmp.Compare(two.subject, one.subject))
		})
		var group []string
		list = slices.DeleteFunc(list, func(sus suspect) bool {
			if sus.subject != pick.subject && !sus.alike(pick) {
				return false
			}
			group = append(group, sus.subject)
			return true
		})
		slices.Sort(group)
		if rul.requests && qua.crashedEnough(group, len(pick.crashes)) || spacedCrashes(pick.crashes, rul.spacing) >= rul.crashes {
			qua.addVerdict(group, pick.crashes)
			for id := range pick.crashes {
				qua.explained[id] = true
			}
		}
	}
}

// crashedEnough reports whether one of the subjects is a request that was at enough crashes, of which a number is not explained; one may be.
func (qua *Quarantiner) crashedEnough(group []string, unexplained int) bool {
	return unexplained >= qua.set.RequestCrashes-1 && slices.ContainsFunc(group, func(sub string) bool {
		return !IsPart(sub) && len(qua.countedCrashes(sub)) >= qua.set.RequestCrashes
	})
}

// alike reports whether a subject was at the same crashes as another one, or a part at all but one of many.
func (sus suspect) alike(oth suspect) bool {
	missing := 0
	for id := range oth.crashes {
		if _, same := sus.crashes[id]; !same {
			missing++
		}
	}
	return missing == 0 || missing == 1 && IsPart(sus.subject) && len(oth.crashes) >= alikeFrom
}

// spacedCrashes returns the number of crashes that are a minimum time apart.
func spacedCrashes(crashes map[string]time.Time, spacing time.Duration) int {
	num, last := 0, time.Time{}
	for _, at := range slices.SortedFunc(maps.Values(crashes), time.Time.Compare) {
		if num == 0 || at.Sub(last) >= spacing {
			num, last = num+1, at
		}
	}
	return num
}

func (qua *Quarantiner) addVerdict(group []string, crashes map[string]time.Time) {
	times := slices.SortedFunc(maps.Values(crashes), time.Time.Compare)
	last := times[len(times)-1]
	ver := Verdict{Subjects: group, Crashes: slices.Sorted(maps.Keys(crashes)), Until: last.Add(qua.set.MaxAge), lastCrash: last}
	for _, at := range times {
		if at.Sub(times[0]) >= trialAfter {
			ver.trials++
		}
	}
	keys := group[:1]
	if requests := slices.DeleteFunc(slices.Clone(group), IsPart); len(requests) > 1 {
		ver.requests, keys = requests, requests
	}
	for _, key := range keys {
		qua.verdicts[key] = append(qua.verdicts[key], ver)
	}
}

func containsAll(list, subset []string) bool {
	for _, one := range subset {
		if !slices.Contains(list, one) {
			return false
		}
	}
	return true
}

// logChanges logs each quarantine that begins or ends.
func (qua *Quarantiner) logChanges(old map[string][]Verdict) {
	if qua.set.Logger == nil {
		return
	}
	was, now := verdictsByKey(old), verdictsByKey(qua.verdicts)
	for key, ver := range now {
		if _, known := was[key]; !known {
			qua.set.Logger.WithFields(logrus.Fields{"subjects": ver.Subjects, "crashes": ver.Crashes, "until": ver.Until}).Warn("requests quarantined that crash backend servers")
		}
	}
	for key, ver := range was {
		if _, still := now[key]; !still {
			qua.set.Logger.WithFields(logrus.Fields{"subjects": ver.Subjects, "crashes": ver.Crashes}).Warn("quarantine ended")
		}
	}
}

func verdictsByKey(verdicts map[string][]Verdict) map[string]Verdict {
	out := map[string]Verdict{}
	for _, list := range verdicts {
		for _, ver := range list {
			out[ver.Key()] = ver
		}
	}
	return out
}
