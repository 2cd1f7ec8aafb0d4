package placer

import (
	"slices"

	"github.com/juju/errors"
)

// Policy selects the VMs of a group; Place fails with errors.QuotaLimitExceeded when no fabric domain has room.
type Policy interface {
	Place(req Request) (Placement, error)
}

// Place selects VMs by the BestFit policy; it fails with errors.QuotaLimitExceeded when no fabric domain has room.
func Place(req Request) (Placement, error) {
	return BestFit{}.Place(req)
}

// BestFit minimizes, in this order: the largest number of the model's groups in one availability zone, the newly stranded accelerators, the selected accelerators beyond the need, the lost room for whole groups, the model's groups in the zone, and the free VMs of the domain.
type BestFit struct{}

// Place selects the VMs of a group; it fails with errors.QuotaLimitExceeded when no fabric domain has room.
func (BestFit) Place(req Request) (Placement, error) {
	return placeCheapest(req, func(dom *domain) []int {
		maxInZone, inZone := zoneCounts(req, dom.zone)
		newlyStranded := strandedAccelerators(dom.unselected(), req.Shapes) - strandedAccelerators(dom.free, req.Shapes)
		return []int{maxInZone, newlyStranded, dom.excessAccelerators(req.Shape), lostCapacity(dom, req.Shapes), inZone, len(dom.free)}
	})
}

// FirstFit selects the first domain by name that has room.
type FirstFit struct{}

// Place selects the VMs of a group; it fails with errors.QuotaLimitExceeded when no fabric domain has room.
func (FirstFit) Place(req Request) (Placement, error) {
	return placeCheapest(req, func(*domain) []int { return nil })
}

// SpreadOnly selects the first domain by name in the availability zone with the fewest groups of the model.
type SpreadOnly struct{}

// Place selects the VMs of a group; it fails with errors.QuotaLimitExceeded when no fabric domain has room.
func (SpreadOnly) Place(req Request) (Placement, error) {
	return placeCheapest(req, func(dom *domain) []int { return []int{req.ZoneGroups[dom.zone]} })
}

func placeCheapest(req Request, cost func(*domain) []int) (Placement, error) {
	doms := feasibleDomains(req)
	if len(doms) == 0 {
		return Placement{}, errors.QuotaLimitExceededf("placer: free VMs in one fabric domain for model %s", req.Model)
	}
	best := 0
	bestCost := cost(&doms[0])
	for num := 1; num < len(doms); num++ {
		if cst := cost(&doms[num]); slices.Compare(cst, bestCost) < 0 {
			best, bestCost = num, cst
		}
	}
	return doms[best].placement(), nil
}

func zoneCounts(req Request, zone string) (maxInZone, inZone int) {
	inZone = req.ZoneGroups[zone] + 1
	maxInZone = inZone
	for _, num := range req.ZoneGroups {
		maxInZone = max(maxInZone, num)
	}
	return maxInZone, inZone
}
