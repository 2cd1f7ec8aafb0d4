//go:build soak

package prover

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/lovagelever/lovagelever/enginefaker"
	"github.com/lovagelever/lovagelever/requester"
)

const (
	locateTimeout   = time.Second
	attemptTimeout  = 30 * time.Second
	requestDeadline = 60 * time.Second
	retryDelay      = 150 * time.Millisecond
	thinkTime       = 20 * time.Millisecond
)

// tally counts events by name and collects violations of the guarantees that are tested.
type tally struct {
	mtx        sync.Mutex
	counts     map[string]int
	violations []string
	maxLatency time.Duration
}

func newTally() *tally { return &tally{counts: map[string]int{}} }

func (tly *tally) add(what string) {
	tly.mtx.Lock()
	defer tly.mtx.Unlock()
	tly.counts[what]++
}

func (tly *tally) recordViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	report("VIOLATION %s", text)
	tly.mtx.Lock()
	defer tly.mtx.Unlock()
	tly.violations = append(tly.violations, text)
}

func (tly *tally) recordLatency(dur time.Duration) {
	tly.mtx.Lock()
	defer tly.mtx.Unlock()
	tly.maxLatency = max(tly.maxLatency, dur)
}

func (tly *tally) count(what string) int {
	tly.mtx.Lock()
	defer tly.mtx.Unlock()
	return tly.counts[what]
}

func (tly *tally) print(name string) {
	tly.mtx.Lock()
	defer tly.mtx.Unlock()
	report("%s: %v, slowest request %s, violations %d", name, tly.counts, tly.maxLatency.Round(time.Millisecond), len(tly.violations))
}

// caller simulates one caller: it asks an entry to locate a model or service, caches the location while it is valid, and sends requests to the entry named there.
type caller struct {
	dep        *deployment
	rng        *rand.Rand
	tly        *tally
	cli        *http.Client
	workspace  string
	loc        requester.Location
	validUntil time.Time
}

func (dep *deployment) newCaller(seed uint64, tly *tally) *caller {
	rng := rand.New(rand.NewPCG(seed, 2))
	return &caller{
		dep: dep, rng: rng, tly: tly, workspace: workspaces[rng.IntN(len(workspaces))],
		cli: &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{}},
	}
}

// locate returns the cached location, or asks the entries in random order for a new one.
func (cal *caller) locate(model string) (requester.Location, error) {
	if time.Now().Before(cal.validUntil) {
		return cal.loc, nil
	}
	var last error
	for _, idx := range cal.rng.Perm(entryCount) {
		ctx, stop := context.WithTimeout(context.Background(), locateTimeout)
		req, err := requester.New([]string{entryAddress(idx + 1)})
		if err == nil {
			cal.loc, err = req.Locate(ctx, cal.workspace, model)
		}
		stop()
		if err == nil && cal.loc.Entry != "" {
			cal.validUntil = time.Now().Add(time.Duration(cal.loc.ValidMS) * time.Millisecond)
			return cal.loc, nil
		}
		last = err
	}
	return requester.Location{}, errors.Join(errors.New("no entry answered the locate request"), last)
}

// switchEntry uses the second entry of the location for one attempt, and afterwards drops the cached location.
func (cal *caller) switchEntry() {
	if cal.loc.FallbackEntry != "" && cal.loc.FallbackEntry != cal.loc.Entry {
		cal.loc.Entry, cal.loc.FallbackEntry = cal.loc.FallbackEntry, ""
		return
	}
	cal.validUntil = time.Time{}
}

// attempt is the outcome of one attempt at a request.
type attempt struct {
	entry  string
	state  string
	detail string
	begun  time.Time
	ended  time.Time
	status int
	header http.Header
	body   []byte
}

// The states of an attempt. A broken one ended without a response: its connection failed or was closed early.
const (
	stateDone    = "done"
	stateNotRun  = "not_run"
	stateUnknown = "outcome_unknown"
	stateRefused = "refused"
	stateBroken  = "broken"
	stateUnsent  = "unsent"
)

func entryNumberAt(address string) int {
	var num int
	_, _ = fmt.Sscanf(address, "127.30.0.%d:8000", &num)
	return num
}

