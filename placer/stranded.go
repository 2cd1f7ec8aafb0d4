package placer

import (
	"cmp"
	"slices"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/reducer"
)

// Stranded returns the number of accelerators in no group that cannot be combined into a whole group of any model.
func Stranded(vie *reducer.View) int {
	inv := vie.Catalog.Inventory
	free := map[string][]Candidate{}
	for name, vm := range inv.VMs {
		if vm.WorkerKind == cataloger.WorkerEngine && vie.GroupByVM[name] == "" {
			free[vm.Domain] = append(free[vm.Domain], Candidate{Name: name, Accelerators: vm.Accelerators})
		}
	}
	needs := GroupShapes(inv.Models)
	sum := 0
	for _, cans := range free {
		sum += strandedAccelerators(cans, needs)
	}
	return sum
}

// GroupShapes returns the distinct group shapes of all models, those with the most accelerators per VM first.
func GroupShapes(models map[string]cataloger.Model) []GroupShape {
	var out []GroupShape
	for _, mod := range models {
		out = append(out, GroupShape{VMs: mod.VMsPerReplica, AcceleratorsEach: mod.AcceleratorsPerVM})
	}
	slices.SortFunc(out, func(one, two GroupShape) int {
		if dif := cmp.Compare(two.AcceleratorsEach, one.AcceleratorsEach); dif != 0 {
			return dif
		}
		return cmp.Compare(one.VMs, two.VMs)
	})
	return slices.Compact(out)
}

// strandedAccelerators returns the number of accelerators in a domain's free VMs that remain when as many VMs as possible are in whole groups; needs must be sorted as by GroupShapes.
func strandedAccelerators(free []Candidate, needs []GroupShape) int {
	accs := make([]int, len(free))
	for num, can := range free {
		accs[num] = can.Accelerators
	}
	slices.Sort(accs)
	unplaced := len(accs) - maxPlaceable(accs, needs)
	sum := 0
	for _, acc := range accs[:unplaced] {
		sum += acc
	}
	return sum
}

func maxPlaceable(accs []int, needs []GroupShape) int {
	reachable := make([]bool, len(accs)+1)
	reachable[0] = true
	most := 0
	for _, nee := range needs {
		if nee.VMs == 0 {
			continue
		}
		first, _ := slices.BinarySearch(accs, nee.AcceleratorsEach)
		for num := nee.VMs; num <= len(accs)-first; num++ {
			if reachable[num-nee.VMs] {
				reachable[num] = true
				most = max(most, num)
			}
		}
	}
	return most
}

// lostCapacity sums, over all shapes, the VMs that whole groups of that shape alone could use before the selection but not after it.
func lostCapacity(dom *domain, needs []GroupShape) int {
	unselected := dom.unselected()
	sum := 0
	for _, nee := range needs {
		sum += capacityFor(dom.free, nee) - capacityFor(unselected, nee)
	}
	return sum
}

func capacityFor(cans []Candidate, nee GroupShape) int {
	num := 0
	for _, can := range cans {
		if nee.fits(can) {
			num++
		}
	}
	return num - num%max(nee.VMs, 1)
}
