package executor

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/enginecaller"
	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/freshnesschecker"
	"github.com/lovagelever/lovagelever/planner"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

var suite *testing.T

func TestExecutor(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "executor")
}

// testRegion is a region with one VM and one model that needs it. It records the orders and the proposals.
type testRegion struct {
	view      reducer.View
	mayDecide bool
	orders    []enginecaller.Order
	proposed  []recorder.Kind
}

func newTestRegion() *testRegion {
	return &testRegion{mayDecide: true, view: reducer.View{
		Controllers: map[string]reducer.Member{"here": {Member: recorder.Member{Incarnation: "own"}}},
		GroupByVM:   map[string]string{},
		Groups:      map[string]reducer.Group{},
		Catalog: cataloger.Catalog{Inventory: cataloger.Inventory{
			Zones:  map[string]cataloger.Zone{"a": {Region: "here"}},
			VMs:    map[string]cataloger.VM{"v1": {Zone: "a", Domain: "d", Address: "127.0.0.1:1", WorkerKind: cataloger.WorkerEngine, Accelerators: 1}},
			Models: map[string]cataloger.Model{"m": {Version: "1", Replicas: 1, VMsPerReplica: 1, AcceleratorsPerVM: 1, WeightsGigabytes: 1}},
		}},
	}}
}

func (reg *testRegion) Append(_ context.Context, rec recorder.Record) (follower.Verdict, error) {
	reg.proposed = append(reg.proposed, rec.Kind)
	return follower.Verdict{}, nil
}

func (reg *testRegion) Send(_ context.Context, _ string, one enginecaller.Order) error {
	reg.orders = append(reg.orders, one)
	return nil
}

func (reg *testRegion) observe(*reducer.View) planner.Observations {
	return planner.Observations{VMs: map[string]planner.Observation{"v1": {Health: planner.HealthLive}}}
}

func (reg *testRegion) newExecutor() *Executor {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return New(Options{
		View: func() *reducer.View { return &reg.view }, Self: func() string { return "own" },
		Freshness: func() freshnesschecker.Freshness { return freshnesschecker.Freshness{MayDecide: reg.mayDecide} },
		Observe:   reg.observe, Appender: reg, Orders: reg, Clock: clockwork.NewRealClock(), Logger: quiet,
	})
}

var _ = Describe("an order", func() {
	load := planner.Action{Load: &planner.LoadOrder{VM: "v1", Group: "g", Fence: 7}}
	stage := planner.Action{Stage: &planner.StageOrder{VM: "v1", Fence: 7}}
	unload := planner.Action{Unload: &planner.UnloadOrder{VM: "v1", Group: "g", Fence: 7}}
	cases := []struct {
		name  string
		act   planner.Action
		owner string
		fence int64
		stale bool
		sent  int
	}{
		{"to load is sent", load, "g", 7, false, 1},
		{"to load is not sent when the view of this entry is stale", load, "g", 7, true, 0},
		{"to load is not sent when the group is gone", load, "", 0, false, 0},
		{"to load is not sent when the VM is in another group", load, "h", 7, false, 0},
		{"to load is not sent when the fence has changed", load, "g", 8, false, 0},
		{"to stage is sent to a free VM", stage, "", 0, false, 1},
		{"to stage is not sent to a VM in a group", stage, "h", 7, false, 0},
		{"to unload is sent to a free VM", unload, "", 0, false, 1},
		{"to unload is not sent to a VM in a group", unload, "g", 9, false, 0},
		{"to unload is not sent when the view of this entry is stale", unload, "", 0, true, 0},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				reg := newTestRegion()
				reg.mayDecide = !cas.stale
				if cas.owner != "" {
					reg.view.GroupByVM["v1"] = cas.owner
					reg.view.Groups[cas.owner] = reducer.Group{Fence: cas.fence}
				}
				reg.newExecutor().order(context.Background(), cas.act)
				synctest.Wait()
				Expect(reg.orders).To(HaveLen(cas.sent))
			})
		})
	}
})

var _ = Describe("a round", func() {
	cases := []struct {
		name    string
		between func(reg *testRegion)
		after   time.Duration
		formed  int
	}{
		{"decides once the warm-up has passed", func(*testRegion) {}, warmUp, 1},
		{"decides nothing before the warm-up has passed", func(*testRegion) {}, warmUp - 1, 0},
		{"decides nothing while the view of this entry is stale", func(reg *testRegion) { reg.mayDecide = false }, warmUp, 0},
		{"decides nothing for a region of another entry", func(reg *testRegion) {
			reg.view.Controllers["here"] = reducer.Member{Member: recorder.Member{Incarnation: "other"}}
		}, warmUp, 0},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				reg := newTestRegion()
				ste := reg.newExecutor()
				ste.Round(context.Background())
				synctest.Wait()
				Expect(reg.proposed).To(BeEmpty())
				time.Sleep(cas.after)
				cas.between(reg)
				ste.Round(context.Background())
				synctest.Wait()
				Expect(reg.proposed).To(HaveLen(cas.formed))
			})
		})
	}

	It("restarts the warm-up when it regains control", func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			reg := newTestRegion()
			ste := reg.newExecutor()
			for _, owner := range []string{"own", "other", "own"} {
				reg.view.Controllers["here"] = reducer.Member{Member: recorder.Member{Incarnation: owner}}
				ste.Round(context.Background())
				time.Sleep(warmUp)
			}
			Expect(reg.proposed).To(BeEmpty())
		})
	})
})
