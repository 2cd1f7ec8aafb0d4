package grouper_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
)

// store is a weight store whose loads share its speed beyond so many at once.
type store struct {
	fullSpeed int
	loads     map[registrar.Life]*load
}

// load is what is left of a load, in seconds at full speed.
type load struct {
	model string
	left  float64
}

const tick = 100 * time.Millisecond

// pass lets some time pass and returns the loads that ended.
func (sto *store) pass() map[registrar.Life]string {
	speed := math.Min(1, float64(sto.fullSpeed)/float64(max(1, len(sto.loads))))
	out := map[registrar.Life]string{}
	for lif, loa := range sto.loads {
		loa.left -= speed * tick.Seconds()
		if loa.left <= 0 {
			out[lif] = loa.model
			delete(sto.loads, lif)
		}
	}
	return out
}

// play has plans made for a fleet for some time and returns the place-seconds that open groups offered.
func (sce *scene) play(sto *store, last time.Duration) float64 {
	served := 0.0
	for at := time.Duration(0); at < last; at += tick {
		for _, pro := range sce.plan().Form {
			sce.adopt(sto, pro)
		}
		for lif, model := range sto.pass() {
			ser := sce.reg.View().Servers[lif.ID]
			ser.Loaded, ser.Staged, ser.Group.State = model, []string{model}, registrar.Ready
			sce.reg.Put(ser)
		}
		served += sce.openReady() * tick.Seconds()
	}
	return served
}

// adopt carries a proposal out: its members begin to load.
func (sce *scene) adopt(sto *store, pro grouper.Proposal) {
	frm := grouper.Formation{Name: fmt.Sprint("f", len(sce.frms)), Epoch: int64(len(sce.frms)), Service: "s", Model: pro.Model.Name, Standby: pro.Standby}
	for rank, ser := range pro.Members {
		frm.Members = append(frm.Members, ser.Life())
		ser.Group = registrar.Membership{Name: frm.Name, Epoch: frm.Epoch, Rank: rank, State: registrar.Joining}
		sce.reg.Put(ser)
		sto.loads[ser.Life()] = &load{model: pro.Model.Name, left: pro.Model.LoadIn.Seconds()}
	}
	sce.frms = append(sce.frms, frm)
}

// openReady opens the groups whose members are ready and returns how many places are open.
func (sce *scene) openReady() float64 {
	vie := sce.reg.View()
	num := 0
	for _, frm := range sce.frms {
		if frm.ReadyMembers(vie) < len(frm.Members) {
			continue
		}
		head := vie.Servers[frm.Members[0].ID]
		head.Group.State = registrar.Open
		sce.reg.Put(head)
		num += sce.pic.Engine.Slots
	}
	return float64(num)
}

// The load of a day on which a domain comes back empty while requests go on: twenty loads for a weight store that serves seven at full speed.
var _ = Describe("Make, with loads that share the weight store", func() {
	fleet := func(fullSpeed int) (*scene, *store) {
		sce := newScene()
		sce.pic.Engine.LoadsAtOnce = fullSpeed
		for dom := range 2 {
			for num := range 10 {
				sce.server(fmt.Sprintf("e%d-%d", dom, num), fmt.Sprint("d", dom), nil)
			}
		}
		return sce, &store{fullSpeed: 7, loads: map[registrar.Life]*load{}}
	}

	It("has the first groups serve after the time of one load, and more places over the time that all take", func() {
		oneLoad, allLoads := 17*time.Second, 46*time.Second
		atOnce, sto := fleet(0)
		Expect(atOnce.play(sto, oneLoad)).To(BeZero())
		all := atOnce.play(sto, allLoads-oneLoad)
		inTurn, sto := fleet(7)
		first := inTurn.play(sto, oneLoad)
		Expect(first).To(BeNumerically(">", 0))
		Expect(first + inTurn.play(sto, allLoads-oneLoad)).To(BeNumerically(">", all))
	})

	It("never has more loads than run at full speed", func() {
		sce, sto := fleet(7)
		for range 600 {
			sce.play(sto, tick)
			Expect(len(sto.loads)).To(BeNumerically("<=", 7))
		}
		Expect(sce.openReady()).To(BeNumerically(">=", 70))
	})

	It("has the survivors of a large group come before a group that loads as a whole", func() {
		sce, _ := fleet(7)
		for num := range 3 {
			sce.server(fmt.Sprint("l", num), "d1", func(ser *registrar.Server) { ser.Loaded = "large" })
		}
		for _, pro := range sce.plan().Form {
			if pro.Model.Name == "large" {
				Expect(pro.Loads).To(Equal(1))
				return
			}
		}
		Fail("no large group is formed")
	})
})
