package placer

import (
	"cmp"
	"slices"
)

type domain struct {
	name  string
	zone  string
	free  []Candidate
	chose []Candidate
}

// domains returns, in the order of their names, the fabric domains that have room for the group.
func domains(req Request) []domain {
	byName := map[string]*domain{}
	for _, can := range req.Candidates {
		if !can.usable() {
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
		if dom.choose(req.Need) {
			out = append(out, *dom)
		}
	}
	slices.SortFunc(out, func(one, two domain) int { return cmp.Compare(one.name, two.name) })
	return out
}

// choose takes the VMs with the fewest accelerators that fit, those that hold the weights first.
func (dom *domain) choose(nee Need) bool {
	slices.SortFunc(dom.free, compare)
	for _, can := range dom.free {
		if len(dom.chose) == nee.VMs {
			break
		}
		if nee.fits(can) {
			dom.chose = append(dom.chose, can)
		}
	}
	return nee.VMs > 0 && len(dom.chose) == nee.VMs
}

func compare(one, two Candidate) int {
	if dif := cmp.Compare(one.Accelerators, two.Accelerators); dif != 0 {
		return dif
	}
	if one.Holds != two.Holds {
		if one.Holds {
			return -1
		}
		return 1
	}
	return cmp.Compare(one.Name, two.Name)
}

// excess counts the accelerators of the chosen VMs that the model does not need.
func (dom *domain) excess(nee Need) int {
	sum := 0
	for _, can := range dom.chose {
		sum += can.Accelerators - nee.AcceleratorsEach
	}
	return sum
}

func (dom *domain) placement() Placement {
	plc := Placement{Zone: dom.zone, Domain: dom.name}
	for _, can := range dom.chose {
		plc.VMs = append(plc.VMs, can.Name)
	}
	return plc
}

func (dom *domain) left() []Candidate {
	var out []Candidate
	for _, can := range dom.free {
		if !slices.ContainsFunc(dom.chose, func(cho Candidate) bool { return cho.Name == can.Name }) {
			out = append(out, can)
		}
	}
	return out
}
