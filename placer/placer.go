package placer

import (
	"slices"

	"github.com/juju/errors"
)

// Policy chooses the VMs of a group; it fails with errors.QuotaLimitExceeded when no fabric domain has room.
type Policy interface {
	Place(req Request) (Placement, error)
}

// Place chooses VMs by the BestFit policy.
func Place(req Request) (Placement, error) {
	return BestFit{}.Place(req)
}

// BestFit keeps the largest number of groups in one availability zone low, then strands the fewest accelerators, then leaves most room for whole groups, then spreads, then takes the tightest domain.
type BestFit struct{}

// Place chooses the VMs of a group.
func (BestFit) Place(req Request) (Placement, error) {
	return pick(req, func(dom *domain) []int {
		most, inZone := spread(req, dom.zone)
		added := unplaceable(dom.left(), req.Needs) - unplaceable(dom.free, req.Needs)
		return []int{most, added, dom.excess(req.Need), roomLost(dom, req.Needs), inZone, len(dom.free)}
	})
}

// FirstFit takes the first domain in the order of names.
type FirstFit struct{}

// Place chooses the VMs of a group.
func (FirstFit) Place(req Request) (Placement, error) {
	return pick(req, func(*domain) []int { return nil })
}

// SpreadOnly takes the first domain in the availability zone that has the fewest of the model's groups.
type SpreadOnly struct{}

// Place chooses the VMs of a group.
func (SpreadOnly) Place(req Request) (Placement, error) {
	return pick(req, func(dom *domain) []int { return []int{req.ZoneGroups[dom.zone]} })
}

func pick(req Request, cost func(*domain) []int) (Placement, error) {
	doms := domains(req)
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

func spread(req Request, zone string) (most, inZone int) {
	inZone = req.ZoneGroups[zone] + 1
	most = inZone
	for _, num := range req.ZoneGroups {
		most = max(most, num)
	}
	return most, inZone
}
