package tailer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

const (
	// readWait is how long one read of the store waits for a record, so that a connection that no longer delivers data
	// is noticed within half of the shortest limit for changes, which is 2 s.
	readWait = 700 * time.Millisecond
	// readersCheckInterval is the time between two checks whether other entries still read the store in place of this one.
	readersCheckInterval = 250 * time.Millisecond
	// retryAfter is the delay after a failed read, and hence between requests to other entries, and the timeout of such a
	// request: less than a third of the shortest limit for changes, which is 2 s.
	retryAfter = 300 * time.Millisecond
	// asksBeforeRead is how many requests to other entries fail before an entry that follows them reads the store: the first may go to one that has just stopped.
	asksBeforeRead = 2
	// outageGrace is how long after an outage a removal may be due to a lease that expired during it; heartbeats resume
	// within 2 s after the store is back.
	outageGrace = 2 * time.Second
	// minOutage is the shortest outage in which leases may expire; a single failed read takes less time.
	minOutage = 1500 * time.Millisecond
	// batchDelay is the delay between two reads while records arrive, so that a burst of them costs one call.
	batchDelay = 120 * time.Millisecond
	// pollGrace is how long a read of the store goes on alone once another entry has told of newer records; two entries that read it get these within a fraction of it.
	pollGrace = 200 * time.Millisecond
	// logBehindAfter is after how long an entry logs that others have newer records.
	logBehindAfter = time.Second
	// removalRetention is how long a removal is kept for entries that ask; they ask every retryAfter.
	removalRetention = time.Minute
)

// ErrExpired means that the store no longer retains the requested records.
const ErrExpired = errors.ConstError("records have expired")

// Record is the newest value of a key; a nil value means that the key was removed. Era is the era of the store in which it was written at Offset.
type Record struct {
	Key    string
	Value  []byte
	Era    int64
	Offset int64
	// KnownFor is how long entries have known the record that have passed it on, zero for a record from the store.
	KnownFor time.Duration
}

// Page is a batch of records; End is the offset up to which it has the records of the topic, and More says that the store has records behind it. Era rises when the store comes back from an older copy: offsets then begin anew at that of the copy.
type Page struct {
	Era     int64
	End     int64
	More    bool
	Records []Record
	// Outage says that removals among the records may be leases that expired while the store was unavailable.
	Outage bool
	// Older holds what the store has instead of records that it has lost with an older copy, and that are kept until they are written again.
	Older []Record
	// Returned says that the store came back ReturnedAgo before from an outage in which leases may have expired.
	Returned    bool
	ReturnedAgo time.Duration
	// Source is the name of the entry that told the records, empty for the store.
	Source string
}

