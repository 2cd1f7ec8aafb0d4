package enginefaker

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

// memberCall is what rank 0 tells and asks a member in another process.
type memberCall struct {
	Group     string `json:"group"`
	Fence     int64  `json:"fence"`
	SteppedUS int64  `json:"stepped_us"`
	Accepted  bool   `json:"accepted"`
	Crash     bool   `json:"crash"`
}

type memberAnswer struct {
	SlowFactor float64 `json:"slow_factor"`
}

func (eng *engine) serveMember(wtr http.ResponseWriter, req *http.Request) {
	cal, err := jsoncoder.Read[memberCall](req)
	if err != nil {
		jsoncoder.Fail(wtr, http.StatusBadRequest, err)
		return
	}
	ans, ready := eng.answerMember(cal)
	if !ready {
		jsoncoder.Fail(wtr, http.StatusConflict, errors.NotYetAvailablef("enginefaker: group %q", cal.Group))
		return
	}
	jsoncoder.Write(wtr, http.StatusOK, ans)
}

func (eng *engine) answerMember(cal memberCall) (memberAnswer, bool) {
	eng.fkr.mut.Lock()
	defer eng.fkr.mut.Unlock()
	if !eng.readyIn(order{Group: cal.Group, Fence: cal.Fence}) {
		return memberAnswer{}, false
	}
	if cal.Crash {
		eng.crash()
		return memberAnswer{}, true
	}
	eng.addBusy(time.Duration(cal.SteppedUS) * time.Microsecond)
	if cal.Accepted {
		eng.cnt.AcceptedAtMS = eng.fkr.opt.Clock.Now().UnixMilli()
	}
	return memberAnswer{SlowFactor: eng.slow()}, true
}

func (eng *engine) readyIn(ord order) bool {
	return !eng.machine.Dead() && eng.state == stateReady && eng.ord.Group == ord.Group && eng.ord.Fence == ord.Fence
}

func (eng *engine) crash() {
	eng.cnt.Crashed++
	eng.restart("crashed")
}

func (eng *engine) addBusy(span time.Duration) {
	eng.busy += span
	eng.note()
}

func (eng *engine) slow() float64 {
	return max(1, eng.flt.SlowFactor)
}

// mates returns the members of the group in this process, the engine itself included.
func (eng *engine) mates(ord order) []*engine {
	var out []*engine
	for _, mem := range ord.Members {
		if mate := eng.fkr.engines[mem.VM]; mate != nil {
			out = append(out, mate)
		}
	}
	return out
}

func (eng *engine) matesReady(ord order) bool {
	for _, mate := range eng.mates(ord) {
		if !mate.readyIn(ord) {
			return false
		}
	}
	return true
}

// remotes returns the members of the group in other processes and so in other fabric domains.
func (eng *engine) remotes(ord order) []member {
	var out []member
	for _, mem := range ord.Members {
		if eng.fkr.engines[mem.VM] == nil {
			out = append(out, mem)
		}
	}
	return out
}

// ask calls every member in another process and returns their largest slow factor; it fails when one of them is not ready.
func (eng *engine) ask(ord order, cal memberCall) (float64, error) {
	cal.Group, cal.Fence = ord.Group, ord.Fence
	slow := 1.0
	for _, mem := range eng.remotes(ord) {
		ans, err := jsoncoder.Call[memberCall, memberAnswer](
			context.Background(), eng.client, http.MethodPost, "http://"+mem.Address+"/v1/member", cal)
		if err != nil {
			return slow, err
		}
		slow = max(slow, ans.SlowFactor)
	}
	return slow, nil
}
