package watcher_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/watcher"
)

// fakeEngines answers probes by host; a VM that is missing does not answer.
type fakeEngines map[string]prober.Status

func (eng fakeEngines) RoundTrip(req *http.Request) (*http.Response, error) {
	sta, answers := eng[req.URL.Hostname()]
	if !answers {
		return nil, io.ErrUnexpectedEOF
	}
	data, err := json.Marshal(sta)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(data))), Request: req}, err
}

// told receives the subject of each fact that a watcher publishes, one for each probe.
type told chan string

func (tol told) Set(subject string, _ []byte)      { tol <- subject }
func (tol told) Get(string, string) ([]byte, bool) { return nil, false }
func (tol told) LastHeard(string) time.Time        { return time.Time{} }

func member(vm string, change func(sta *prober.Status)) prober.Status {
	sta := prober.Status{VM: vm, Group: "g", Fence: 7, Model: "writer", Version: "1", State: prober.Ready}
	change(&sta)
	return sta
}

var _ = Describe("a replica group", func() {
	unchanged := func(*prober.Status) {}
	cases := []struct {
		name    string
		change  func(sta *prober.Status)
		missing bool
		elapsed time.Duration
		stage   watcher.Stage
	}{
		{"serves while every member reports its group and fence", unchanged, false, 0, watcher.StageServing},
		{"does not serve with a member that does not answer", unchanged, true, 0, watcher.StageBroken},
		{"does not serve on outdated reports", unchanged, false, 4 * time.Second, watcher.StageBroken},
		{"does not serve with a member of another group", func(sta *prober.Status) { sta.Group = "h" }, false, 0, watcher.StageLoading},
		{"does not serve with a member that reports an older fence", func(sta *prober.Status) { sta.Fence = 6 }, false, 0, watcher.StageLoading},
		{"does not serve with a member that is loading", func(sta *prober.Status) { sta.State = "loading" }, false, 0, watcher.StageLoading},
		{"does not serve with a member of another model", func(sta *prober.Status) { sta.Model = "reader" }, false, 0, watcher.StageLoading},
		{"does not serve with a member of an old version", func(sta *prober.Status) { sta.Version = "0" }, false, 0, watcher.StageLoading},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			vie := reducer.NewState().View()
			vie.Catalog.Inventory.VMs = map[string]cataloger.VM{"a": {Address: "a:1"}, "b": {Address: "b:1"}}
			vie.Groups = map[string]reducer.Group{"g": {Name: "g", Model: "writer", Version: "1", Fence: 7, VMs: []string{"a", "b"}}}
			vie.GroupByVM = map[string]string{"a": "g", "b": "g"}
			vie.Homes = map[string]reducer.Home{"g": {Incarnation: "own"}}
			answering := fakeEngines{"a": member("a", unchanged), "b": member("b", cas.change)}
			if cas.missing {
				delete(answering, "b")
			}
			clk := clockwork.NewFakeClock()
			probes := make(told, 2)
			wat := watcher.New(watcher.Options{
				View: func() *reducer.View { return vie }, Self: func() string { return "own" }, Facts: probes, Clock: clk, Interval: time.Second,
				Leaving:       func(string) (time.Duration, bool) { return 0, false },
				ProberOptions: prober.Options{Client: &http.Client{Transport: answering}},
				OnReport:      func(string, prober.Probe) {},
			})
			wat.Prober().ProbeAll(context.Background())
			<-probes
			<-probes
			clk.Advance(cas.elapsed)
			stage, _ := wat.Stage(vie, "g")
			Expect(stage).To(Equal(cas.stage))
		})
	}
})