// Store is the source of the topic. Newest returns the newest record of every key that exists, and Read the records from
// an offset on; Read fails with ErrExpired if these are no longer retained.
type Store interface {
	Newest(ctx context.Context, topic string) (Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
}

// Peers gives access to the other entries.
type Peers interface {
	// Ask requests the records of a topic from an offset of an era on from one of them, or all that it has if it knows a later era.
	Ask(ctx context.Context, topic string, era, from int64) (Page, error)
	// OthersRead reports whether enough others read the store, so that this entry does not have to.
	OthersRead() bool
}

// Change carries the records that are new, or with Full those of all keys. Outage says that removals among
// them may be leases that expired while the store was unavailable.
type Change struct {
	Records []Record
	Full    bool
	Outage  bool
	// Source is the name of the entry that told the records, empty for the store.
	Source string
	// Returned is when the store came back from an outage in which leases may have expired, zero if that is long past.
	Returned time.Time
	// NewEra is set when the store has come back from an older copy. Unwritten lists the keys whose records were lost with it and are kept until they are written again.
	NewEra    bool
	Unwritten []string
}

// Options configures a Tailer; OnChange is called by one goroutine at a time. DropIdle closes the connections to the store that are not in use, since they may be silent; it may be nil. ChangeLimit returns the time within which records must be known everywhere, and OnStale counts that the store is read because of it; both may be nil. AnsweredOthers reports whether the store has answered another entry all through a time that ends now; it may be nil. UnwrittenTTL is how long a record that was lost with an older copy of the store is kept unless it is written again.
type Options struct {
	Topic        string
	UnwrittenTTL time.Duration
	Store        Store
	Peers        Peers
	Clock        clockwork.Clock
	Logger       *logrus.Entry
	OnChange     func(cha Change)
	DropIdle     func()
	ChangeLimit  func() time.Duration
	OnStale      func()

	AnsweredOthers func(ctx context.Context, topic string, within time.Duration) bool
}

// Tailer follows one topic; it is safe for concurrent use.
type Tailer struct {
	opt      Options
	mux      sync.Mutex
	newest   map[string]storedRecord
	era      int64
	eraBegan time.Time
	end      int64
	known    bool
	// removalsFrom is the offset from which all removals are known; earlier ones may be unknown or forgotten.
	removalsFrom int64
	// peerEra and peerEnd are the latest position up to which another entry has read the topic.
	peerEra int64
	peerEnd int64
	// confirmedAt is a time before which the store had accepted no records but the known ones. announced is what another entry has confirmed beyond them, and readOnceAt when this entry last read the store although others read it, and readOnceFailures how many of these reads have failed in a row.
	confirmedAt      time.Time
	announced        confirmation
	readOnceAt       time.Time
	readOnceFailures int
	// behindSince is since when another entry has read more, zero if none has, and behindLogged whether that was logged.
	behindSince  time.Time
	behindLogged bool
	contact      time.Time
	// answeredSince is from when on the store has answered this entry without a gap in which leases may expire.
	answeredSince time.Time
	outageEnd     time.Time
	failed        bool
	// readAt is when the present read of the store began, outageBegan when the first one that failed did, and returned when the store last answered again after minOutage.
	readAt      time.Time
	outageBegan time.Time
	returned    time.Time
	peerAhead   chan struct{}
	readSoon    chan struct{}
}

type storedRecord struct {
	Record
	at time.Time
	// earlier holds the last versions of the key before this one.
	earlier []version
	// older is the record of a later era that was not taken because it is an earlier version, nil if there is none.
	older *Record
}

// New returns a tailer that has not read anything yet.
func New(opt Options) *Tailer {
	return &Tailer{opt: opt, newest: map[string]storedRecord{}, peerAhead: make(chan struct{}, 1), readSoon: make(chan struct{}, 1)}
}

// Run follows the topic until the context ends. It reads the whole topic from the store first, since the links of the few entries that read it for all could not bear to send it to hundreds of others at once.
func (tai *Tailer) Run(ctx context.Context) {
	othersRead := true
	wait := readWait
	for ctx.Err() == nil {
		tai.logBehind()
		if now := tai.Known() && tai.opt.Peers.OthersRead(); now != othersRead {
			othersRead = now
			if othersRead {
				tai.forgetFailure()
			}
			// The connection to the store may have gone silent while it was not in use.
			wait = 0
			tai.opt.Logger.WithFields(logrus.Fields{"topic": tai.opt.Topic, "reads": !othersRead}).Info("source of a topic changed")
		}
		if othersRead {
			tai.followPeers(ctx)
			continue
		}
		err := tai.step(ctx, wait)
		wait = readWait
		pause := batchDelay
		if err != nil {
			tai.noteFailure(err)
			for range asksBeforeRead {
				if tai.askPeer(ctx) || !tai.isBehindPeer() {
					break
				}
			}
			if !tai.isBehindPeer() {
				pause = retryAfter
			}
		}
		select {
		case <-ctx.Done():
		case <-tai.opt.Clock.After(pause):
		}
	}
}

// Known reports whether the topic has been read once.
func (tai *Tailer) Known() bool {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	return tai.known
}

// IsBehind reports whether another entry that has read the topic up to an offset of an era knows more.
func (tai *Tailer) IsBehind(era, end int64) bool {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	return isLater(era, end, tai.era, tai.end)
}

// isLater reports whether a position in the topic is later than another one.
func isLater(era, end, otherEra, otherEnd int64) bool {
	return era > otherEra || era == otherEra && end > otherEnd
}

// NotifyEnd reports that another entry has read the topic up to an offset of an era.
func (tai *Tailer) NotifyEnd(era, end int64) {
	if !tai.IsBehind(era, end) {
		return
	}
	tai.mux.Lock()
	if isLater(era, end, tai.peerEra, tai.peerEnd) {
		tai.peerEra, tai.peerEnd = era, end
	}
	if tai.behindSince.IsZero() {
		tai.behindSince = tai.opt.Clock.Now()
	}
	tai.mux.Unlock()
	select {
	case tai.peerAhead <- struct{}{}:
	default:
	}
}

// ReadSoon has the topic read from the store once, although other entries read it.
func (tai *Tailer) ReadSoon() {
	select {
	case tai.readSoon <- struct{}{}:
	default:
	}
}

// End returns the era and the offset up to which the topic is known.
func (tai *Tailer) End() (era, end int64) {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	return tai.era, tai.end
}

// isBehindPeer reports whether another entry has read more of the topic.
func (tai *Tailer) isBehindPeer() bool {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	return isLater(tai.peerEra, tai.peerEnd, tai.era, tai.end)
}

// logBehind logs once that other entries have known more of the topic for a while, and when this entry knows it, too.
func (tai *Tailer) logBehind() {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	if tai.behindSince.IsZero() {
		return
	}
	behindFor := tai.opt.Clock.Since(tai.behindSince)
	log := tai.opt.Logger.WithFields(logrus.Fields{
		"topic": tai.opt.Topic, "era": tai.era, "end": tai.end, "peer_era": tai.peerEra, "peer_end": tai.peerEnd, "behind_for_ms": behindFor.Milliseconds(),
	})
	switch {
	case !isLater(tai.peerEra, tai.peerEnd, tai.era, tai.end):
		if tai.behindLogged {
			log.Info("newer records of other entries received")
		}
		tai.behindSince, tai.behindLogged = time.Time{}, false
	case behindFor >= logBehindAfter && !tai.behindLogged:
		log.Warn("other entries have newer records")
		tai.behindLogged = true
	}
}

// followPeers waits until another entry has read newer records, and requests them from entries. If none can tell them all, it reads the store: datagrams may arrive from entries that this one cannot call, or that do not know all removals.
func (tai *Tailer) followPeers(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-tai.peerAhead:
		for range asksBeforeRead {
			if !tai.isBehindPeer() || tai.askPeer(ctx) {
				return
			}
			if tai.isStale() {
				break
			}
		}
		tai.readOnce(ctx)
	case <-tai.readSoon:
		// A read that failed is repeated later, so that hundreds of entries do not ask for more while the store is down.
		if _, limited := tai.untilStale(); !limited || !tai.lastReadFailed() {
			tai.readOnce(ctx)
		}
	case <-tai.opt.Clock.After(tai.followWait()):
		if tai.isStale() {
			tai.readStale(ctx)
		}
		tai.expireUnwritten()
	}
}

