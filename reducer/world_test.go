package reducer_test

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

var epoch = time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)

// feed creates records and applies them to a state, 10 ms of log time apart.
type feed struct {
	sta     *reducer.State
	now     time.Time
	idCount uint64
}

func newFeed() *feed {
	return &feed{sta: reducer.NewState(), now: epoch}
}

func (fee *feed) id(at time.Time) string {
	var uid uuid.UUID
	millis := uint64(at.UnixMilli())
	for num := range 6 {
		uid[num] = byte(millis >> (8 * (5 - num)))
	}
	fee.idCount++
	for num := range 8 {
		uid[8+num] = byte(fee.idCount >> (8 * num))
	}
	uid[6] = 0x70
	uid[8] = uid[8]&0x3f | 0x80
	uid[15] = byte(fee.idCount)
	uid[14] = byte(fee.idCount >> 8)
	uid[13] = byte(fee.idCount >> 16)
	return uid.String()
}

func (fee *feed) record(kind recorder.Kind, writer string, body any) recorder.Record {
	rec, err := recorder.New(fee.now, kind, writer, body)
	if err != nil {
		panic(err)
	}
	rec.ID = fee.id(fee.now)
	return rec
}

func (fee *feed) apply(rec recorder.Record) reducer.Reason {
	fee.now = fee.now.Add(10 * time.Millisecond)
	return fee.sta.Apply(recorder.Entry{Offset: fee.sta.Offset + 1, At: fee.now, Record: rec})
}

func (fee *feed) applyNew(kind recorder.Kind, writer string, body any) reducer.Reason {
	return fee.apply(fee.record(kind, writer, body))
}

func (fee *feed) join(name, zone string) string {
	inc := fmt.Sprintf("%s-%d", name, fee.sta.Offset)
	fee.applyNew(recorder.KindJoin, inc, recorder.Member{Name: name, Incarnation: inc, Zone: zone, Region: "here", Address: name, RPCAddress: name})
	return inc
}

func (fee *feed) publish(next cataloger.Catalog) reducer.Reason {
	pub := recorder.Publication{BasedOn: fee.sta.Revision, Change: cataloger.Diff(fee.sta.Catalog, next)}
	return fee.applyNew(recorder.KindPublication, "", pub)
}

// newCatalog returns a catalog with one model and the given numbers of zones, fabric domains per zone, VMs per domain and VMs per replica.
func newCatalog(zones, domains, vms, size int) cataloger.Catalog {
	inv := cataloger.Inventory{
		Zones:  map[string]cataloger.Zone{},
		VMs:    map[string]cataloger.VM{},
		Models: map[string]cataloger.Model{"scene": {Version: "1", Replicas: zones * domains, VMsPerReplica: size, AcceleratorsPerVM: 4, WeightsGigabytes: 10, ColdLimit: 2, WarmLimit: 16}},
	}
	for zon := range zones {
		zone := fmt.Sprintf("zone-%d", zon)
		inv.Zones[zone] = cataloger.Zone{Region: "here"}
		for dom := range domains {
			for num := range vms {
				name := fmt.Sprintf("z%d-d%d-v%d", zon, dom, num)
				inv.VMs[name] = cataloger.VM{
					Zone: zone, Domain: fmt.Sprintf("%s-fabric-%d", zone, dom), WorkerKind: cataloger.WorkerEngine, Accelerators: 4,
					Address: fmt.Sprintf("10.%d.%d.%d:9000", zon, dom, num+1),
				}
			}
		}
	}
	return cataloger.Catalog{Inventory: inv}
}
