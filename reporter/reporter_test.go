package reporter_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/reporter"
	"github.com/lovagelever/lovagelever/requester"
	"github.com/lovagelever/lovagelever/slocounter"
)

func TestReporter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reporter")
}

// fakeEntries simulates three entries; an entry without lines does not answer.
type fakeEntries struct {
	lines map[string][]slocounter.SeriesCounts
}

func (fak fakeEntries) Catalog(context.Context) (requester.Revision, error) {
	objectives := map[string]cataloger.Objective{"model": {Target: 0.95}, "non_idempotent_call": {Target: 0.999}}
	rul := cataloger.Rules{Workspaces: map[string]cataloger.WorkspaceRule{"wards": {Objectives: objectives}}}
	return requester.Revision{Revision: 7, Catalog: cataloger.Catalog{Rules: rul}}, nil
}

func (fak fakeEntries) Status(context.Context) (requester.Status, error) {
	return requester.Status{Entries: []requester.Entry{{Name: "one", Address: "a"}, {Name: "two", Address: "b"}, {Name: "three", Address: "c"}}}, nil
}

func (fak fakeEntries) Burn(_ context.Context, address string) ([]slocounter.SeriesCounts, error) {
	lines, answers := fak.lines[address]
	if !answers {
		return nil, errors.NotFoundf("entry")
	}
	return lines, nil
}

func line(fast, fastLong, slow, slowLong slocounter.Count) []slocounter.SeriesCounts {
	return []slocounter.SeriesCounts{{Workspace: "wards", Class: "model", Windows: map[string]slocounter.Count{
		"5m0s": fast, "1h0m0s": fastLong, "30m0s": slow, "6h0m0s": slowLong,
	}}}
}

var _ = Describe("Reporter", func() {
	It("matches values computed by hand", func() {
		fak := fakeEntries{lines: map[string][]slocounter.SeriesCounts{
			"a": line(slocounter.Count{Good: 10, Total: 30}, slocounter.Count{Good: 50, Total: 100}, slocounter.Count{Good: 60, Total: 80}, slocounter.Count{Good: 380, Total: 400}),
			"b": line(slocounter.Count{Good: 0, Total: 10}, slocounter.Count{Good: 0, Total: 100}, slocounter.Count{Good: 10, Total: 20}, slocounter.Count{Good: 580, Total: 600}),
		}}
		rep, err := reporter.New(fak).Report(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(rep.Answered).To(Equal([]string{"one", "two"}))
		Expect(rep.Missing).To(Equal([]string{"three"}))
		Expect(rep.Rows).To(HaveLen(2))
		got := rep.Rows[0]
		Expect(got.Good).To(Equal(int64(960)))
		Expect(got.Total).To(Equal(int64(1000)))
		Expect(got.Burn["5m0s"]).To(BeNumerically("~", 15, 1e-9))
		Expect(got.Burn["1h0m0s"]).To(BeNumerically("~", 15, 1e-9))
		Expect(got.Burn["30m0s"]).To(BeNumerically("~", 6, 1e-9))
		Expect(got.Burn["6h0m0s"]).To(BeNumerically("~", 0.8, 1e-9))
		Expect(got.BudgetLeft).To(BeNumerically("~", 0.2, 1e-9))
		Expect(got.Alarm).To(Equal("fast"))
		Expect(rep.Rows[1].Total).To(BeZero())
		Expect(rep.Rows[1].BudgetLeft).To(BeNumerically("==", 1))

		var out bytes.Buffer
		Expect(rep.Write(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("BURN 5m  BURN 1h  BURN 30m  BURN 6h"))
		Expect(out.String()).To(ContainSubstring("did not answer, their counts are missing: three"))
	})

	alarmCases := []struct {
		name                           string
		fast, fastLong, slow, slowLong slocounter.Count
		alarm                          string
	}{
		{"no alarm when only the short window burns", slocounter.Count{Total: 10}, slocounter.Count{Good: 90, Total: 100}, slocounter.Count{Good: 90, Total: 100}, slocounter.Count{Good: 900, Total: 1000}, ""},
		{"the slow alarm when both slow windows burn", slocounter.Count{Good: 10, Total: 10}, slocounter.Count{Good: 60, Total: 100}, slocounter.Count{Good: 60, Total: 100}, slocounter.Count{Good: 600, Total: 1000}, "slow"},
	}
	for _, row := range alarmCases {
		It("raises "+row.name, func() {
			rep, err := reporter.New(fakeEntries{lines: map[string][]slocounter.SeriesCounts{"a": line(row.fast, row.fastLong, row.slow, row.slowLong)}}).Report(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(rep.Rows[0].Alarm).To(Equal(row.alarm))
		})
	}
})