// Step reads the store once; it reads the whole topic if nothing is known yet or the next records have expired.
func (tai *Tailer) Step(ctx context.Context) error {
	return tai.step(ctx, readWait)
}

func (tai *Tailer) step(ctx context.Context, wait time.Duration) error {
	if err := tai.read(ctx, wait); err != nil {
		return err
	}
	tai.expireUnwritten()
	return nil
}

func (tai *Tailer) read(ctx context.Context, wait time.Duration) error {
	tai.noteRead()
	for tai.Known() {
		era, from := tai.End()
		pag, err := tai.readPage(ctx, from, wait)
		if err != nil && !errors.Is(err, ErrExpired) {
			return err
		}
		if err != nil || pag.Era != era {
			tai.opt.Logger.WithFields(logrus.Fields{"topic": tai.opt.Topic, "from": from}).Info("requested records have expired; reading the whole topic")
			break
		}
		tai.noteAnswer(ctx)
		tai.apply(pag, false)
		if !pag.More {
			tai.noteSuccess(tai.answeredAt(pag, wait))
			return nil
		}
		if len(pag.Records) == 0 {
			return nil
		}
		tai.opt.Logger.WithFields(logrus.Fields{"topic": tai.opt.Topic, "from": from, "next": pag.End}).Info("the store cut a page, reading on")
	}
	pag, err := tai.opt.Store.Newest(ctx, tai.opt.Topic)
	if err != nil {
		return err
	}
	tai.noteAnswer(ctx)
	tai.apply(pag, true)
	tai.noteSuccess(tai.readBegan())
	return nil
}

