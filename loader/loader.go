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
	idlePerHost    = 2048
	connectTimeout = time.Second
	maxOpen        = 8192
)

// Kinds of work.
const (
	KindCompose   = "compose"
	KindSummarize = "summarize"
	KindFetch     = "fetch"
	KindIssued    = "issued"
	KindClaimed   = "claimed"
	KindCrash     = "crash"
)

// Share is a name with its weight in a mix.
type Share struct {
	Name   string
	Weight float64
}

// Options describe a load; Rate counts arrivals in a second, and Fresh makes each send of a crashing request differ in its content.
type Options struct {
	Entries    []string
	Kinds      []Share
	Workspaces []Share
	Rate       float64
	For        time.Duration
	Deadline   time.Duration
	MaxTokens  int
	Seed       uint64
	Fresh      bool
	Cells      int
	Service    string
	Clock      clockwork.Clock
}

// Sample is how one request ended; At is when it arrived after the start.
type Sample struct {
	At        time.Duration
	Kind      string
	Workspace string
	Key       string
	Outcome   string
	First     time.Duration
	Took      time.Duration
	Tokens    int
}

// Loader sends one load.
type Loader struct {
	opt Options
	cli *http.Client
	loc *locations
	rng *rand.Rand

	mtx  sync.Mutex
	sams []Sample
}

// New returns a loader.
func New(opt Options) *Loader {
	dia := &net.Dialer{Timeout: connectTimeout}
	cli := &http.Client{Transport: &http.Transport{DialContext: dia.DialContext, MaxIdleConnsPerHost: idlePerHost}}
	return &Loader{opt: opt, cli: cli, loc: newLocations(opt.Entries, opt.Clock), rng: rand.New(rand.NewPCG(opt.Seed, opt.Seed))}
}

// Run sends the load and returns a sample for each request, after the last one ended.
func (loa *Loader) Run(ctx context.Context) []Sample {
	begun := loa.opt.Clock.Now()
	open := make(chan struct{}, maxOpen)
	var wai sync.WaitGroup
	at := time.Duration(0)
	for num := 0; ctx.Err() == nil; num++ {
		at += time.Duration(loa.rng.ExpFloat64() / loa.opt.Rate * float64(time.Second))
		if at >= loa.opt.For {
			break
		}
		tas := task{num: num, at: at, kind: pick(loa.rng, loa.opt.Kinds), workspace: pick(loa.rng, loa.opt.Workspaces), salt: loa.rng.Uint64()}
		loa.opt.Clock.Sleep(at - loa.opt.Clock.Since(begun))
		open <- struct{}{}
		wai.Add(1)
		go func() {
			defer wai.Done()
			loa.note(loa.send(ctx, tas))
			<-open
		}()
	}
	wai.Wait()
	return loa.sams
}

type task struct {
	num       int
	at        time.Duration
	kind      string
	workspace string
	salt      uint64
}

func (loa *Loader) note(sam Sample) {
	loa.mtx.Lock()
	defer loa.mtx.Unlock()
	loa.sams = append(loa.sams, sam)
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
	sam.Took = loa.opt.Clock.Since(begun)
	if sam.Outcome == OutcomeWhole && sam.Took > loa.opt.Deadline {
		sam.Outcome = OutcomeLate
	}
	return sam
}

func pick(rng *rand.Rand, shares []Share) string {
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

// model returns the model that a request asks, which depends on the workspace's cell.
func (loa *Loader) model(tas task) string {
	if tas.kind == KindSummarize {
		return "log-summarizer"
	}
	for num, sha := range loa.opt.Workspaces {
		if sha.Name == tas.workspace {
			return generator.Composer(num%loa.opt.Cells, loa.opt.Cells)
		}
	}
	return generator.Composer(0, loa.opt.Cells)
}

func (loa *Loader) prompt(tas task) string {
	switch {
	case tas.kind != KindCrash:
		return fmt.Sprintf("Compose scene %d for %s.", tas.salt%1000, tas.workspace)
	case loa.opt.Fresh:
		return fmt.Sprintf("crash-the-engine %s %d", tas.workspace, tas.num)
	default:
		return "crash-the-engine " + tas.workspace
	}
}
