package enginefaker

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

// memberCall is the body of POST /v1/member, by which rank 0 checks and updates a member in another process.
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
		jsoncoder.WriteError(wtr, http.StatusBadRequest, err)
		return
	}
	ans, ready := eng.answerMember(cal)
	if !ready {
		jsoncoder.WriteError(wtr, http.StatusConflict, errors.NotYetAvailablef("enginefaker: group %q", cal.Group))
		return
	}
	jsoncoder.Write(wtr, http.StatusOK, ans)
}

func (eng *engine) answerMember(cal memberCall) (memberAnswer, bool) {
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	if !eng.readyIn(order{Group: cal.Group, Fence: cal.Fence}) {
		return memberAnswer{}, false
	}
	if cal.Crash {
		eng.crash()
		return memberAnswer{}, true
	}
	eng.addBusyTime(time.Duration(cal.SteppedUS) * time.Microsecond)
	if cal.Accepted {
		eng.cnt.AcceptedAtMS = eng.sim.opt.Clock.Now().UnixMilli()
	}
	return memberAnswer{SlowFactor: eng.slowFactor()}, true
}

func (eng *engine) readyIn(ord order) bool {
	return !eng.machine.Killed() && eng.state == stateReady && eng.ord.Group == ord.Group && eng.ord.Fence == ord.Fence
}

func (eng *engine) crash() {
	eng.cnt.Crashed++
	eng.restart("crashed")
}

func (eng *engine) addBusyTime(span time.Duration) {
	eng.busyTime += span
	eng.recordReport()
}

func (eng *engine) slowFactor() float64 {
	return max(1, eng.flt.SlowFactor)
}

// localMembers returns the members of the group that this process serves, including the engine itself.
func (eng *engine) localMembers(ord order) []*engine {
	var out []*engine
	for _, mem := range ord.Members {
		if local := eng.sim.engines[mem.VM]; local != nil {
			out = append(out, local)
		}
	}
	return out
}

func (eng *engine) localMembersReady(ord order) bool {
	for _, local := range eng.localMembers(ord) {
		if !local.readyIn(ord) {
			return false
		}
	}
	return true
}

// remoteMembers returns the members of the group in other processes, which serve other fabric domains.
func (eng *engine) remoteMembers(ord order) []member {
	var out []member
	for _, mem := range ord.Members {
		if eng.sim.engines[mem.VM] == nil {
			out = append(out, mem)
		}
	}
	return out
}

// callRemoteMembers calls every member in another process and returns their largest slow factor; it fails when one of them is not ready.
func (eng *engine) callRemoteMembers(ord order, cal memberCall) (float64, error) {
	cal.Group, cal.Fence = ord.Group, ord.Fence
	slow := 1.0
	for _, mem := range eng.remoteMembers(ord) {
		ans, err := jsoncoder.Call[memberCall, memberAnswer](
			context.Background(), eng.client, http.MethodPost, "http://"+mem.Address+"/v1/member", cal)
		if err != nil {
			return slow, err
		}
		slow = max(slow, ans.SlowFactor)
	}
	return slow, nil
}