// readBegan returns when the present read of the store began.
func (tai *Tailer) readBegan() time.Time {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	return tai.readAt
}

// answer is the outcome of one read of the store.
type answer struct {
	Page
	err error
}

// readPage reads records from the store. If a read that need not wait for records gets no answer for a while, or another entry has told of newer ones meanwhile, the connection to the store may be silent: it asks entries for them, and reads a second time on another connection.
func (tai *Tailer) readPage(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, 2)
	read := func(wait time.Duration) {
		pag, err := tai.opt.Store.Read(ctx, tai.opt.Topic, from, wait)
		answers <- answer{pag, err}
	}
	running := 1
	go read(wait)
	ahead := tai.peerAhead
	var behind, late <-chan time.Time
	// After a failed read the connection is a new one.
	if wait == 0 && !tai.lastReadFailed() {
		tim := tai.opt.Clock.NewTimer(pollGrace)
		defer tim.Stop()
		late = tim.Chan()
	}
	repeated := false
	readAgain := func() {
		if repeated {
			return
		}
		repeated = true
		tai.dropIdle()
		running++
		// A wait gives a slow store more time for its answer.
		go read(readWait)
	}
	for {
		select {
		case <-ahead:
			ahead, behind = nil, tai.opt.Clock.After(pollGrace)
		case <-behind:
			if tai.isBehindPeer() && !tai.askPeer(ctx) {
				readAgain()
			}
		case <-late:
			readAgain()
		case ans := <-answers:
			running--
			if ans.err == nil || running == 0 {
				return ans.Page, ans.err
			}
		}
	}
}

// dropIdle closes the connections to the store that are not in use.
func (tai *Tailer) dropIdle() {
	if tai.opt.DropIdle != nil {
		tai.opt.DropIdle()
	}
}

// Since returns the newest records from an offset of an era on, including removals, or all of them if the era is over; it
// fails with errors.NotFound before the topic has been read and for an era that this entry does not know. The page ends
// where it begins if this entry does not know all removals since.
func (tai *Tailer) Since(era, from int64) (Page, error) {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	if !tai.known || era > tai.era {
		return Page{}, errors.NotFoundf("tailer: topic %s of era %d", tai.opt.Topic, era)
	}
	out := Page{Era: tai.era, End: tai.end, Outage: tai.inOutage()}
	if now := tai.opt.Clock.Now(); !tai.recentReturn(now).IsZero() {
		out.Returned, out.ReturnedAgo = true, now.Sub(tai.returned)
	}
	if knowsNothing := from == 0; era == tai.era && from < tai.removalsFrom && !knowsNothing {
		out.End = from
	}
	for _, sto := range tai.newest {
		if era < tai.era || sto.Era == tai.era && sto.Offset >= from {
			rec := sto.Record
			rec.KnownFor += tai.opt.Clock.Since(sto.at)
			out.Records = append(out.Records, rec)
		}
		if era < tai.era && sto.older != nil {
			out.Older = append(out.Older, *sto.older)
		}
	}
	return out, nil
}

// Age returns how long ago the store last confirmed that the state is up to date; known is false if it never did or if
// the last read failed.
func (tai *Tailer) Age() (age time.Duration, known bool) {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	return tai.opt.Clock.Since(tai.contact), !tai.contact.IsZero() && !tai.failed
}

