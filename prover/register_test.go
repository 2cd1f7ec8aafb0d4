//go:build soak

package prover

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/requester"
)

const (
	maxPropagationDelay = 5 * time.Second
	publishAttempts     = 4
	checkTimeout        = 30 * time.Second
	readInterval        = 200 * time.Millisecond
)

// version is a catalog revision together with the marker of its publication.
type version struct {
	revision int64
	marker   int
}

// publication is a compare-and-set of the catalog: the combined outcome of all attempts with its ID.
type publication struct {
	from   version
	marker int
	begun  time.Time
	ended  time.Time
	state  string
	got    int64
}

// reading is the catalog version that an entry returned while it was fresh.
type reading struct {
	entry       string
	incarnation string
	got         version
	begun       time.Time
	ended       time.Time
}

// register records the history of publications and readings.
type register struct {
	dep *deployment
	tly *tally

	mtx      sync.Mutex
	marker   int
	pubs     []publication
	readings []reading
}

const (
	stateAccepted = "accepted"
	stateConflict = "conflict"
)

// markerOf returns the marker of a publication, which the test stores as the weight of the first workspace.
func markerOf(cat cataloger.Catalog) int {
	return cat.Rules.Workspaces[workspaces[0]].Weight
}

func (reg *register) nextMarker() int {
	reg.mtx.Lock()
	defer reg.mtx.Unlock()
	reg.marker++
	return 1000 + reg.marker
}

// publish makes one publication based on the catalog that an entry returns, and retries it with the same ID while the outcome is unknown.
func (reg *register) publish(rng *rand.Rand, change func(rul *cataloger.Rules)) publication {
	var pub publication
	cur, err := fetch[requester.Revision](reg.dep.cli, entryAddress(1+rng.IntN(entryCount)), "/v1/catalog")
	if err != nil {
		return pub
	}
	pub = publication{from: version{cur.Revision, markerOf(cur.Catalog)}, marker: reg.nextMarker(), begun: time.Now(), state: stateNotRun}
	rul := cur.Catalog.Rules
	wsr := rul.Workspaces[workspaces[0]]
	wsr.Weight = pub.marker
	rul.Workspaces[workspaces[0]] = wsr
	if change != nil {
		change(&rul)
	}
	out := requester.Publication{ID: newUUID(), BasedOn: cur.Revision, Rules: &rul}
	for range publishAttempts {
		settled := reg.send(&pub, entryAddress(1+rng.IntN(entryCount)), out)
		if settled {
			break
		}
		time.Sleep(randomDuration(rng, 0, 500*time.Millisecond))
	}
	pub.ended = time.Now()
	reg.tly.add("publication " + pub.state)
	reg.mtx.Lock()
	defer reg.mtx.Unlock()
	reg.pubs = append(reg.pubs, pub)
	return pub
}

// send reports whether the outcome is final. An unknown outcome stays unknown until an entry reports one.
func (reg *register) send(pub *publication, address string, out requester.Publication) bool {
	req, err := requester.New([]string{address})
	if err != nil {
		return false
	}
	acc, err := req.Publish(context.Background(), address, out)
	if err == nil {
		pub.state, pub.got = stateAccepted, acc.Revision
		return true
	}
	ref, refused := asRefusal(err)
	switch {
	case refused && ref.Conflict():
		pub.state = stateConflict
		return true
	case refused && ref.Type == requester.RefusedNotRun:
		return false
	case refused && ref.Invalid():
		reg.tly.recordViolation("publication refused: %v", err)
		return true
	case isUnsent(err):
		return false
	default:
		pub.state = stateUnknown
		return false
	}
}

// read records the catalog version of an entry that is fresh both before and after the request.
func (reg *register) read(num int) {
	begun := time.Now()
	before, err := fetch[requester.Entry](reg.dep.cli, entryAddress(num), "/v1/self")
	if err != nil || !before.Fresh {
		reg.tly.add("reading failed or not fresh")
		return
	}
	cur, err := fetch[requester.Revision](reg.dep.cli, entryAddress(num), "/v1/catalog")
	if err != nil {
		return
	}
	after, err := fetch[requester.Entry](reg.dep.cli, entryAddress(num), "/v1/self")
	if err != nil || !after.Fresh || after.Incarnation != before.Incarnation {
		return
	}
	reg.tly.add("reading")
	reg.mtx.Lock()
	defer reg.mtx.Unlock()
	reg.readings = append(reg.readings, reading{
		entry: entryName(num), incarnation: before.Incarnation, begun: begun, ended: time.Now(),
		got: version{cur.Revision, markerOf(cur.Catalog)},
	})
}

func (reg *register) readAll(done <-chan struct{}) {
	var grp sync.WaitGroup
	for num := 1; num <= entryCount; num++ {
		grp.Go(func() {
			defer GinkgoRecover()
			for {
				select {
				case <-done:
					return
				case <-time.After(readInterval):
					reg.read(num)
				}
			}
		})
	}
	grp.Wait()
}

