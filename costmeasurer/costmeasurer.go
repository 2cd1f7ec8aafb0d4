package costmeasurer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/copier"
	"github.com/lovagelever/lovagelever/enginefaker"
	"github.com/lovagelever/lovagelever/generator"
	"github.com/lovagelever/lovagelever/loader"
	"github.com/lovagelever/lovagelever/requester"
	"github.com/lovagelever/lovagelever/sampler"
)

// Paths of a request to the engines.
const (
	WayDirect = "direct"
	WayCopy   = "copy"
	WayEntry  = "entry"
)

const (
	model               = "scene-composer"
	maxIdleConnsPerHost = 1024
)

// Options name the path to measure, the address of the copier and the file that lists the processes.
type Options struct {
	Entries     []string
	Way         string
	Copier      string
	Processes   string
	Concurrency int
	Duration    time.Duration
	MaxTokens   int
	Clock       clockwork.Clock
}

// Cost is the measured cost of a path; medians are in milliseconds, and CPUPerToken is the CPU time of the entries or the copier in microseconds.
type Cost struct {
	Way         string  `json:"way"`
	Concurrency int     `json:"concurrency"`
	Requests    int     `json:"requests"`
	Failed      int     `json:"failed"`
	Tokens      int     `json:"tokens"`
	FirstMedian float64 `json:"first_token_median_ms"`
	WholeMedian float64 `json:"whole_median_ms"`
	CPUPerToken float64 `json:"processor_us_per_token"`
}

// target is one replica group, or one entry with a workspace.
type target struct {
	address string
	header  http.Header
}

// Measurer sends requests from a fixed number of callers, each of which waits for the end of its last request (closed loop).
type Measurer struct {
	opt Options
	cli *http.Client

	mtx             sync.Mutex
	cost            Cost
	firstTokenTimes []time.Duration
	answerTimes     []time.Duration
}

// New returns a cost measurer.
func New(opt Options) *Measurer {
	return &Measurer{
		opt:  opt,
		cli:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}},
		cost: Cost{Way: opt.Way, Concurrency: opt.Concurrency},
	}
}

// Run measures the path; it fails when the deployment's status or processes can't be read.
func (cos *Measurer) Run(ctx context.Context) (Cost, error) {
	tars, err := cos.targets(ctx)
	if err != nil {
		return Cost{}, err
	}
	before, err := cos.processorTime()
	if err != nil {
		return Cost{}, err
	}
	end := cos.opt.Clock.Now().Add(cos.opt.Duration)
	var wai sync.WaitGroup
	for num := range cos.opt.Concurrency {
		wai.Add(1)
		go func() {
			defer wai.Done()
			for pos := 0; cos.opt.Clock.Now().Before(end) && ctx.Err() == nil; pos++ {
				cos.send(ctx, tars[num%len(tars)], fmt.Sprintf("caller %d, request %d", num, pos))
			}
		}()
	}
	wai.Wait()
	after, err := cos.processorTime()
	if err != nil {
		return Cost{}, err
	}
	cos.cost.FirstMedian, cos.cost.WholeMedian = median(cos.firstTokenTimes), median(cos.answerTimes)
	cos.cost.CPUPerToken = float64((after - before).Microseconds()) / float64(max(1, cos.cost.Tokens))
	return cos.cost, nil
}

func (cos *Measurer) processorTime() (time.Duration, error) {
	prefix := map[string]string{WayDirect: "no process", WayCopy: "copy", WayEntry: "entry-"}[cos.opt.Way]
	pros, err := sampler.Processes(cos.opt.Processes, prefix)
	if err != nil {
		return 0, err
	}
	sum := time.Duration(0)
	for _, pro := range pros {
		used, err := pro.CPUTime()
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}

func (cos *Measurer) targets(ctx context.Context) ([]target, error) {
	req, err := requester.New(cos.opt.Entries)
	if err != nil {
		return nil, err
	}
	if cos.opt.Way == WayEntry {
		return entryTargets(ctx, req)
	}
	return cos.groupTargets(ctx, req)
}

func entryTargets(ctx context.Context, req *requester.Requester) ([]target, error) {
	cur, err := req.Catalog(ctx)
	if err != nil {
		return nil, err
	}
	var out []target
	for num := range len(cur.Catalog.Inventory.Workspaces) {
		name := generator.WorkspaceName(num)
		loc, err := req.Locate(ctx, name, model)
		if err != nil {
			return nil, err
		}
		out = append(out, target{loc.Entry, http.Header{"X-Workspace": {name}}})
	}
	return out, nil
}

func (cos *Measurer) groupTargets(ctx context.Context, req *requester.Requester) ([]target, error) {
	sta, err := req.Status(ctx)
	if err != nil {
		return nil, err
	}
	cur, err := req.Catalog(ctx)
	if err != nil {
		return nil, err
	}
	var out []target
	for _, grp := range sta.Groups {
		if grp.Model != model {
			continue
		}
		tar := target{cur.Catalog.Inventory.VMs[grp.VMs[0]].Address, http.Header{"X-Group": {grp.Name}, "X-Fence": {strconv.FormatInt(grp.Fence, 10)}}}
		if cos.opt.Way == WayCopy {
			tar.header.Set(copier.HeaderTarget, tar.address)
			tar.address = cos.opt.Copier
		}
		out = append(out, tar)
	}
	if len(out) == 0 {
		return nil, errors.NotFoundf("costmeasurer: replica groups of %s", model)
	}
	return out, nil
}

func (cos *Measurer) send(ctx context.Context, tar target, content string) {
	msgs := []enginefaker.ChatMessage{{Role: "user", Content: content}}
	body, err := json.Marshal(map[string]any{"model": model, "messages": msgs, "max_tokens": cos.opt.MaxTokens, "stream": true})
	if err != nil {
		return
	}
	begun := cos.opt.Clock.Now()
	var first time.Duration
	str := loader.StreamChecker{Want: enginefaker.AnswerTokens(msgs, cos.opt.MaxTokens), OnFirstToken: func() { first = cos.opt.Clock.Since(begun) }}
	outcome := cos.readAnswer(ctx, tar, body, &str)
	cos.record(outcome == loader.OutcomeComplete, str.Tokens, first, cos.opt.Clock.Since(begun))
}

func (cos *Measurer) readAnswer(ctx context.Context, tar target, body []byte, str *loader.StreamChecker) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+tar.address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return loader.OutcomeLost
	}
	req.Header = tar.header.Clone()
	req.Header.Set("X-Request-Id", fmt.Sprintf("%p-%d", str, cos.opt.Clock.Now().UnixNano()))
	res, err := cos.cli.Do(req)
	if err != nil {
		return loader.OutcomeLost
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return loader.OutcomeBroken
	}
	return str.Read(res.Body)
}

func (cos *Measurer) record(whole bool, tokens int, first, took time.Duration) {
	cos.mtx.Lock()
	defer cos.mtx.Unlock()
	cos.cost.Requests++
	cos.cost.Tokens += tokens
	if !whole {
		cos.cost.Failed++
		return
	}
	cos.firstTokenTimes = append(cos.firstTokenTimes, first)
	cos.answerTimes = append(cos.answerTimes, took)
}

func median(durs []time.Duration) float64 {
	if len(durs) == 0 {
		return 0
	}
	slices.Sort(durs)
	return float64(durs[len(durs)/2]) / float64(time.Millisecond)
}
