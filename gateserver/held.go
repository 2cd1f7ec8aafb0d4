package gateserver

import "github.com/lovagelever/lovagelever/reserver"

// buildReserver creates the budget of the memory that is held for callers and backend servers.
func (gat *Server) buildReserver() {
	memory := int64(gat.set.MemoryMB) << 20
	hel := gat.set.Held
	gat.res = reserver.New(reserver.Options{
		Budget: int64(hel.MemoryShare * float64(memory)), RefuseShare: hel.RefuseShare, StreamBytes: int64(hel.StreamKB) << 10,
		ProcessLimit: memory, ProcessUse: reserver.ProcessUse,
	})
}

// recordHeld records the bytes that are held by cause, and the requests that were refused for want of memory.
func (mtr *meter) recordHeld(res *reserver.Reserver) {
	for _, cau := range reserver.Causes {
		mtr.scope.Tagged(map[string]string{"cause": cau.String()}).Gauge("held_bytes").Update(float64(res.Held(cau)))
	}
	for _, why := range reserver.Refusals {
		mtr.scope.Tagged(map[string]string{"cause": string(why)}).Gauge("memory_refusals").Update(float64(res.Refused(why)))
	}
}
