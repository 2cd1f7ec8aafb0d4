package loader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/generator"
)

const (
	maxIdleConnsPerHost = 2048
	connectTimeout      = time.Second
	maxConcurrent       = 8192
)

// Kinds of requests: compose, summarize and crash go to a model, the others to a service; issued calls have a key with the prefix of an entry, claimed calls a key of the caller.
const (
	KindCompose   = "compose"
	KindSummarize = "summarize"
	KindFetch     = "fetch"
	KindIssued    = "issued"
	KindClaimed   = "claimed"
	KindCrash     = "crash"
)

// Share is one part of a weighted mix.
type Share struct {
	Name   string
	Weight float64
}

// Options describe a load; Rate is the mean number of arrivals per second, Deadline the latest time for a complete answer, and Fresh gives each crashing request different content.
type Options struct {
	Entries    []string
	Kinds      []Share
	Workspaces []Share
	Rate       float64
	Duration   time.Duration
	Deadline   time.Duration
	MaxTokens  int
	Seed       uint64
	Fresh      bool
	Cells      int
	Service    string
	Clock      clockwork.Clock
}

// Sample is the result of one request; At is its arrival time since the start of the load, FirstToken and Duration are the times from sending to the first token and to the end.
type Sample struct {
	At         time.Duration
	Kind       string
	Workspace  string
	Key        string
	Outcome    string
	FirstToken time.Duration
	Duration   time.Duration
	Tokens     int
}

// Loader sends one load with exponentially distributed times between arrivals.
type Loader struct {
	opt Options
	cli *http.Client
	loc *locationCache
	rng *rand.Rand

	mtx     sync.Mutex
	samples []Sample
}

// New returns a loader.
func New(opt Options) *Loader {
	dia := &net.Dialer{Timeout: connectTimeout}
	cli := &http.Client{Transport: &http.Transport{DialContext: dia.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerHost}}
	return &Loader{opt: opt, cli: cli, loc: newLocationCache(opt.Entries, opt.Clock), rng: rand.New(rand.NewPCG(opt.Seed, opt.Seed))}
}

// Run sends the load and returns a sample for each request once the last one has ended.
func (loa *Loader) Run(ctx context.Context) []Sample {
	begun := loa.opt.Clock.Now()
	open := make(chan struct{}, maxConcurrent)
	var wai sync.WaitGroup
	at := time.Duration(0)
	for num := 0; ctx.Err() == nil; num++ {
		at += time.Duration(loa.rng.ExpFloat64() / loa.opt.Rate * float64(time.Second))
		if at >= loa.opt.Duration {
			break
		}
		tas := task{num: num, at: at, kind: pickWeighted(loa.rng, loa.opt.Kinds), workspace: pickWeighted(loa.rng, loa.opt.Workspaces), promptSeed: loa.rng.Uint64()}
		loa.opt.Clock.Sleep(at - loa.opt.Clock.Since(begun))
		open <- struct{}{}
		wai.Add(1)
		go func() {
			defer wai.Done()
			loa.record(loa.send(ctx, tas))
			<-open
		}()
	}
	wai.Wait()
	return loa.samples
}

type task struct {
	num        int
	at         time.Duration
	kind       string
	workspace  string
	promptSeed uint64
}

func (loa *Loader) record(sam Sample) {
	loa.mtx.Lock()
	defer loa.mtx.Unlock()
	loa.samples = append(loa.samples, sam)
}

func (loa *Loader) send(ctx context.Context, tas task) Sample {
	sam := Sample{At: tas.at, Kind: tas.kind, Workspace: tas.workspace}
	ctx, stop := context.WithTimeout(ctx, 2*loa.opt.Deadline)
	defer stop()
	begun := loa.opt.Clock.Now()
	switch tas.kind {
	case KindFetch, KindIssued, KindClaimed:
		loa.call(ctx, tas, &sam)
	default:
		loa.ask(ctx, tas, &sam, begun)
	}
	sam.Duration = loa.opt.Clock.Since(begun)
	if sam.Outcome == OutcomeComplete && sam.Duration > loa.opt.Deadline {
		sam.Outcome = OutcomeLate
	}
	return sam
}

func pickWeighted(rng *rand.Rand, shares []Share) string {
	sum := 0.0
	for _, sha := range shares {
		sum += sha.Weight
	}
	left := rng.Float64() * sum
	for _, sha := range shares {
		left -= sha.Weight
		if left < 0 {
			return sha.Name
		}
	}
	return shares[len(shares)-1].Name
}

// model returns the model for a request, which depends on the cell of its workspace.
func (loa *Loader) model(tas task) string {
	if tas.kind == KindSummarize {
		return "log-summarizer"
	}
	for num, sha := range loa.opt.Workspaces {
		if sha.Name == tas.workspace {
			return generator.ComposerModel(num%loa.opt.Cells, loa.opt.Cells)
		}
	}
	return generator.ComposerModel(0, loa.opt.Cells)
}

func (loa *Loader) prompt(tas task) string {
	switch {
	case tas.kind != KindCrash:
		return fmt.Sprintf("Compose scene %d for %s.", tas.promptSeed%1000, tas.workspace)
	case loa.opt.Fresh:
		return fmt.Sprintf("crash-the-engine %s %d", tas.workspace, tas.num)
	default:
		return "crash-the-engine " + tas.workspace
	}
}
