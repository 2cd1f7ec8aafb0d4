package dispatcher_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/spiller"
)

var _ = Describe("Requests that may leave their zone", func() {
	const objective = 400 * time.Millisecond
	predicted := func(id, zone string) dispatcher.Unit {
		est, err := estimator.New(router.Engine{Slots: 48, StepsPerPass: 5, Step: 6 * time.Millisecond, PromptTokensPerSecond: 56_000, ChunkTokens: 2048}, router.Model{Name: "m", TimeFactor: 1})
		Expect(err).NotTo(HaveOccurred())
		uni := unit(id, zone, 48)
		uni.Estimator, uni.Crossing = est, time.Millisecond
		return uni
	}
	full := estimator.Work{Requests: 10, Unread: 40_000, Committed: 50_000}
	cases := []struct {
		name   string
		units  []dispatcher.Unit
		work   map[string]estimator.Work
		late   bool
		want   []string
		leaves spiller.Reason
	}{
		{"the own zone has room", []dispatcher.Unit{predicted("a", "z"), predicted("b", "y")}, nil, false, []string{"a"}, ""},
		{"the own zone is short", []dispatcher.Unit{predicted("a", "z"), predicted("b", "y")}, map[string]estimator.Work{"a": full}, false, []string{"a", "b"}, spiller.Gain},
		{"all zones are short", []dispatcher.Unit{predicted("a", "z"), predicted("b", "y")}, map[string]estimator.Work{"a": full, "b": full}, false, []string{"a"}, ""},
		{"the request is late already", []dispatcher.Unit{predicted("a", "z"), predicted("b", "y")}, map[string]estimator.Work{"a": full}, true, []string{"a"}, ""},
		{"the own zone has no unit", []dispatcher.Unit{predicted("b", "y"), predicted("c", "x")}, map[string]estimator.Work{"b": full}, false, []string{"c"}, dispatcher.NoUnitAtHome},
		{"a unit without predictions", []dispatcher.Unit{unit("a", "z", 48), unit("b", "y", 48)}, map[string]estimator.Work{"a": full}, false, []string{"a"}, ""},
	}
	for _, cas := range cases {
		It("go where callers are served in time: "+cas.name, func() {
			fix := newFixture(cas.units...)
			fix.dis.SetLoadAge(200 * time.Millisecond)
			seen := map[string]bool{}
			for num := range 300 {
				fix.clk.Advance(10 * time.Millisecond)
				fix.dis.SetRemoteTotals(cas.work, 200*time.Millisecond, fix.clk.Now().Add(time.Second))
				req := fix.request(fmt.Sprint(num))
				req.Size = estimator.Request{PromptTokens: 1000, AnswerTokens: 100}
				req.Objective = fix.clk.Now().Add(objective)
				if cas.late {
					req.Objective = fix.clk.Now().Add(-time.Second)
				}
				pla := <-fix.acquireAsync(req)
				seen[pla.Unit.ID] = true
				pla.Release(dispatcher.Outcome{Result: dispatcher.Neutral})
			}
			for _, uni := range cas.units {
				Expect(seen[uni.ID]).To(Equal(slices.Contains(cas.want, uni.ID)), uni.ID)
			}
			if cas.leaves != "" {
				Expect(fix.dis.ZoneLoads()[pool].Left[cas.leaves]).To(BeNumerically(">", 0))
			} else {
				Expect(fix.dis.ZoneLoads()[pool].Left).To(BeEmpty())
			}
		})
	}
})
