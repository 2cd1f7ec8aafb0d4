package gateserver

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/advertiser"
	"github.com/lovagelever/lovagelever/conductor"
	"github.com/lovagelever/lovagelever/detector"
	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/investigator"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/ratelimiter"
)

const (
	// crashesToQuarantine is the number of crashes after which a single request is quarantined; requests in use beside one that crashes units may be at two.
	crashesToQuarantine = 3
	// evidenceInterval is the interval at which an entry asks another one for evidence that it missed, evidenceRetryDelay the same until it has got an answer.
	evidenceInterval   = 2 * time.Second
	evidenceRetryDelay = 200 * time.Millisecond
	// evidenceTimeout limits one such call, crashCheckTimeout the check of a unit.
	evidenceTimeout   = time.Second
	crashCheckTimeout = 300 * time.Millisecond
)

// buildInvestigator creates the components that find out which requests crash backend servers.
func (gat *Server) buildInvestigator() {
	gat.qua = quarantiner.New(quarantiner.Settings{
		RequestCrashes: crashesToQuarantine, Tries: func() bool { return gat.ele != nil && gat.ele.IsLeader() }, Logger: gat.log,
	}, gat.clk, nil, nil)
	gat.inv = investigator.New(investigator.Options{
		Quarantine: gat.qua, Check: gat.checkCrash, Peers: func() int { return int(gat.peerCount.Load()) }, Clock: gat.clk, Logger: gat.log,
	})
}

// checkCrash finds out whether the server that runs a unit's requests has crashed. One that drains or is off the list ends as planned: a crashed one stays on the list for longer than the checks last.
func (gat *Server) checkCrash(ctx context.Context, uni dispatcher.Unit) investigator.Finding {
	ser, listed := gat.reg.View().Servers[uni.ServerID]
	switch {
	case !listed, ser.Started == uni.Started && ser.Draining:
		return investigator.Alive
	case ser.Started != uni.Started:
		return investigator.Crashed
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	rep, err := gat.pla.Engines.Report(ctx, ser)
	switch {
	case errors.Is(err, detector.ErrDown), errors.Is(err, conductor.ErrServerReplaced):
		return investigator.Crashed
	case err == nil && rep.Started != ser.Started:
		return investigator.Crashed
	case err == nil, errors.Is(err, conductor.ErrUnexpectedAnswer):
		return investigator.Alive
	}
	return investigator.Unclear
}

// EvidenceQuestion asks for evidence about crashes, unless the answer would have one of the digests.
type EvidenceQuestion struct {
	Digests []uint64
}

// EvidenceAnswer is the response to an EvidenceQuestion.
type EvidenceAnswer struct {
	Digest   uint64
	Evidence quarantiner.Evidence
	// Limits are the rate limits of backend servers; they are always part of the answer.
	Limits []ratelimiter.Notice
}

// Evidence returns the evidence about crashes that this entry knows.
func (rec *receiver) Evidence(que *EvidenceQuestion, ans *EvidenceAnswer) error {
	ans.Digest, ans.Limits = rec.gat.qua.Digest(), rec.gat.lim.Notices()
	for _, dig := range que.Digests {
		if dig == ans.Digest {
			return nil
		}
	}
	ans.Evidence = rec.gat.qua.Evidence()
	return nil
}

// pullEvidence asks other entries for evidence, at the start and after a time without connection for all of it.
func (gat *Server) pullEvidence(ctx context.Context) {
	var last uint64
	for ctx.Err() == nil {
		pause := evidenceRetryDelay
		ans, err := gat.askForEvidence(ctx, last)
		switch _, remote := errors.AsType[rpc.ServerError](err); {
		case err == nil:
			gat.inv.Receive(ans.Evidence)
			gat.per.Apply(ans.Limits)
			last, pause = ans.Digest, evidenceInterval
		case remote:
			// An entry of an earlier version does not know the method.
			pause = evidenceInterval
		case !errors.Is(err, ErrNoPeer):
			gat.log.WithError(err).Debug("failed to ask another entry for evidence")
		}
		select {
		case <-ctx.Done():
		case <-gat.clk.After(pause):
		}
	}
}

// askForEvidence asks a random entry that was heard recently; it fails with ErrNoPeer if there is none.
func (gat *Server) askForEvidence(ctx context.Context, last uint64) (EvidenceAnswer, error) {
	var live []advertiser.Entry
	for _, ent := range gat.adv.Others() {
		if gat.heardRecently(ent.Name) {
			live = append(live, ent)
		}
	}
	if len(live) == 0 {
		return EvidenceAnswer{}, errors.Annotate(ErrNoPeer, "gateserver: ask for evidence")
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	que := EvidenceQuestion{Digests: []uint64{gat.qua.Digest(), last}}
	return messenger.Call[EvidenceQuestion, EvidenceAnswer](ctx, gat.mes, live[rand.IntN(len(live))].EntryAddress, "Evidence", que)
}