// askPeer requests newer records from another entry, and reports whether more of the topic is known then.
func (tai *Tailer) askPeer(ctx context.Context) bool {
	era, from := tai.End()
	ctx, cancel := context.WithTimeout(ctx, retryAfter)
	defer cancel()
	pag, err := tai.opt.Peers.Ask(ctx, tai.opt.Topic, era, from)
	if err != nil {
		tai.opt.Logger.WithError(err).WithField("topic", tai.opt.Topic).Info("no entry could tell the newest records")
		return false
	}
	tai.apply(pag, false)
	return isLater(pag.Era, pag.End, era, from)
}

// apply stores the records of a page that are newer than the known ones, and passes them to OnChange. The first page of a later era must have all keys.
func (tai *Tailer) apply(pag Page, full bool) {
	tai.mux.Lock()
	now := tai.opt.Clock.Now()
	if pag.Era < tai.era || full && pag.Era == tai.era && pag.End < tai.end {
		tai.mux.Unlock()
		return
	}
	// A return that was told a little later is the same one.
	if back := now.Add(-pag.ReturnedAgo); pag.Returned && back.Sub(tai.returned) >= minOutage {
		tai.returned = back
	}
	if tai.known && pag.Era > tai.era {
		cha := tai.beginEra(pag, now)
		tai.takeAnnounced()
		cha.Returned = tai.recentReturn(now)
		tai.mux.Unlock()
		tai.opt.OnChange(cha)
		return
	}
	cha := Change{Full: full, Outage: pag.Outage || tai.inOutage(), Source: pag.Source}
	cha.Returned = tai.recentReturn(now)
	// Another entry tells the newest records only to one that has none.
	if full || !tai.known || tai.end == 0 {
		tai.removalsFrom = pag.End
	}
	if full {
		tai.markRemoved(pag, now)
	}
	for _, rec := range pag.Records {
		if rec.Key != "" && tai.take(rec, full, now) {
			cha.Records = append(cha.Records, rec)
		}
	}
	first := !tai.known
	tai.era, tai.end, tai.known = pag.Era, max(tai.end, pag.End), true
	tai.takeAnnounced()
	if tai.takeOlder(pag); first && tai.hasUnwritten() {
		tai.eraBegan = now
	}
	for key, sto := range tai.newest {
		// The store may have a record instead of a removal of an earlier era.
		if sto.Value == nil && sto.Era == tai.era && now.Sub(sto.at) > removalRetention {
			delete(tai.newest, key)
			tai.removalsFrom = max(tai.removalsFrom, sto.Offset+1)
		}
	}
	tai.mux.Unlock()
	if full || len(cha.Records) > 0 {
		tai.opt.OnChange(cha)
	}
}

// markRemoved marks the keys as removed that a full page does not list.
func (tai *Tailer) markRemoved(pag Page, now time.Time) {
	listed := map[string]bool{}
	for _, rec := range pag.Records {
		listed[rec.Key] = true
	}
	for key, sto := range tai.newest {
		if !listed[key] && sto.Era < pag.Era {
			sto.older = nil
			tai.newest[key] = sto
			continue
		}
		if !listed[key] && sto.Value != nil {
			tai.newest[key] = storedRecord{Record: Record{Key: key, Era: pag.Era, Offset: max(pag.End-1, sto.Offset)}, at: now}
		}
	}
}

func (tai *Tailer) noteRead() {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	tai.readAt = tai.opt.Clock.Now()
}

// noteSuccess records that the store has answered, and that it had nothing behind the known records at a time.
func (tai *Tailer) noteSuccess(at time.Time) {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	now := tai.opt.Clock.Now()
	if tai.failed {
		tai.opt.Logger.WithFields(logrus.Fields{"topic": tai.opt.Topic, "end": tai.end}).Info("store regained")
		tai.outageEnd = now
	}
	if tai.contact.IsZero() || now.Sub(tai.contact) >= minOutage {
		tai.answeredSince = now
	}
	tai.failed, tai.contact = false, now
	tai.confirm(at)
}