// check finds readings that are stale, go back to an older revision or differ for one revision, and checks that the publications are linearizable as a register.
func (reg *register) check() {
	reg.checkReadings()
	reg.checkStaleness()
	reg.checkHistory()
}

func (reg *register) checkReadings() {
	markers := map[int64]int{}
	newest := map[string]reading{}
	slices.SortFunc(reg.readings, func(one, two reading) int { return one.ended.Compare(two.ended) })
	for _, rea := range reg.readings {
		if marker, known := markers[rea.got.revision]; known && marker != rea.got.marker {
			reg.tly.recordViolation("revision %d has both the markers %d and %d", rea.got.revision, marker, rea.got.marker)
		}
		markers[rea.got.revision] = rea.got.marker
		if old := newest[rea.entry]; rea.got.revision < old.got.revision {
			reg.tly.recordViolation("%s went back from revision %d to %d (%s)", rea.entry, old.got.revision, rea.got.revision, rea.begun.Format("15:04:05.000"))
		}
		newest[rea.entry] = rea
	}
	for _, pub := range reg.pubs {
		marker, shown := markers[pub.got]
		if pub.state == stateAccepted && shown && marker != pub.marker {
			reg.tly.recordViolation("accepted revision %d has marker %d, want %d", pub.got, marker, pub.marker)
		}
	}
}

func (reg *register) checkStaleness() {
	worst := time.Duration(0)
	for _, pub := range reg.pubs {
		if pub.state != stateAccepted {
			continue
		}
		for _, rea := range reg.readings {
			late := rea.begun.Sub(pub.ended)
			if rea.got.revision >= pub.got {
				continue
			}
			worst = max(worst, late)
			if late > maxPropagationDelay {
				reg.tly.recordViolation("%s returned revision %d %s after revision %d was accepted", rea.entry, rea.got.revision, late, pub.got)
			}
		}
	}
	report("most stale reading: %s after a newer revision was accepted; %d readings", worst.Round(time.Millisecond), len(reg.readings))
}

type registerInput struct {
	read   bool
	from   version
	marker int
}

type registerOutput struct {
	state string
	got   version
}

// registerModel models a compare-and-set register whose readings may be stale by up to maxPropagationDelay.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{version{}} },
	Step: func(state, input, output any) []any {
		cur, inp, out := state.(version), input.(registerInput), output.(registerOutput)
		next := version{revision: out.got.revision, marker: inp.marker}
		switch {
		case inp.read:
			return allowedVersion(cur == out.got, cur)
		case out.state == stateAccepted:
			return allowedVersion(cur == inp.from && next.revision == cur.revision+1, next)
		case out.state == stateConflict:
			return allowedVersion(cur.revision != inp.from.revision, cur)
		case out.state == stateUnknown && cur == inp.from:
			return []any{cur, version{revision: cur.revision + 1, marker: inp.marker}}
		default:
			return []any{cur}
		}
	},
}

func allowedVersion(holds bool, state version) []any {
	if !holds {
		return nil
	}
	return []any{state}
}

// checkHistory checks the linearizability of all publications together with the latest reading of each version.
func (reg *register) checkHistory() {
	var ops []porcupine.Operation
	end := time.Now()
	for num, pub := range reg.pubs {
		opn := porcupine.Operation{
			ClientId: num, Input: registerInput{from: pub.from, marker: pub.marker}, Call: pub.begun.UnixNano(), Return: pub.ended.UnixNano(),
			Output: registerOutput{state: pub.state, got: version{revision: pub.got}},
		}
		if pub.state == stateUnknown {
			opn.Return = end.UnixNano()
		}
		ops = append(ops, opn)
	}
	last := map[version]reading{}
	for _, rea := range reg.readings {
		if rea.begun.After(last[rea.got].begun) {
			last[rea.got] = rea
		}
	}
	for got, rea := range last {
		ops = append(ops, porcupine.Operation{
			Input: registerInput{read: true}, Output: registerOutput{got: got},
			Call: rea.begun.Add(-maxPropagationDelay).UnixNano(), Return: rea.ended.UnixNano(),
		})
	}
	slices.SortFunc(ops, func(one, two porcupine.Operation) int { return int(one.Call - two.Call) })
	model := registerModel
	model.Init = func() []any { return []any{version{revision: 1, marker: 1}} }
	res := porcupine.CheckOperationsTimeout(model.ToModel(), ops, checkTimeout)
	reg.tly.add("history " + string(res))
	report("history of %d operations: %s", len(ops), res)
	if res != porcupine.Ok {
		reg.tly.recordViolation("publication history is not linearizable as a register: %s", res)
		for _, opn := range ops {
			report("%d-%d %+v %+v", opn.Call, opn.Return, opn.Input, opn.Output)
		}
	}
}
