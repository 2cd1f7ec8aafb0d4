package tailer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// inOutage reports whether removals may be due to leases that expired while the store was unavailable.
func (tai *Tailer) inOutage() bool {
	return tai.failed || !tai.outageEnd.IsZero() && tai.opt.Clock.Since(tai.outageEnd) < outageGrace
}

// recentReturn returns when the store came back from an outage in which leases may have expired, zero if that is longer ago than outageGrace; the caller holds the lock.
func (tai *Tailer) recentReturn(now time.Time) time.Time {
	if now.Sub(tai.returned) >= outageGrace {
		return time.Time{}
	}
	return tai.returned
}

// noteAnswer records that the store answers a read, before the records of the answer are applied. After a time without answers in which leases may have expired, it finds out whether the store was away or only this entry's way to it.
func (tai *Tailer) noteAnswer(ctx context.Context) {
	tai.mux.Lock()
	began := tai.outageBegan
	regained := tai.failed && tai.returned.Before(began) && tai.readAt.Sub(began) >= minOutage
	tai.mux.Unlock()
	if !regained {
		return
	}
	own := tai.opt.AnsweredOthers != nil && tai.opt.AnsweredOthers(ctx, tai.opt.Topic, tai.opt.Clock.Since(began))
	tai.mux.Lock()
	defer tai.mux.Unlock()
	if own {
		tai.opt.Logger.WithFields(logrus.Fields{"topic": tai.opt.Topic, "after_ms": tai.opt.Clock.Since(began).Milliseconds()}).Info("store regained, which has answered other entries meanwhile")
		tai.failed = false
		return
	}
	tai.returned = tai.opt.Clock.Now()
}

// AnsweredFor returns for how long the store has answered this entry without a gap in which leases may expire, zero if it does not now.
func (tai *Tailer) AnsweredFor() time.Duration {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	now := tai.opt.Clock.Now()
	if tai.failed || tai.contact.IsZero() || now.Sub(tai.contact) >= minOutage {
		return 0
	}
	return now.Sub(tai.answeredSince)
}

// forgetFailure forgets that the last read failed: an entry that follows others does not notice the end of an outage, and learns from them what was removed during one.
func (tai *Tailer) forgetFailure() {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	tai.failed = false
}

func (tai *Tailer) noteFailure(err error) {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	if !tai.failed {
		tai.outageBegan = tai.readAt
		tai.opt.Logger.WithError(err).WithField("topic", tai.opt.Topic).Warn("store lost")
	}
	tai.failed = true
}
