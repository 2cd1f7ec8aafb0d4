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

// Windows of issued keys: new keys are run in the current and the previous window, outcomes are kept longer.
const (
	WindowsRun  = 2
	WindowsKept = 4
)

// OriginKept bounds for how long an adopted incarnation is answered for.
const OriginKept = 24 * time.Hour

// Settings of a Claimer; zero fields take their defaults.
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

// The defaults of Settings; sizes are in bytes.
const (
	DefaultWindow       = 5 * time.Minute
	DefaultMaxKeys      = 100_000
	DefaultMaxBytes     = 128 << 20
	DefaultMaxOutcome   = 64 << 10
	DefaultBatchKeys    = 64
	DefaultBatchWait    = 20 * time.Millisecond
	DefaultReadBackWait = 2 * time.Second
	pruneEvery          = 5 * time.Second
)

// Members tells which incarnations are live and who holds the outcomes of those that left.
type Members interface {
	Live(incarnation string) bool
	Successor(incarnation string) (string, bool)
}

// Claims is the fold of the log as this entry has it; it must not call the Claimer.
type Claims interface {
	Claim(key string) (reducer.Claim, bool)
	Claimable(issuedMS int64) bool
	WaitFolded(ctx context.Context, recordID string) (int64, error)
}

// Appender appends a record to the log; an error leaves it open whether it landed.
type Appender interface {
	Append(ctx context.Context, rec recorder.Record) error
}

// Claimer decides which calls with an idempotency key this incarnation runs and keeps their outcomes.
type Claimer struct {
	set Settings
	clk clockwork.Clock
	mem Members
	fol Claims
	app Appender
	own origin

	mu      sync.Mutex
	tab     table
	origins map[string]origin
	handed  bool
	pending *batch
	pruned  time.Time
	stats   Stats
}

// Stats counts what a Claimer holds now, and what it has appended since it began.
type Stats struct {
	Keys    int
	Bytes   int
	Appends int64
	Claims  int64
	GivenUp int64
}

// New returns the Claimer of one incarnation.
func New(set Settings, clk clockwork.Clock, mem Members, fol Claims, app Appender) *Claimer {
	set = set.withDefaults()
	now := clk.Now()
	own := origin{start: now, window: set.Window}
	return &Claimer{
		set: set, clk: clk, mem: mem, fol: fol, app: app, own: own, pruned: now,
		tab:     table{entries: map[string]*entry{}, maxKeys: set.MaxKeys, maxBytes: set.MaxBytes, reserve: set.MaxOutcome},
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

// Prefix returns the prefix of the keys that this incarnation issues now.
func (cla *Claimer) Prefix() string {
	return cla.set.Name + "." + cla.set.Incarnation + "." + strconv.FormatInt(cla.Window(), 10)
}

// Window returns the number of the current window on this incarnation's clock.
func (cla *Claimer) Window() int64 {
	return cla.own.at(cla.clk.Now())
}

// Stats returns the counts of now.
func (cla *Claimer) Stats() Stats {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	sta := cla.stats
	sta.Keys, sta.Bytes = len(cla.tab.entries), cla.tab.bytes
	return sta
}

// Begin decides on one send of a key; fpr identifies the request, and the error is a *Refusal.
//
// After VerdictRun the caller must call Finish once, whatever happens.
func (cla *Claimer) Begin(ctx context.Context, text, fpr string) (Decision, error) {
	key, err := ParseKey(text)
	if err != nil {
		return Decision{}, err
	}
	for {
		ste, ref := cla.step(key, fpr)
		if ref != nil {
			return Decision{}, ref
		}
		switch {
		case ste.wait != nil:
			ref = await(ctx, ste.wait)
		case ste.claim != nil:
			ste.dec, ref = cla.claim(ctx, ste.claim)
		}
		if ref != nil {
			return Decision{}, ref
		}
		if ste.dec.Verdict != "" {
			return ste.dec, nil
		}
	}
}

// Finish records how the call of a key ended; StateNotRun frees the key, since nothing was handed over.
func (cla *Claimer) Finish(text string, out Outcome) {
	key, err := ParseKey(text)
	if err != nil {
		panic("claimer: finish of a key that never ran")
	}
	cla.mu.Lock()
	defer cla.mu.Unlock()
	ent, known := cla.tab.entries[key.Text]
	if !known || ent.out.State != StateRunning {
		panic("claimer: finish of a key that is not running")
	}
	if out.State == StateNotRun {
		cla.tab.giveUp(ent, refuse(KindNotRun, "no backend server took the call"))
		return
	}
	cla.tab.finish(ent, out)
}

// prune forgets the outcomes of keys that nobody runs any more.
func (cla *Claimer) prune() {
	now := cla.clk.Now()
	if now.Sub(cla.pruned) < pruneEvery {
		return
	}
	cla.pruned = now
	for _, ent := range cla.tab.entries {
		ended := ent.out.State == StateDone || ent.out.State == StateUnknown
		if ended && cla.over(ent, now) {
			cla.tab.remove(ent)
		}
	}
	for inc, ori := range cla.origins {
		if ori.adopted && now.Sub(ori.since) > OriginKept {
			delete(cla.origins, inc)
		}
	}
}

// over reports whether nobody runs a key any more; a key that the fold has not seen claimable may still be ahead of it.
func (cla *Claimer) over(ent *entry, now time.Time) bool {
	if !ent.key.Logged {
		ori, here := cla.origins[ent.key.Incarnation]
		return !here || ent.key.Window <= ori.at(now)-WindowsKept
	}
	if cla.fol.Claimable(ent.key.IssuedMS) {
		ent.claimable = true
		return false
	}
	return ent.claimable || now.Sub(ent.adopted) > OriginKept
}
