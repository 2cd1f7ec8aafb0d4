package claimer

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

// Windows of issued keys: a new key is accepted in the current and the previous window, and outcomes are kept for more windows.
const (
	RunnableWindows = 2
	RetainedWindows = 4
)

// AdoptedOriginTTL is how long a Claimer answers for the keys of an incarnation whose table it adopted.
const AdoptedOriginTTL = 24 * time.Hour

// Settings configures a Claimer; zero fields take their defaults.
type Settings struct {
	Name         string
	Incarnation  string
	Window       time.Duration
	MaxKeys      int
	MaxBytes     int
	MaxOutcome   int
	BatchKeys    int
	BatchWait    time.Duration
	ReadBackWait time.Duration
}

// Default values of Settings; sizes are in bytes.
const (
	DefaultWindow       = 5 * time.Minute
	DefaultMaxKeys      = 100_000
	DefaultMaxBytes     = 128 << 20
	DefaultMaxOutcome   = 64 << 10
	DefaultBatchKeys    = 64
	DefaultBatchWait    = 20 * time.Millisecond
	DefaultReadBackWait = 2 * time.Second
	pruneInterval       = 5 * time.Second
)

// Members reports which incarnations are live and which one took over the outcomes of an incarnation that left.
type Members interface {
	Live(incarnation string) bool
	Successor(incarnation string) (string, bool)
}

// Claims reads the state that this entry has built from the replicated log; implementations must not call the Claimer.
type Claims interface {
	Claim(key string) (reducer.Claim, bool)
	Claimable(issuedMS int64) bool
	WaitApplied(ctx context.Context, recordID string) (int64, error)
}

// Appender appends a record to the replicated log; after an error the record may or may not have been appended.
type Appender interface {
	Append(ctx context.Context, rec recorder.Record) error
}

// Claimer decides which calls with an idempotency key this incarnation runs, and keeps their outcomes.
type Claimer struct {
	set      Settings
	clk      clockwork.Clock
	members  Members
	claims   Claims
	appender Appender
	own      origin

	mu         sync.Mutex
	tab        table
	origins    map[string]origin
	handedOver bool
	pending    *batch
	lastPrune  time.Time
	stats      Stats
}

// Stats holds the current size of the table, in keys and bytes, and counters since the Claimer was created.
type Stats struct {
	Keys            int
	Bytes           int
	Appends         int64
	Claims          int64
	AbandonedClaims int64
}

// New returns a Claimer for one incarnation of an entry.
func New(set Settings, clk clockwork.Clock, mem Members, fol Claims, app Appender) *Claimer {
	set = set.withDefaults()
	now := clk.Now()
	own := origin{start: now, window: set.Window}
	return &Claimer{
		set: set, clk: clk, members: mem, claims: fol, appender: app, own: own, lastPrune: now,
		tab:     table{entries: map[string]*keyEntry{}, maxKeys: set.MaxKeys, maxBytes: set.MaxBytes, outcomeReserve: set.MaxOutcome},
		origins: map[string]origin{set.Incarnation: own},
	}
}

func (set Settings) withDefaults() Settings {
	orDefault(&set.Window, DefaultWindow)
	orDefault(&set.MaxKeys, DefaultMaxKeys)
	orDefault(&set.MaxBytes, DefaultMaxBytes)
	orDefault(&set.MaxOutcome, DefaultMaxOutcome)
	orDefault(&set.BatchKeys, DefaultBatchKeys)
	orDefault(&set.BatchWait, DefaultBatchWait)
	orDefault(&set.ReadBackWait, DefaultReadBackWait)
	return set
}

func orDefault[T comparable](val *T, def T) {
	var zero T
	if *val == zero {
		*val = def
	}
}

// Prefix returns the prefix of the keys that this incarnation issues in the current window.
func (cla *Claimer) Prefix() string {
	return cla.set.Name + "." + cla.set.Incarnation + "." + strconv.FormatInt(cla.Window(), 10)
}

// Window returns the number of the current window, counted from the start of this incarnation by its own clock.
func (cla *Claimer) Window() int64 {
	return cla.own.windowAt(cla.clk.Now())
}

// Stats returns the current counts.
func (cla *Claimer) Stats() Stats {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	sta := cla.stats
	sta.Keys, sta.Bytes = len(cla.tab.entries), cla.tab.bytes
	return sta
}

// Begin decides what to do with one send of a key; fpr is the fingerprint of the request, and the error is a *Refusal.
//
// After VerdictRun the caller must call Finish exactly once, on every path.
func (cla *Claimer) Begin(ctx context.Context, text, fpr string) (Decision, error) {
	key, err := ParseKey(text)
	if err != nil {
		return Decision{}, err
	}
	for {
		res, ref := cla.decide(key, fpr)
		if ref != nil {
			return Decision{}, ref
		}
		switch {
		case res.waitFor != nil:
			ref = waitSettled(ctx, res.waitFor)
		case res.claimFor != nil:
			res.decision, ref = cla.appendClaim(ctx, res.claimFor)
		}
		if ref != nil {
			return Decision{}, ref
		}
		if res.decision.Verdict != "" {
			return res.decision, nil
		}
	}
}

// Finish records the outcome of the call of a key; StateNotRun releases the key, since no backend server received the call.
func (cla *Claimer) Finish(text string, out Outcome) {
	key, err := ParseKey(text)
	if err != nil {
		panic("claimer: finish of an invalid key")
	}
	cla.mu.Lock()
	defer cla.mu.Unlock()
	ent, known := cla.tab.entries[key.Text]
	if !known || ent.out.State != StateRunning {
		panic("claimer: finish of a key that is not running")
	}
	if out.State == StateNotRun {
		cla.tab.abandon(ent, refuse(KindNotRun, "no backend server accepted the call"))
		return
	}
	cla.tab.finish(ent, out)
}

// prune removes the outcomes of expired keys and the origins adopted longer than AdoptedOriginTTL ago, at most once per pruneInterval.
func (cla *Claimer) prune() {
	now := cla.clk.Now()
	if now.Sub(cla.lastPrune) < pruneInterval {
		return
	}
	cla.lastPrune = now
	for _, ent := range cla.tab.entries {
		ended := ent.out.State == StateDone || ent.out.State == StateUnknown
		if ended && cla.expired(ent, now) {
			cla.tab.remove(ent)
		}
	}
	for inc, ori := range cla.origins {
		if ori.adopted && now.Sub(ori.adoptedAt) > AdoptedOriginTTL {
			delete(cla.origins, inc)
		}
	}
}

// expired reports whether no incarnation accepts the key any more. A client key that this entry has not yet seen as claimable
// may be newer than the applied log, and is kept until AdoptedOriginTTL after its adoption.
func (cla *Claimer) expired(ent *keyEntry, now time.Time) bool {
	if !ent.key.ClientGenerated {
		ori, found := cla.origins[ent.key.Incarnation]
		return !found || ent.key.Window <= ori.windowAt(now)-RetainedWindows
	}
	if cla.claims.Claimable(ent.key.IssuedMS) {
		ent.wasClaimable = true
		return false
	}
	return ent.wasClaimable || now.Sub(ent.adoptedAt) > AdoptedOriginTTL
}
