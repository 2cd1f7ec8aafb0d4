package slocounter_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/slocounter"
)

func TestSLOCounter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slocounter")
}

var _ = Describe("Counter", func() {
	objective := cataloger.Objective{Target: 0.95, FirstTokenIn: cataloger.Duration(490 * time.Millisecond), CompleteIn: cataloger.Duration(10 * time.Second)}

	results := []struct {
		name string
		res  slocounter.Result
		good int64
	}{
		{"a complete answer in time", slocounter.Result{Complete: true, FirstToken: 490 * time.Millisecond, Duration: 10 * time.Second}, 1},
		{"a late first token", slocounter.Result{Complete: true, FirstToken: 491 * time.Millisecond, Duration: time.Second}, 0},
		{"a late completion", slocounter.Result{Complete: true, FirstToken: time.Millisecond, Duration: 10*time.Second + 1}, 0},
		{"a refused request", slocounter.Result{Duration: time.Millisecond}, 0},
	}
	for _, row := range results {
		It("judges "+row.name, func() {
			bur := slocounter.New(clockwork.NewFakeClock())
			bur.Add("w", "model", objective, row.res)
			Expect(bur.Counts()).To(HaveLen(1))
			Expect(bur.Counts()[0].Windows["5m0s"]).To(Equal(slocounter.Count{Good: row.good, Total: 1}))
		})
	}

	It("drops a request from each window once it is older than the window", func() {
		clk := clockwork.NewFakeClockAt(time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC))
		bur := slocounter.New(clk)
		bur.Add("w", "model", objective, slocounter.Result{})
		ages := []struct {
			after time.Duration
			left  map[string]int64
		}{
			{4 * time.Minute, map[string]int64{"5m0s": 1, "30m0s": 1, "1h0m0s": 1, "6h0m0s": 1}},
			{2 * time.Minute, map[string]int64{"5m0s": 0, "30m0s": 1, "1h0m0s": 1, "6h0m0s": 1}},
			{30 * time.Minute, map[string]int64{"5m0s": 0, "30m0s": 0, "1h0m0s": 1, "6h0m0s": 1}},
			{30 * time.Minute, map[string]int64{"5m0s": 0, "30m0s": 0, "1h0m0s": 0, "6h0m0s": 1}},
			{5 * time.Hour, map[string]int64{"5m0s": 0, "30m0s": 0, "1h0m0s": 0, "6h0m0s": 0}},
		}
		for _, age := range ages {
			clk.Advance(age.after)
			for win, total := range age.left {
				Expect(bur.Counts()[0].Windows[win].Total).To(Equal(total), win)
			}
		}
	})
})
