package placer

import (
	"cmp"
	"slices"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/reducer"
)

// Stranded counts the accelerators that are in no group and cannot make up a whole group of any model.
func Stranded(vie *reducer.View) int {
	inv := vie.Catalog.Inventory
	free := map[string][]Candidate{}
	for name, vm := range inv.VMs {
		if vm.Worker == cataloger.WorkerEngine && vie.GroupByVM[name] == "" {
			free[vm.Domain] = append(free[vm.Domain], Candidate{Name: name, Accelerators: vm.Accelerators})
		}
	}
	needs := Needs(inv.Models)
	sum := 0
	for _, cans := range free {
		sum += unplaceable(cans, needs)
	}
	return sum
}

// Needs returns the shapes of the groups of all models, each once, the one with the most accelerators for each VM first.
func Needs(models map[string]cataloger.Model) []Need {
	var out []Need
	for _, mod := range models {
		out = append(out, Need{VMs: mod.VMsPerReplica, AcceleratorsEach: mod.AcceleratorsEach})
	}
	slices.SortFunc(out, func(one, two Need) int {
		if dif := cmp.Compare(two.AcceleratorsEach, one.AcceleratorsEach); dif != 0 {
			return dif
		}
		return cmp.Compare(one.VMs, two.VMs)
	})
	return slices.Compact(out)
}

// unplaceable counts the accelerators of one domain's free VMs that are left when as many VMs as possible are in whole groups; needs are sorted as by Needs.
func unplaceable(free []Candidate, needs []Need) int {
	accs := make([]int, len(free))
	for num, can := range free {
		accs[num] = can.Accelerators
	}
	slices.Sort(accs)
	left := len(accs) - mostPlaced(accs, needs)
	sum := 0
	for _, acc := range accs[:left] {
		sum += acc
	}
	return sum
}

func mostPlaced(accs []int, needs []Need) int {
	reach := make([]bool, len(accs)+1)
	reach[0] = true
	most := 0
	for _, nee := range needs {
		if nee.VMs == 0 {
			continue
		}
		first, _ := slices.BinarySearch(accs, nee.AcceleratorsEach)
		for num := nee.VMs; num <= len(accs)-first; num++ {
			if reach[num-nee.VMs] {
				reach[num] = true
				most = max(most, num)
			}
		}
	}
	return most
}

// roomLost counts, over all shapes, the VMs that whole groups of that shape alone could have used but for the choice.
func roomLost(dom *domain, needs []Need) int {
	left := dom.left()
	sum := 0
	for _, nee := range needs {
		sum += roomFor(dom.free, nee) - roomFor(left, nee)
	}
	return sum
}

func roomFor(cans []Candidate, nee Need) int {
	num := 0
	for _, can := range cans {
		if nee.fits(can) {
			num++
		}
	}
	return num - num%max(nee.VMs, 1)
}
