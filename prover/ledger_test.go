//go:build soak

package prover

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

const maxSends = 4

// send is one send of a key, and what the caller was told.
type sendRecord struct {
	key string
	att attempt
}

// ledger keeps every send of every key; with anywhere, keys are also sent to entries that locate did not name.
type ledger struct {
	anywhere bool

	mtx   sync.Mutex
	sends []sendRecord
}

func newLedger() *ledger { return &ledger{} }

func (led *ledger) add(key string, att attempt) {
	led.mtx.Lock()
	defer led.mtx.Unlock()
	led.sends = append(led.sends, sendRecord{key: key, att: att})
}

// reserve makes a call that may not be repeated, and sends its key again, at times to two entries at once.
func (cal *caller) reserve(led *ledger) {
	loc, err := cal.locate("")
	if err != nil {
		cal.tly.add("no locate")
		time.Sleep(retryPause)
		return
	}
	name := newUUID()
	key := name
	if cal.rng.IntN(2) == 0 {
		key = loc.KeyPrefix + "/" + name
	}
	body := fmt.Appendf(nil, `{"reservation": %q}`, name)
	var both sync.WaitGroup
	oth := loc.Second
	if led.anywhere {
		oth = entryAddress(1 + cal.rng.IntN(entryCount))
	}
	if oth != "" && cal.rng.IntN(6) == 0 {
		both.Go(func() { cal.reserveOnce(led, oth, key, body) })
	}
	defer both.Wait()
	for range 1 + cal.rng.IntN(maxSends) {
		att := cal.reserveOnce(led, cal.loc.Entry, key, body)
		again := cal.rng.IntN(8) == 0
		if att.state == stateDone && !again {
			return
		}
		time.Sleep(retryPause)
		cal.elsewhere()
		if _, err := cal.locate(""); err != nil {
			return
		}
	}
}

func (cal *caller) reserveOnce(led *ledger, entry, key string, body []byte) attempt {
	att := cal.call(entry, http.MethodPost, "/reservations", key, body)
	cal.judge(att, "reservation")
	if att.state != stateUnsent {
		led.add(key, att)
	}
	return att
}

// keyInput is a send of a key, or with final the count of its runs.
type keyInput struct {
	final bool
}

type keyOutput struct {
	state    string
	replayed bool
	runs     int
}

// keyModel has one bit: whether the call of a key has run. A send without a clear outcome may have run or not.
// A send that is told not_run has not run the call; with ofKey, no earlier send of the key has either.
func keyModel(ofKey bool) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{false} },
		Step: func(state, input, output any) []any {
			ran, inp, out := state.(bool), input.(keyInput), output.(keyOutput)
			switch {
			case inp.final:
				return when(out.runs <= 1 && ran == (out.runs == 1), ran)
			case out.state == stateDone:
				return when(ran == out.replayed, true)
			case out.state == stateNotRun:
				return when(!ran || !ofKey, ran)
			case ran:
				return []any{true}
			default:
				return []any{false, true}
			}
		},
	}
	return model.ToModel()
}

func when(holds bool, state bool) []any {
	if !holds {
		return nil
	}
	return []any{state}
}

// check compares what callers were told with the service's own counts, key by key.
func (led *ledger) check(runs map[string]int, tly *tally, ofKey bool) {
	led.mtx.Lock()
	defer led.mtx.Unlock()
	end := time.Now().UnixNano()
	byKey := map[string][]porcupine.Operation{}
	told := map[string][]string{}
	for num, sen := range led.sends {
		opn := porcupine.Operation{
			ClientId: num, Input: keyInput{}, Call: sen.att.begun.UnixNano(), Return: sen.att.ended.UnixNano(),
			Output: keyOutput{state: sen.att.state, replayed: sen.att.header.Get("X-Replayed") == "true"},
		}
		if sen.att.state == stateUnknown || sen.att.state == stateBroken {
			opn.Return = end
		}
		byKey[sen.key] = append(byKey[sen.key], opn)
		told[sen.key] = append(told[sen.key], fmt.Sprintf("%s %s-%s %s replayed=%s %s", sen.att.entry, sen.att.begun.Format("05.000"),
			sen.att.ended.Format("05.000"), sen.att.state, sen.att.header.Get("X-Replayed"), sen.att.detail))
	}
	for key, ops := range byKey {
		tly.add(fmt.Sprintf("keys run %d times", runs[key]))
		ops = append(ops, porcupine.Operation{
			ClientId: len(led.sends), Input: keyInput{final: true}, Output: keyOutput{runs: runs[key]}, Call: end + 1, Return: end + 2,
		})
		slices.SortFunc(ops, func(one, two porcupine.Operation) int { return int(one.Call - two.Call) })
		if !porcupine.CheckOperations(keyModel(ofKey), ops) {
			tly.violate("key %s ran %d times, told %q", key, runs[key], told[key])
		}
	}
}
