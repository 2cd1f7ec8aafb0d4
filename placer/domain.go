package placer

import (
	"cmp"
	"slices"
)

type domain struct {
	name     string
	zone     string
	free     []Candidate
	selected []Candidate
}

// feasibleDomains returns the fabric domains that have room for the group, sorted by name.
func feasibleDomains(req Request) []domain {
	byName := map[string]*domain{}
	for _, can := range req.Candidates {
		if !can.eligible() {
			continue
		}
		dom, known := byName[can.Domain]
		if !known {
			dom = &domain{name: can.Domain, zone: can.Zone}
			byName[can.Domain] = dom
		}
		dom.free = append(dom.free, can)
	}
	var out []domain
	for _, dom := range byName {
		if dom.selectVMs(req.Shape) {
			out = append(out, *dom)
		}
	}
	slices.SortFunc(out, func(one, two domain) int { return cmp.Compare(one.name, two.name) })
	return out
}

// selectVMs selects the VMs with the fewest accelerators that fit, preferring among equals those that hold the weights, and reports whether there are enough.
func (dom *domain) selectVMs(nee GroupShape) bool {
	slices.SortFunc(dom.free, compareCandidates)
	for _, can := range dom.free {
		if len(dom.selected) == nee.VMs {
			break
		}
		if nee.fits(can) {
			dom.selected = append(dom.selected, can)
		}
	}
	return nee.VMs > 0 && len(dom.selected) == nee.VMs
}

func compareCandidates(one, two Candidate) int {
	if dif := cmp.Compare(one.Accelerators, two.Accelerators); dif != 0 {
		return dif
	}
	if one.HasWeights != two.HasWeights {
		if one.HasWeights {
			return -1
		}
		return 1
	}
	return cmp.Compare(one.Name, two.Name)
}

// excessAccelerators counts the accelerators of the selected VMs beyond what the model needs.
func (dom *domain) excessAccelerators(nee GroupShape) int {
	sum := 0
	for _, can := range dom.selected {
		sum += can.Accelerators - nee.AcceleratorsEach
	}
	return sum
}

func (dom *domain) placement() Placement {
	plc := Placement{Zone: dom.zone, Domain: dom.name}
	for _, can := range dom.selected {
		plc.VMs = append(plc.VMs, can.Name)
	}
	return plc
}

func (dom *domain) unselected() []Candidate {
	var out []Candidate
	for _, can := range dom.free {
		if !slices.ContainsFunc(dom.selected, func(sel Candidate) bool { return sel.Name == can.Name }) {
			out = append(out, can)
		}
	}
	return out
}
