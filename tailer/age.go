package tailer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// staleShare is the share of the limit for changes that what an entry knows may be old when it reads the store itself: the rest is for requests that are under way, two reads of the store and applying the records.
	staleShare = 2.0 / 3
	// staleRetryShare is the share of that age after which such a read is repeated the first time, if it failed.
	staleRetryShare = 0.5
)

// confirmation says that at a time the store had no records of an era behind an end.
type confirmation struct {
	era, end int64
	at       time.Time
}

// Confirm reports that the store had no records behind an offset of an era at a time, as another entry knows that reads it.
func (tai *Tailer) Confirm(era, end int64, at time.Time) {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	if isLater(era, end, tai.era, tai.end) {
		tai.announced = confirmation{era: era, end: end, at: at}
		return
	}
	if era == tai.era {
		tai.confirm(at)
	}
}

// confirm records a time before which the store had accepted no records but the known ones; the caller holds the lock.
func (tai *Tailer) confirm(at time.Time) {
	if at.After(tai.confirmedAt) {
		tai.confirmedAt, tai.readOnceFailures = at, 0
	}
}

// Confirmed returns a time before which the store had accepted no records but the known ones, zero if none is known.
func (tai *Tailer) Confirmed() time.Time {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	return tai.confirmedAt
}

// takeAnnounced confirms the known records once they reach up to what another entry has confirmed; the caller holds the lock.
func (tai *Tailer) takeAnnounced() {
	ann := tai.announced
	if ann.era == tai.era && ann.end <= tai.end {
		tai.confirm(ann.at)
	}
}

// MaxAge returns how old what an entry knows may be for a limit of the time within which changes must be known everywhere.
func MaxAge(limit time.Duration) time.Duration {
	return time.Duration(float64(limit) * staleShare)
}

// untilStale returns after how long the store has to be read because nothing has confirmed the known records since; ok is false if there is no limit.
func (tai *Tailer) untilStale() (wait time.Duration, ok bool) {
	if tai.opt.ChangeLimit == nil || tai.opt.ChangeLimit() <= 0 {
		return 0, false
	}
	maxAge := MaxAge(tai.opt.ChangeLimit())
	tai.mux.Lock()
	defer tai.mux.Unlock()
	retryAfter := maxAge
	if tai.readOnceFailures == 1 {
		retryAfter = time.Duration(float64(maxAge) * staleRetryShare)
	}
	due := tai.confirmedAt.Add(maxAge)
	if again := tai.readOnceAt.Add(retryAfter); tai.readOnceFailures > 0 && again.After(due) {
		due = again
	}
	return tai.opt.Clock.Until(due), true
}

// isStale reports whether the known records are to be confirmed by the store itself.
func (tai *Tailer) isStale() bool {
	wait, limited := tai.untilStale()
	return limited && wait <= 0
}

// readStale reads the store, since nothing else has confirmed the known records in time.
func (tai *Tailer) readStale(ctx context.Context) {
	age := tai.opt.Clock.Since(tai.Confirmed())
	if tai.opt.OnStale != nil {
		tai.opt.OnStale()
	}
	tai.opt.Logger.WithFields(logrus.Fields{"topic": tai.opt.Topic, "confirmed_ms_ago": age.Milliseconds()}).Info("reading the store, since no entry has confirmed the newest records")
	tai.readOnce(ctx)
}

// followWait returns how long an entry that follows others waits for news before it looks at what expires.
func (tai *Tailer) followWait() time.Duration {
	wait, limited := tai.untilStale()
	if !limited || wait > readersCheckInterval {
		return readersCheckInterval
	}
	return max(0, wait)
}

// readOnce reads what the store has by now, and a second time on a new connection if no answer comes: the connection may have gone silent while it was not in use.
func (tai *Tailer) readOnce(ctx context.Context) {
	tai.mux.Lock()
	tai.readOnceAt = tai.opt.Clock.Now()
	tai.mux.Unlock()
	err := tai.read(ctx, 0)
	if err != nil {
		tai.opt.Logger.WithError(err).WithField("topic", tai.opt.Topic).Info("neither an entry nor the store could tell the newest records")
	}
	tai.mux.Lock()
	defer tai.mux.Unlock()
	tai.readOnceFailures++
	if err == nil {
		tai.readOnceFailures = 0
	}
}

// lastReadFailed reports whether this entry's last read of the store while others read it failed.
func (tai *Tailer) lastReadFailed() bool {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	return tai.readOnceFailures > 0
}

// answeredAt returns a time at which the store had nothing behind a page. It answers without records only after it has waited for them.
func (tai *Tailer) answeredAt(pag Page, wait time.Duration) time.Time {
	at := tai.readBegan()
	if len(pag.Records) > 0 {
		return at
	}
	if until, now := at.Add(wait), tai.opt.Clock.Now(); until.Before(now) {
		return until
	}
	return at
}
