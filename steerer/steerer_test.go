package steerer

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
	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/freshener"
	"github.com/lovagelever/lovagelever/orderer"
	"github.com/lovagelever/lovagelever/planner"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

var suite *testing.T

func TestSteerer(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "steerer")
}

// region is one VM that a model waits for; it notes what is ordered and proposed.
type region struct {
	view     reducer.View
	may      bool
	orders   []orderer.Order
	proposed []recorder.Kind
}

func newRegion() *region {
	return &region{may: true, view: reducer.View{
		Control: map[string]reducer.Member{"here": {Member: recorder.Member{Incarnation: "own"}}},
		Owners:  map[string]string{},
		Groups:  map[string]reducer.Group{},
		Catalog: cataloger.Catalog{Inventory: cataloger.Inventory{
			Zones:  map[string]cataloger.Zone{"a": {Region: "here"}},
			VMs:    map[string]cataloger.VM{"v1": {Zone: "a", Domain: "d", Address: "127.0.0.1:1", Worker: cataloger.WorkerEngine, Accelerators: 1}},
			Models: map[string]cataloger.Model{"m": {Version: "1", Replicas: 1, VMsPerReplica: 1, AcceleratorsEach: 1, WeightsGigabytes: 1}},
		}},
	}}
}

func (reg *region) Append(_ context.Context, rec recorder.Record) (follower.Judged, error) {
	reg.proposed = append(reg.proposed, rec.Kind)
	return follower.Judged{}, nil
}

func (reg *region) Send(_ context.Context, _ string, one orderer.Order) error {
	reg.orders = append(reg.orders, one)
	return nil
}

func (reg *region) observe(*reducer.View) planner.Observations {
	return planner.Observations{VMs: map[string]planner.Observation{"v1": {Health: planner.HealthLive}}}
}

func (reg *region) steerer() *Steerer {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return New(Options{
		View: func() *reducer.View { return &reg.view }, Self: func() string { return "own" },
		Standing: func() freshener.Standing { return freshener.Standing{MayDecide: reg.may} },
		Observe:  reg.observe, Appender: reg, Orders: reg, Clock: clockwork.NewRealClock(), Logger: quiet,
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
		{"to load is withheld when the own view is stale", load, "g", 7, true, 0},
		{"to load is withheld when the group is gone", load, "", 0, false, 0},
		{"to load is withheld when the VM is in another group", load, "h", 7, false, 0},
		{"to load is withheld when the fence changed", load, "g", 8, false, 0},
		{"to stage is sent to a free VM", stage, "", 0, false, 1},
		{"to stage is withheld from a VM in a group", stage, "h", 7, false, 0},
		{"to unload is sent to a free VM", unload, "", 0, false, 1},
		{"to unload is withheld from a VM in a group", unload, "g", 9, false, 0},
		{"to unload is withheld when the own view is stale", unload, "", 0, true, 0},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				reg := newRegion()
				reg.may = !cas.stale
				if cas.owner != "" {
					reg.view.Owners["v1"] = cas.owner
					reg.view.Groups[cas.owner] = reducer.Group{Fence: cas.fence}
				}
				reg.steerer().order(context.Background(), cas.act)
				synctest.Wait()
				Expect(reg.orders).To(HaveLen(cas.sent))
			})
		})
	}
})

var _ = Describe("a round", func() {
	cases := []struct {
		name    string
		between func(reg *region)
		after   time.Duration
		formed  int
	}{
		{"decides once health has been told", func(*region) {}, settle, 1},
		{"decides nothing right after control began", func(*region) {}, settle - 1, 0},
		{"decides nothing while the own view is stale", func(reg *region) { reg.may = false }, settle, 0},
		{"decides nothing for a region of another entry", func(reg *region) {
			reg.view.Control["here"] = reducer.Member{Member: recorder.Member{Incarnation: "other"}}
		}, settle, 0},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				reg := newRegion()
				ste := reg.steerer()
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

	It("watches anew when control comes back", func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			reg := newRegion()
			ste := reg.steerer()
			for _, owner := range []string{"own", "other", "own"} {
				reg.view.Control["here"] = reducer.Member{Member: recorder.Member{Incarnation: owner}}
				ste.Round(context.Background())
				time.Sleep(settle)
			}
			Expect(reg.proposed).To(BeEmpty())
		})
	})
})
