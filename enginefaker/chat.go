package enginefaker

import (
	"net/http"
	"strconv"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type refusalBody struct {
	Reason string `json:"reason"`
}

// acceptResult says whether a request was accepted; reason is empty if it was, and otherwise group and fence are those of the current order.
type acceptResult struct {
	reason string
	group  string
	fence  int64
}

func (eng *engine) serveChat(wtr http.ResponseWriter, req *http.Request) {
	body, err := jsoncoder.Read[chatRequest](req)
	if err != nil {
		jsoncoder.WriteError(wtr, http.StatusBadRequest, err)
		return
	}
	jb := newJob(req.Context(), req.Header.Get("X-Request-Id"), int(headerNumber(req, "X-Priority")),
		int(headerNumber(req, "X-Resume-From")), body.Messages, body.MaxTokens, eng.sim.opt.CrashMarker)
	jb.coldLimit = int(headerNumber(req, "X-Cold-Limit"))
	ver := eng.accept(jb, req.Header.Get("X-Group"), headerNumber(req, "X-Fence"))
	switch ver.reason {
	case "":
		eng.stream(wtr, req, jb)
	case refusedFence:
		jsoncoder.Write(wtr, http.StatusConflict, fenceAnswer{Group: ver.group, Fence: ver.fence})
	default:
		jsoncoder.Write(wtr, http.StatusServiceUnavailable, refusalBody{Reason: ver.reason})
	}
}

func (eng *engine) serveCancel(wtr http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	if !eng.cancel(func(jb *job) bool { return jb.id == id }) {
		wtr.WriteHeader(http.StatusNotFound)
		return
	}
	wtr.WriteHeader(http.StatusOK)
}

// headerNumber returns 0 for a header that is absent or not a number.
func headerNumber(req *http.Request, name string) int64 {
	num, _ := strconv.ParseInt(req.Header.Get(name), 10, 64)
	return num
}

// accept checks that all members of the group are ready and puts the request into the queue, or returns the reason of the refusal.
func (eng *engine) accept(jb *job, group string, fence int64) acceptResult {
	ord, ver := eng.checkOrder(group, fence)
	if ver.reason != "" {
		return ver
	}
	_, err := eng.callRemoteMembers(ord, memberCall{Accepted: true})
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	if err != nil || !eng.readyIn(ord) || !eng.localMembersReady(ord) {
		return eng.refuse(refusedNotReady)
	}
	if len(eng.queue) >= eng.sim.opt.QueueLimit {
		return eng.refuse(refusedOverloaded)
	}
	if jb.coldLimit > 0 && !eng.warm() && len(eng.running)+len(eng.queue) >= jb.coldLimit {
		return eng.refuse(refusedCold)
	}
	eng.startJob(jb, ord)
	return acceptResult{}
}

func (eng *engine) checkOrder(group string, fence int64) (order, acceptResult) {
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	if eng.state == stateEmpty && eng.reason == reasonFellOver {
		return order{}, eng.refuse(refusedCold)
	}
	if eng.ord.Group != group || eng.ord.Fence != fence {
		return order{}, eng.refuse(refusedFence)
	}
	if eng.state != stateReady || eng.ord.Rank != 0 {
		return order{}, eng.refuse(refusedNotReady)
	}
	return eng.ord, acceptResult{}
}

func (eng *engine) refuse(reason string) acceptResult {
	eng.cnt.Refused[reason]++
	return acceptResult{reason: reason, group: eng.ord.Group, fence: eng.ord.Fence}
}

func (eng *engine) startJob(jb *job, ord order) {
	eng.cnt.Started++
	for _, local := range eng.localMembers(ord) {
		local.cnt.AcceptedAtMS = eng.sim.opt.Clock.Now().UnixMilli()
	}
	eng.enqueue(jb)
	if !eng.warm() && len(eng.running)+len(eng.queue) > eng.sim.opt.ColdLimit {
		eng.cnt.FellOver++
		eng.restart(reasonFellOver)
		return
	}
	eng.recordReport()
	if !eng.stepping {
		eng.stepping = true
		go eng.run()
	}
}
