package reducer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

func controller(fee *feed) string {
	mem, found := fee.sta.Controller("here")
	Expect(found).To(BeTrue())
	return mem.Incarnation
}

func form(group string, vms ...string) recorder.FormGroup {
	return recorder.FormGroup{Group: group, Model: "scene", Version: "1", VMs: vms}
}

var _ = Describe("State", func() {
	var fee *feed
	var nonController string

	BeforeEach(func() {
		fee = newFeed()
		one, two := fee.join("e1", "zone-0"), fee.join("e2", "zone-1")
		Expect(fee.publish(newCatalog(2, 2, 4, 2))).To(Equal(reducer.Accepted))
		nonController = one
		if controller(fee) == one {
			nonController = two
		}
	})

	rejected := []struct {
		name string
		form recorder.FormGroup
		rea  reducer.Reason
	}{
		{"a VM that is in a live group", form("b", "z0-d0-v1", "z0-d0-v2"), reducer.ReasonVMTaken},
		{"VMs of two fabric domains", form("b", "z0-d0-v2", "z0-d1-v0"), reducer.ReasonSeveralDomains},
		{"a VM twice", form("b", "z0-d0-v2", "z0-d0-v2"), reducer.ReasonUnknownVM},
		{"a VM that is not in the inventory", form("b", "z0-d0-v2", "gone"), reducer.ReasonUnknownVM},
		{"too few VMs", form("b", "z0-d0-v2"), reducer.ReasonWrongSize},
		{"a name in use", form("a", "z0-d0-v2", "z0-d0-v3"), reducer.ReasonGroupExists},
		{"an old version of the model", recorder.FormGroup{Group: "b", Model: "scene", Version: "0", VMs: []string{"z0-d0-v2", "z0-d0-v3"}}, reducer.ReasonOldVersion},
		{"a model that is not in the inventory", recorder.FormGroup{Group: "b", Model: "gone"}, reducer.ReasonUnknownModel},
	}
	for _, row := range rejected {
		It("rejects a group with "+row.name, func() {
			Expect(fee.applyNew(recorder.KindForm, controller(fee), form("a", "z0-d0-v0", "z0-d0-v1"))).To(Equal(reducer.Accepted))
			Expect(fee.applyNew(recorder.KindForm, controller(fee), row.form)).To(Equal(row.rea))
			Expect(fee.sta.Groups).To(HaveLen(1))
		})
	}

	It("rejects a group from an entry that is not the controller", func() {
		Expect(fee.applyNew(recorder.KindForm, nonController, form("a", "z0-d0-v0", "z0-d0-v1"))).To(Equal(reducer.ReasonNotController))
	})

	It("rejects a group from a controller that was evicted", func() {
		old := controller(fee)
		late := fee.record(recorder.KindForm, old, form("a", "z0-d0-v0", "z0-d0-v1"))
		Expect(fee.applyNew(recorder.KindEvict, nonController, recorder.Departure{Incarnation: old})).To(Equal(reducer.Accepted))
		Expect(fee.apply(late)).To(Equal(reducer.ReasonNotController))
	})

	It("rejects a group that replaces one of another region", func() {
		next := newCatalog(2, 2, 4, 2)
		next.Inventory.Zones["zone-1"] = cataloger.Zone{Region: "there"}
		Expect(fee.publish(next)).To(Equal(reducer.Accepted))
		here, _ := fee.sta.Controller("here")
		there, _ := fee.sta.Controller("there")
		Expect(fee.applyNew(recorder.KindForm, there.Incarnation, form("a", "z1-d0-v0", "z1-d0-v1"))).To(Equal(reducer.Accepted))
		replacing := form("b", "z0-d0-v0", "z0-d0-v1")
		replacing.Replaces = "a"
		Expect(fee.applyNew(recorder.KindForm, here.Incarnation, replacing)).To(Equal(reducer.ReasonNotController))
		Expect(fee.sta.Groups).To(HaveKey("a"))
	})

	It("rejects a group in a zone that is out of service", func() {
		next := fee.sta.Catalog
		next.Rules.DisabledZones = []string{"zone-0"}
		Expect(fee.publish(next)).To(Equal(reducer.Accepted))
		Expect(fee.applyNew(recorder.KindForm, controller(fee), form("a", "z0-d0-v0", "z0-d0-v1"))).To(Equal(reducer.ReasonZoneOut))
	})

	It("accepts only the first of two concurrent publications", func() {
		first := newCatalog(2, 2, 4, 2)
		first.Rules.DisabledZones = []string{"zone-0"}
		second := newCatalog(2, 2, 4, 2)
		second.Rules.DisabledZones = []string{"zone-1"}
		base := fee.sta.Catalog
		winner := fee.record(recorder.KindPublication, "", recorder.Publication{BasedOn: 1, Change: cataloger.Diff(base, first)})
		loser := fee.record(recorder.KindPublication, "", recorder.Publication{BasedOn: 1, Change: cataloger.Diff(base, second)})
		Expect(fee.apply(winner)).To(Equal(reducer.Accepted))
		Expect(fee.apply(loser)).To(Equal(reducer.ReasonConflict))
		Expect(fee.apply(winner)).To(Equal(reducer.ReasonDuplicate))
		Expect(fee.sta.Catalog.Rules.DisabledZones).To(Equal([]string{"zone-0"}))
	})

	It("rejects a duplicate that arrives after its ID has expired", func() {
		rec := fee.record(recorder.KindJoin, "late", recorder.Member{Name: "late", Incarnation: "late"})
		Expect(fee.apply(rec)).To(Equal(reducer.Accepted))
		fee.now = fee.now.Add(3 * reducer.IDWindow)
		fee.applyNew(recorder.KindLeave, "late", recorder.Departure{Incarnation: "late"})
		Expect(fee.apply(rec)).To(Equal(reducer.ReasonOutsideWindow))
	})

	It("accepts the first claim of a key, and none after the claim window", func() {
		issued := fee.now
		claims := func(writer string) {
			rec := fee.record(recorder.KindClaims, writer, recorder.Claims{Claims: []recorder.Claim{{Key: "k", IssuedMS: issued.UnixMilli()}}})
			Expect(fee.apply(rec)).To(Equal(reducer.Accepted))
		}
		claims(nonController)
		claims(controller(fee))
		Expect(fee.sta.Claims["k"].Owner).To(Equal(nonController))
		fee.now = fee.now.Add(2 * reducer.ClaimWindow)
		claims(controller(fee))
		Expect(fee.sta.Claims).NotTo(HaveKey("k"))
	})

	It("rejects and counts records of unknown kinds and newer versions", func() {
		Expect(fee.applyNew("later", "", nil)).To(Equal(reducer.ReasonUnknownKind))
		rec := fee.record(recorder.KindJoin, "", recorder.Member{})
		rec.Version = recorder.Version + 1
		Expect(fee.apply(rec)).To(Equal(reducer.ReasonNewerVersion))
		Expect(fee.sta.Counts).To(HaveKeyWithValue("void/unknown_kind", int64(1)))
	})

	It("retires a group when one of its VMs leaves the inventory", func() {
		Expect(fee.applyNew(recorder.KindForm, controller(fee), form("a", "z0-d0-v0", "z0-d0-v1"))).To(Equal(reducer.Accepted))
		next := newCatalog(2, 2, 4, 2)
		delete(next.Inventory.VMs, "z0-d0-v1")
		Expect(fee.publish(next)).To(Equal(reducer.Accepted))
		Expect(fee.sta.Groups).To(BeEmpty())
		Expect(fee.sta.GroupByVM).To(BeEmpty())
	})

	It("lists the former home of a unit until that entry is confirmed to have stopped", func() {
		Expect(fee.applyNew(recorder.KindForm, controller(fee), form("a", "z0-d0-v0", "z0-d0-v1"))).To(Equal(reducer.Accepted))
		old := fee.sta.Homes["a"].Incarnation
		writer := nonController
		if writer == old {
			writer = controller(fee)
		}
		Expect(fee.applyNew(recorder.KindEvict, writer, recorder.Departure{Incarnation: old})).To(Equal(reducer.Accepted))
		Expect(fee.sta.Homes["a"].Former).To(Equal([]string{old}))
		fee.join(fee.sta.Departed[old].Name, "zone-1")
		Expect(fee.sta.Homes["a"].Former).NotTo(ContainElement(old))
	})

	It("reaches the same state from a snapshot as from all records", func() {
		Expect(fee.applyNew(recorder.KindForm, controller(fee), form("a", "z0-d0-v0", "z0-d0-v1"))).To(Equal(reducer.Accepted))
		sna, err := fee.sta.Encode()
		Expect(err).NotTo(HaveOccurred())
		copied, err := reducer.DecodeState(sna)
		Expect(err).NotTo(HaveOccurred())
		for range 50 {
			fee.now = fee.now.Add(time.Minute)
			rec := fee.record(recorder.KindJoin, "", recorder.Member{Name: "n", Incarnation: fee.id(fee.now)})
			ent := recorder.Entry{Offset: fee.sta.Offset + 1, At: fee.now, Record: rec}
			Expect(copied.Apply(ent)).To(Equal(fee.sta.Apply(ent)))
		}
		Expect(copied.ChainHash).To(Equal(fee.sta.ChainHash))
		one, err := fee.sta.Encode()
		Expect(err).NotTo(HaveOccurred())
		two, err := copied.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(two.Checksum).To(Equal(one.Checksum))
	})

	It("refuses a snapshot with a wrong checksum", func() {
		sna, err := fee.sta.Encode()
		Expect(err).NotTo(HaveOccurred())
		sna.Checksum++
		_, err = reducer.DecodeState(sna)
		Expect(err).To(HaveOccurred())
	})

	It("panics when an offset is skipped", func() {
		Expect(func() { fee.sta.Apply(recorder.Entry{Offset: fee.sta.Offset + 2}) }).To(Panic())
	})
})