func (att attempt) withRefusal(body []byte) attempt {
	var ans struct {
		Error requester.Refusal `json:"error"`
	}
	_ = json.Unmarshal(body, &ans)
	att.detail = ans.Error.Type + ": " + ans.Error.Message
	switch ans.Error.Type {
	case stateNotRun, stateUnknown:
		att.state = ans.Error.Type
	default:
		att.state = stateRefused
	}
	return att
}

// send makes one HTTP request and leaves the response body to its caller.
func (cal *caller) send(entry, method, path string, header http.Header, body []byte) (*http.Response, attempt) {
	att := attempt{entry: entry, begun: time.Now()}
	req, err := http.NewRequest(method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Header = header.Clone()
	req.Header.Set("X-Workspace", cal.workspace)
	req.Header.Set("Content-Type", "application/json")
	res, err := cal.cli.Do(req)
	if err != nil {
		att.state, att.detail, att.ended = stateBroken, err.Error(), time.Now()
		if strings.Contains(err.Error(), "connection refused") {
			att.state = stateUnsent
		}
		return nil, att
	}
	att.status, att.header = res.StatusCode, res.Header
	return res, att
}

// call sends one request to the plain service.
func (cal *caller) call(entry, method, path, key string, body []byte) attempt {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	res, att := cal.send(entry, method, "/v1/services/"+service+path, header, body)
	if res == nil {
		return att
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	att.ended, att.body = time.Now(), data
	if err != nil {
		att.state, att.detail = stateBroken, err.Error()
		return att
	}
	if res.StatusCode == http.StatusOK {
		att.state = stateDone
		return att
	}
	return att.withRefusal(data)
}

// completionRequest is a chat completion request whose correct answer is known.
type completionRequest struct {
	model     string
	msgs      []enginefaker.ChatMessage
	maxTokens int
}

func (cal *caller) newCompletionRequest() completionRequest {
	models := []string{largeModel, smallModel}
	text := fmt.Sprintf("Compose number %d for %s.", cal.rng.Int64(), cal.workspace)
	return completionRequest{
		model:     models[cal.rng.IntN(len(models))],
		msgs:      []enginefaker.ChatMessage{{Role: "system", Content: "Be brief."}, {Role: "user", Content: text}},
		maxTokens: 16 + cal.rng.IntN(160),
	}
}

// sendCompletion requests one completion and checks the response, or every chunk of its stream, against the correct answer.
func (cal *caller) sendCompletion(entry string, que completionRequest, stream bool) attempt {
	body, err := json.Marshal(map[string]any{"model": que.model, "messages": que.msgs, "max_tokens": que.maxTokens, "stream": stream})
	if err != nil {
		panic(err)
	}
	res, att := cal.send(entry, http.MethodPost, "/v1/chat/completions", http.Header{}, body)
	if res == nil {
		return att
	}
	defer res.Body.Close()
	want := enginefaker.AnswerTokens(que.msgs, que.maxTokens)
	if res.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(res.Body)
		att.ended = time.Now()
		return att.withRefusal(data)
	}
	if stream {
		att = cal.readStream(att, res, want)
	} else {
		att = cal.readResponse(att, res, want)
	}
	att.ended = time.Now()
	return att
}

type chunk struct {
	ID      string          `json:"id"`
	Index   int             `json:"index"`
	Error   json.RawMessage `json:"error"`
	Usage   *usage          `json:"usage"`
	Choices []struct {
		Delta        content `json:"delta"`
		Message      content `json:"message"`
		FinishReason string  `json:"finish_reason"`
	} `json:"choices"`
}

type usage struct {
	Tokens int `json:"completion_tokens"`
}

type content struct {
	Content string `json:"content"`
}

func (cal *caller) readResponse(att attempt, res *http.Response, want []string) attempt {
	data, err := io.ReadAll(res.Body)
	if err != nil {
		att.state, att.detail = stateBroken, err.Error()
		return att
	}
	var chk chunk
	if json.Unmarshal(data, &chk) != nil || len(chk.Choices) != 1 || chk.Usage == nil {
		cal.tly.recordViolation("invalid response from %s: %.200s", att.entry, data)
		return att
	}
	if chk.Choices[0].Message.Content != strings.Join(want, "") || chk.Usage.Tokens != len(want) || chk.ID != res.Header.Get("X-Request-Id") {
		cal.tly.recordViolation("response from %s does not belong to the request: %.200s", att.entry, data)
	}
	att.state = stateDone
	return att
}

func (cal *caller) readStream(att attempt, res *http.Response, want []string) attempt {
	got, finished := 0, false
	sca := bufio.NewScanner(res.Body)
	for sca.Scan() {
		data, found := strings.CutPrefix(sca.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			if got != len(want) || !finished {
				cal.tly.recordViolation("stream from %s ended as complete with %d of %d tokens", att.entry, got, len(want))
			}
			att.state = stateDone
			return att
		}
		var chk chunk
		if err := json.Unmarshal([]byte(data), &chk); err != nil {
			cal.tly.recordViolation("invalid chunk from %s: %.200s", att.entry, data)
			continue
		}
		if chk.Error != nil {
			return att.withRefusal([]byte(data))
		}
		if chk.ID != res.Header.Get("X-Request-Id") || chk.Index != got || len(chk.Choices) != 1 {
			cal.tly.recordViolation("chunk from %s has a wrong request ID, index or number of choices (want index %d): %.200s", att.entry, got, data)
			continue
		}
		if chk.Choices[0].FinishReason == "stop" {
			finished = chk.Usage != nil && chk.Usage.Tokens == len(want)
			continue
		}
		if got >= len(want) || chk.Choices[0].Delta.Content != want[got] {
			cal.tly.recordViolation("token %d from %s does not belong to this answer: %.200s", got, att.entry, data)
		}
		got++
	}
	att.state, att.detail = stateBroken, "stream ended early after "+strconv.Itoa(got)+" tokens"
	if err := sca.Err(); err != nil {
		att.detail += ": " + err.Error()
	}
	return att
}

// complete retries one completion until it succeeds, and records a violation for a failed attempt that no injected fault explains.
func (cal *caller) complete() {
	que := cal.newCompletionRequest()
	begun := time.Now()
	for tries := 1; time.Since(begun) < requestDeadline; tries++ {
		loc, err := cal.locate(que.model)
		if err != nil {
			cal.tly.add("locate failed")
			time.Sleep(retryDelay)
			continue
		}
		att := cal.sendCompletion(loc.Entry, que, cal.rng.IntN(4) > 0)
		cal.checkAttempt(att, "completion")
		if att.state == stateDone {
			cal.tly.recordLatency(time.Since(begun))
			cal.tly.add("completion succeeded")
			if tries == 1 {
				cal.tly.add("completion succeeded on first attempt")
			}
			return
		}
		cal.switchEntry()
		time.Sleep(retryDelay)
	}
	cal.tly.recordViolation("completion %v did not succeed within %s", que, requestDeadline)
}

func (cal *caller) checkAttempt(att attempt, what string) {
	cal.tly.add(what + " attempt " + att.state)
	if att.state == stateRefused {
		cal.tly.recordViolation("%s sent to %s was refused: %s", what, att.entry, att.detail)
	}
	broken := att.state == stateBroken || att.state == stateUnsent
	if broken && !cal.dep.hadFault(entryNumberAt(att.entry), att.begun, att.ended) {
		cal.tly.recordViolation("%s sent to %s was interrupted without a fault: %s", what, att.entry, att.detail)
	}
}

// fetch retries one idempotent call until it succeeds.
func (cal *caller) fetch() {
	begun := time.Now()
	for time.Since(begun) < requestDeadline {
		loc, err := cal.locate("")
		if err != nil {
			time.Sleep(retryDelay)
			continue
		}
		att := cal.call(loc.Entry, http.MethodGet, "/items/7", "", nil)
		cal.checkAttempt(att, "fetch")
		if att.state == stateDone {
			return
		}
		cal.switchEntry()
		time.Sleep(retryDelay)
	}
	cal.tly.recordViolation("fetch did not succeed within %s", requestDeadline)
}

// load starts that many callers, each repeating work until the returned function stops them.
func (dep *deployment) load(rng *rand.Rand, tly *tally, callers int, work func(cal *caller)) (stop func()) {
	done := make(chan struct{})
	var grp sync.WaitGroup
	for range callers {
		cal := dep.newCaller(rng.Uint64(), tly)
		grp.Go(func() {
			defer GinkgoRecover()
			for {
				select {
				case <-done:
					return
				case <-time.After(thinkTime):
					work(cal)
				}
			}
		})
	}
	return sync.OnceFunc(func() {
		close(done)
		grp.Wait()
	})
}
