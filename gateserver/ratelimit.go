package gateserver

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/heartbeater"
	"github.com/lovagelever/lovagelever/permitter"
	"github.com/lovagelever/lovagelever/ratelimiter"
	"github.com/lovagelever/lovagelever/registrar"
)

// buildPermitter creates the component that exchanges rate limits and permits with the other entries.
func (gat *Server) buildPermitter() {
	gat.per = permitter.New(permitter.Options{
		Self: gat.set.Name, Peers: gat.permitPeers, Stopping: gat.stopping.Load, Demand: gat.dis.PermitDemand,
		Send: gat.sendLimits, Limiter: gat.lim, Clock: gat.clk,
	})
}

// onRateLimit records the rate limit that a response states, or that it states none.
func (gat *Server) onRateLimit(ins registrar.Instance, limited bool, perSecond float64, sentAt time.Time) {
	log := gat.log.WithFields(logrus.Fields{"server": ins.ID, "started": ins.Started})
	if perSecond < 0 {
		log.Warn("backend server states a rate limit that cannot be read")
		return
	}
	if gat.lim.Observe(ins, limited, perSecond, sentAt) {
		log.WithFields(logrus.Fields{"limited": limited, "per_second": perSecond}).Info("rate limit of a backend server changed")
		gat.per.ReportChange(ins)
	}
}

func (gat *Server) permitPeers() []permitter.Peer {
	var out []permitter.Peer
	for _, ent := range gat.adv.Others() {
		out = append(out, permitter.Peer{Name: ent.Name, Stopping: ent.Stopping, Heard: gat.heardRecently(ent.Name)})
	}
	return out
}

func (gat *Server) sendLimits(msg ratelimiter.Message, names []string) {
	to := make(map[string]bool, len(names))
	for _, name := range names {
		to[name] = true
	}
	var peers []heartbeater.Peer
	for _, pee := range gat.peers() {
		if to[pee.Name] {
			peers = append(peers, pee)
		}
	}
	gat.hea.SendLimits(msg, peers...)
}

func (gat *Server) onLimits(msg ratelimiter.Message) {
	if gat.per.Receive(msg) {
		gat.dis.DispatchWaiting()
	}
}

// forgetRateLimits forgets the limits of servers that are no longer listed, and records how many there are.
func (gat *Server) forgetRateLimits() {
	servers := gat.reg.View().Servers
	gat.lim.SetListed(func(ins registrar.Instance) bool {
		ser, listed := servers[ins.ID]
		return listed && ser.Started == ins.Started
	})
	gat.mtr.RecordRateLimits(gat.lim.Limited())
}
