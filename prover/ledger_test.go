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

// sendRecord is one attempt with an idempotency key, and its outcome for the caller.
type sendRecord struct {
	key string
	att attempt
}

// ledger records every attempt of every idempotency key. With anyEntry set, callers also send keys to entries that locate did not name.
type ledger struct {
	anyEntry bool

	mtx   sync.Mutex
	sends []sendRecord
}

func newLedger() *ledger { return &ledger{} }

func (led *ledger) add(key string, att attempt) {
	led.mtx.Lock()
	defer led.mtx.Unlock()
	led.sends = append(led.sends, sendRecord{key: key, att: att})
}

// reserve makes a non-idempotent call and retries it with the same key, sometimes at two entries at once.
func (cal *caller) reserve(led *ledger) {
	loc, err := cal.locate("")
	if err != nil {
		cal.tly.add("locate failed")
		time.Sleep(retryDelay)
		return
	}
	name := newUUID()
	key := name
	if cal.rng.IntN(2) == 0 {
		key = loc.KeyPrefix + "/" + name
	}
	body := fmt.Appendf(nil, `{"reservation": %q}`, name)
	var both sync.WaitGroup
	oth := loc.FallbackEntry
	if led.anyEntry {
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
		time.Sleep(retryDelay)
		cal.switchEntry()
		if _, err := cal.locate(""); err != nil {
			return
		}
	}
}

func (cal *caller) reserveOnce(led *ledger, entry, key string, body []byte) attempt {
	att := cal.call(entry, http.MethodPost, "/reservations", key, body)
	cal.checkAttempt(att, "reservation")
	if att.state != stateUnsent {
		led.add(key, att)
	}
	return att
}

// keyInput is the input of an operation on a key: an attempt or, with final set, the count of runs at the end.
type keyInput struct {
	final bool
}

type keyOutput struct {
	state    string
	replayed bool
	runs     int
}

// keyModel returns a model whose state is whether the call of a key has run. An attempt with an unknown outcome may have run the call or not.
// The response not_run means that the attempt did not run the call; with acrossSends set, it also means that no earlier attempt with the key did.
func keyModel(acrossSends bool) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{false} },
		Step: func(state, input, output any) []any {
			ran, inp, out := state.(bool), input.(keyInput), output.(keyOutput)
			switch {
			case inp.final:
				return allowedState(out.runs <= 1 && ran == (out.runs == 1), ran)
			case out.state == stateDone:
				return allowedState(ran == out.replayed, true)
			case out.state == stateNotRun:
				return allowedState(!ran || !acrossSends, ran)
			case ran:
				return []any{true}
			default:
				return []any{false, true}
			}
		},
	}
	return model.ToModel()
}

func allowedState(holds bool, state bool) []any {
	if !holds {
		return nil
	}
	return []any{state}
}

// check compares, key by key, the outcomes that callers saw with the number of runs that the service counted.
func (led *ledger) check(runs map[string]int, tly *tally, acrossSends bool) {
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
		if !porcupine.CheckOperations(keyModel(acrossSends), ops) {
			tly.recordViolation("key %s ran %d times, attempts %q", key, runs[key], told[key])
		}
	}
}
